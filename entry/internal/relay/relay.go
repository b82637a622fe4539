// Package relay forwards model requests: it picks a chain of servers, validates
// each frame of the response, and resumes on another chain when one fails.
//
// The caller's stream continues across such a failure: the next chain gets the
// prompt and the tokens that the caller already has, and continues with the
// token that follows them.
package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/entry/internal/crash"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/stall"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Forwarder forwards model requests to chains of servers. Set the exported
// fields before first use.
type Forwarder struct {
	View   *view.Publisher
	Engine *engine.Client
	// Guard blocks requests that crash servers; nil blocks none.
	Guard *crash.Guard
	Trace *trace.Recorder
	Log   *slog.Logger
	// Policy decides which servers are picked; nil means pick.Cost.
	Policy pick.Policy
	// Clock distinguishes the silence of servers from stalls of this process; nil assumes none.
	Clock *stall.Clock
	// Direct reports whether connections to a server are direct ones now; nil means always.
	Direct func(address string) bool
	// ProbePool runs probes of servers; nil means a goroutine for each.
	ProbePool *ants.Pool

	// pools holds the *poolState of each pool by its name.
	pools  sync.Map
	probes probeCache
}

// Request is a model request of a caller.
type Request struct {
	ID        string
	Team      string
	Pool      pool.Pool
	Prompt    string
	MaxTokens int
	// Deadline is when the request ends, complete or not.
	Deadline time.Time
	// Priority is passed on to the servers.
	Priority int
}

// Sink receives the tokens of a response, in order and each exactly once.
type Sink interface {
	Token(index int, text string) error
}

// The metrics of this package.
var (
	attempts     = metrics.NewRegisteredCounter("relay.attempts", nil)
	resumed      = metrics.NewRegisteredCounter("relay.resumed", nil)
	silentChains = metrics.NewRegisteredCounter("relay.silent", nil)
	givenUp      = metrics.NewRegisteredCounter("relay.givenup", nil)
	overBudget   = metrics.NewRegisteredCounter("relay.overbudget", nil)
	tokenCount   = metrics.NewRegisteredCounter("relay.tokens", nil)
	// recovery is the time from the failure of a chain to the next token.
	recovery = metrics.NewRegisteredTimer("relay.recovery", nil)
)

// Do forwards a request and its response. It returns the number of tokens sent to
// the caller, and the error to return to the caller if the response is
// incomplete.
func (f *Forwarder) Do(ctx context.Context, req *Request, sink Sink) (int, *fault.Error) {
	caller := ctx
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	tracker, e := f.Guard.Track(req.ID, req.Team, req.Pool.Name, req.Pool.Model, req.Prompt)
	if e != nil {
		return 0, e
	}
	defer tracker.Close()
	d := &delivery{
		Forwarder: f, req: req, sink: sink, crashTracker: tracker,
		pool: f.stateOf(req.Pool.Name), verdict: fault.NotRun,
	}
	for d.attemptNumber = 1; ; d.attemptNumber++ {
		e := d.attempt(ctx)
		if e == nil {
			return len(d.sent), nil
		}
		d.verdict = d.verdict.Weaken(e.Verdict)
		failure := retry.Failure{
			Error: e, Attempt: d.attemptNumber, Remaining: time.Until(req.Deadline),
			CallerConnected: caller.Err() == nil, Sent: len(d.sent),
		}
		if d.exhausted {
			failure.Attempt = retry.MaxAttempts
		}
		if !d.allowRetry(failure) {
			givenUp.Inc(1)
			final := failure.Final(d.verdict)
			f.Trace.Record("relay", req.ID, "given up: "+final.Error())
			return len(d.sent), final
		}
		f.Trace.Record("relay", req.ID, "attempt failed: "+e.Error())
	}
}

// delivery is the state of one request across its attempts.
type delivery struct {
	*Forwarder
	req  *Request
	sink Sink
	// crashTracker tracks for the guard whether this request crashes servers.
	crashTracker *crash.RequestTracker
	pool         *poolState
	// attemptNumber is the number of the current attempt, from 1.
	attemptNumber int
	// exhausted says that the only chains were silent for as long as further attempts
	// would have taken.
	exhausted bool
	// startedAt is when the current attempt started.
	startedAt stall.Mark
	// sent holds the tokens forwarded to the caller.
	sent []string
	// verdict covers all attempts so far.
	verdict fault.Verdict
	// failedAt is when an attempt first failed since the last token, zero if none
	// has.
	failedAt time.Time
	// avoided holds the servers that this request avoids besides the suspected
	// ones, the most recent one last.
	avoided []string
	// hops and stages describe the chain of the current attempt.
	hops   []pick.Hop
	stages []engine.Stage
}

// allowRetry reports whether another chain may be tried, and withdraws from the
// pool's retry budget where the attempt costs.
func (d *delivery) allowRetry(failure retry.Failure) bool {
	retryable, costs := failure.ShouldRetry()
	if retryable && costs && !d.pool.budget.Withdraw() {
		overBudget.Inc(1)
		return false
	}
	if retryable && len(d.sent) > 0 {
		resumed.Inc(1)
	}
	return retryable
}

// avoidedServers returns the servers that this request avoids, with the time
// until which it does. If a stage has no other server, the one with the earliest
// time is preferred. Servers in avoided get later times than all other suspects,
// since each attempt could otherwise pick the same dead server.
func (d *delivery) avoidedServers(snap *view.Snapshot) map[string]time.Time {
	if len(d.avoided) == 0 {
		return snap.SuspectedServers
	}
	return view.Edit(snap.SuspectedServers, func(m map[string]time.Time) {
		for i, name := range d.avoided {
			m[name] = d.req.Deadline.Add(time.Duration(i+1) * time.Hour)
		}
	})
}

// alternatives returns a function that reports whether a chain exists that avoids the
// given servers, besides those that the request avoids now.
func (d *delivery) alternatives() func(servers []string) bool {
	avoided := slices.Clone(d.avoided)
	return func(servers []string) bool {
		other := &delivery{Forwarder: d.Forwarder, req: d.req, pool: d.pool, avoided: append(slices.Clone(avoided), servers...)}
		if e := other.pickChain(d.View.Load(), time.Now()); e != nil {
			return false
		}
		return !slices.ContainsFunc(other.stages, func(s engine.Stage) bool { return slices.Contains(servers, s.Server) })
	}
}

// typicalStages is the number of stages that few chains exceed.
const typicalStages = 8

// pickChain picks the chain of the next attempt and sets d.hops and d.stages.
func (d *delivery) pickChain(snap *view.Snapshot, now time.Time) *fault.Error {
	table, e := d.pool.table(snap, &d.req.Pool, now)
	if e != nil {
		return e
	}
	picker := pick.ChainPicker{Policy: d.Policy, Rand: rand.Uint64, Now: now.UnixNano(), Avoid: d.avoidedServers(snap)}
	// The monitor of the previous attempt may still read its stages, so each
	// attempt gets its own slices.
	d.hops = picker.Pick(table, make([]pick.Hop, 0, typicalStages))
	d.stages = make([]engine.Stage, 0, len(d.hops))
	for i := range d.hops {
		d.stages = append(d.stages, table.Graph.Stage(d.hops[i].Hop))
	}
	return nil
}
