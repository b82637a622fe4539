package invoke

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/health"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/server"
	"fuchsiashelf.dev/parts/view"
)

// maxAttempts bounds the servers that a call is sent to.
const maxAttempts = 3

// earned is what an answered call adds to the budget of its pool, in tokens:
// ten answers pay for one repeat.
const earned = 5

// repeat sends a call that may be repeated, to another server when one
// fails. A repeat that may run a second time is paid for from the pool's
// budget; one that nobody ran costs the servers next to nothing.
func (p *Forwarder) repeat(ctx context.Context, call *Call) (*Reply, *fault.Error) {
	budget := p.budget(call.Pool.Name)
	reply, e := p.attempts(ctx, call, func() bool { return ctx.Err() == nil }, func(e *fault.Error) bool {
		return ctx.Err() == nil && (e.Verdict == fault.NotRun || budget.Withdraw())
	})
	if e == nil {
		budget.Deposit(earned, 0)
	}
	return reply, e
}

func (p *Forwarder) budget(pool string) *retry.Budget {
	if known, ok := p.budgets.Load(pool); ok {
		return known.(*retry.Budget)
	}
	held, _ := p.budgets.LoadOrStore(pool, retry.NewBudget())
	return held.(*retry.Budget)
}

// once sends a call that may not be repeated. It goes to another server only
// when none of the earlier ones has run it.
func (p *Forwarder) once(ctx context.Context, call *Call, may func() bool) (*Reply, *fault.Error) {
	return p.attempts(ctx, call, may, func(e *fault.Error) bool {
		return e.Verdict == fault.NotRun && ctx.Err() == nil
	})
}

// attempts sends a call to one server after the other, as long as again says
// so of the last error. The verdict joins those of all attempts.
func (p *Forwarder) attempts(ctx context.Context, call *Call, may func() bool, again func(*fault.Error) bool) (*Reply, *fault.Error) {
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
		p.Trace.Record("pass", call.Request, "retry after: "+e.Error())
		count("pass.retries")
	}
}

// attempt sends a call to one server that was not tried yet.
func (p *Forwarder) attempt(ctx context.Context, call *Call, tried map[string]bool, may func() bool) (*Reply, *fault.Error) {
	snap := p.View.Load()
	usable := servers(snap, call.Pool, tried)
	if len(usable) == 0 {
		return nil, noServer(call.Pool)
	}
	now := time.Now()
	picker := &pick.ServerPicker{
		Meters: snap.Meters,
		Avoid:  func(name string) bool { return now.Before(snap.SuspectedServers[name]) },
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	to := picker.Pick(usable)
	tried[to.Name] = true
	if !p.View.Acquire(to.Name) {
		return nil, &fault.Error{
			Code: fault.ServerRefused, Verdict: fault.NotRun, Server: to.Name,
			Message: "the server is leaving", RetryAfter: time.Second,
		}
	}
	defer p.View.Release(to.Name)
	count("pass.attempts")
	reply, e := send(ctx, call, to, may)
	p.judge(snap.Meters[to.Name], to.Name, e)
	return reply, e
}

// judge has a server avoided after a failure or a refusal, the longer the more
// often it failed in a row. A server that is gone has nothing in flight, so
// that it looks the least busy of all: without this every second call would
// meet it first, and wait for the connection to fail. It is still used when
// there is no other.
func (p *Forwarder) judge(m *server.Meter, name string, e *fault.Error) {
	if m == nil {
		return
	}
	if e == nil {
		m.Failures.Store(0)
		return
	}
	switch e.Code {
	case fault.ServerFailed, fault.ServerRefused, fault.BrokenAnswer:
		now := time.Now()
		// All calls on a server fail with it at one time; that counts once.
		if now.Before(p.View.Load().SuspectedServers[name]) {
			return
		}
		until := now.Add(health.SuspectFor(m.Failures.Add(1)))
		p.View.Update(func(s *view.Snapshot) { s.Suspect(name, until, now) })
		p.Log.Warn("pass: server suspected", "server", name, "err", e)
	}
}

func servers(snap *view.Snapshot, from pool.Pool, tried map[string]bool) []host.Host {
	var usable []host.Host
	for _, name := range from.Servers {
		h, listed := snap.Hosts[name]
		_, out := snap.Cordoned[name]
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
