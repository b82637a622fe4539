package pass

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/view"
)

// maxAttempts bounds the servers that a call is sent to.
const maxAttempts = 3

// repeat sends a call that may be repeated, to another server when one
// fails.
func (p *Pass) repeat(ctx context.Context, call *Call) (*Reply, *fault.Error) {
	return p.attempts(ctx, call, func() bool { return ctx.Err() == nil }, func(e *fault.Error) bool {
		return ctx.Err() == nil
	})
}

// once sends a call that may not be repeated. It goes to another server only
// when none of the earlier ones has run it.
func (p *Pass) once(ctx context.Context, call *Call, may func() bool) (*Reply, *fault.Error) {
	return p.attempts(ctx, call, may, func(e *fault.Error) bool {
		return e.Verdict == fault.NotRun && ctx.Err() == nil
	})
}

// attempts sends a call to one server after the other, as long as again says
// so of the last error. The verdict joins those of all attempts.
func (p *Pass) attempts(ctx context.Context, call *Call, may func() bool, again func(*fault.Error) bool) (*Reply, *fault.Error) {
	verdict := fault.NotRun
	tried := map[string]bool{}
	var last *fault.Error
	for {
		reply, e := p.attempt(ctx, call, tried, may)
		if e == nil {
			return reply, nil
		}
		verdict = verdict.Weaken(e.Verdict)
		none := e.Code == fault.NoServer
		// What the servers said tells more than that there is no other.
		if none && last != nil {
			e = last
		}
		if none || len(tried) >= maxAttempts || !again(e) {
			e.Verdict = verdict
			return nil, e
		}
		last = e
		p.Trace.Add("pass", call.Request, "retry after: "+e.Error())
		count("pass.retries")
	}
}

// attempt sends a call to one server that was not tried yet.
func (p *Pass) attempt(ctx context.Context, call *Call, tried map[string]bool, may func() bool) (*Reply, *fault.Error) {
	snap := p.View.Load()
	usable := servers(snap, call.Pool, tried)
	if len(usable) == 0 {
		return nil, noServer(call.Pool)
	}
	picker := &pick.Picker{
		Meters: snap.Meters,
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	to := picker.One(usable)
	tried[to.Name] = true
	if !p.View.Enter(to.Name) {
		return nil, &fault.Error{
			Code: fault.ServerRefused, Verdict: fault.NotRun, Server: to.Name,
			Message: "the server is leaving", RetryAfter: time.Second,
		}
	}
	defer p.View.Leave(to.Name)
	count("pass.attempts")
	return send(ctx, call, to, may)
}

func servers(snap *view.Snapshot, from pool.Pool, tried map[string]bool) []host.Host {
	var usable []host.Host
	for _, name := range from.Servers {
		h, listed := snap.Hosts[name]
		_, out := snap.Out[name]
		if listed && !out && !tried[name] {
			usable = append(usable, h)
		}
	}
	return usable
}

func noServer(from pool.Pool) *fault.Error {
	return &fault.Error{
		Code: fault.NoServer, Verdict: fault.NotRun,
		Message: "no server of pool " + from.Name + " takes calls", RetryAfter: time.Second,
	}
}

func count(name string) {
	metrics.GetOrRegisterCounter(name, nil).Inc(1)
}
