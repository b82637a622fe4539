// Package relay carries a model request: it chooses a chain, checks each
// frame of the answer, and goes on with another chain when one fails.
//
// The caller's stream goes on over such a change: the next chain is given the
// prompt and the tokens that the caller already has, and its first token is
// the one that is due.
package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Forwarder carries model requests. Set the exported fields before first use.
type Forwarder struct {
	View   *view.Publisher
	Engine *engine.Client
	// Guard keeps requests that crash servers from going on; nil lets all.
	Guard *crash.Guard
	Trace *trace.Recorder
	Log   *slog.Logger
	// Policy is how servers are chosen; nil means pick.Cost.
	Policy pick.Policy
	// ProbePool runs probes of servers; nil means a goroutine for each.
	ProbePool *ants.Pool

	pools sync.Map
	asks  prober
}

// Request is a model request of a caller.
type Request struct {
	ID        string
	Team      string
	Pool      pool.Pool
	Prompt    string
	MaxTokens int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Priority is passed on to engines.
	Priority int
}

// Sink receives the tokens of an answer, in order and each once.
type Sink interface {
	Token(index int, text string) error
}

// The figures of the metrics page.
var (
	attempts   = metrics.NewRegisteredCounter("relay.attempts", nil)
	resumed    = metrics.NewRegisteredCounter("relay.resumed", nil)
	silent     = metrics.NewRegisteredCounter("relay.silent", nil)
	givenUp    = metrics.NewRegisteredCounter("relay.givenup", nil)
	overBudget = metrics.NewRegisteredCounter("relay.overbudget", nil)
	relayed    = metrics.NewRegisteredCounter("relay.tokens", nil)
	// recovery is the time from the failure of a chain to the next token.
	recovery = metrics.NewRegisteredTimer("relay.recovery", nil)
)

// Do carries a request and returns the number of tokens, or the error that
// the caller is to see.
func (r *Forwarder) Do(ctx context.Context, ask *Request, sink Sink) (int, *fault.Error) {
	caller := ctx
	ctx, cancel := context.WithDeadline(ctx, ask.Deadline)
	defer cancel()
	suspicion, e := r.Guard.Track(ask.ID, ask.Team, ask.Pool.Name, ask.Pool.Model, ask.Prompt)
	if e != nil {
		return 0, e
	}
	defer suspicion.Close()
	c := &carry{
		Forwarder: r, ask: ask, sink: sink, suspicion: suspicion,
		state: r.stateOf(ask.Pool.Name), verdict: fault.NotRun,
	}
	for c.number = 1; ; c.number++ {
		e := c.attempt(ctx)
		if e == nil {
			return len(c.sent), nil
		}
		c.verdict = c.verdict.Weaken(e.Verdict)
		failure := retry.Failure{
			Error: e, Attempt: c.number, Left: time.Until(ask.Deadline),
			CallerConnected: caller.Err() == nil, Sent: len(c.sent),
		}
		if !c.again(failure) {
			givenUp.Inc(1)
			final := failure.Final(c.verdict)
			r.Trace.Record("relay", ask.ID, "given up: "+final.Error())
			return len(c.sent), final
		}
		r.Trace.Record("relay", ask.ID, "attempt failed: "+e.Error())
	}
}

// carry is the state of one request over its attempts.
type carry struct {
	*Forwarder
	ask  *Request
	sink Sink
	// suspicion is what the guard knows of this request.
	suspicion *crash.Tracker
	state     *state
	// number is that of the current attempt, from 1.
	number  int
	sent    []string
	verdict fault.Verdict
	// failedAt is when the last attempt failed, zero if a token came since.
	failedAt time.Time
	// skip holds servers that this request avoids besides the suspects.
	skip   []string
	hops   []pick.Hop
	stages []engine.Stage
}

// again reports whether another chain is tried, and pays for it.
func (c *carry) again(f retry.Failure) bool {
	again, pay := f.ShouldRetry()
	if again && pay && !c.state.budget.Withdraw() {
		overBudget.Inc(1)
		return false
	}
	if again && len(c.sent) > 0 {
		resumed.Inc(1)
	}
	return again
}

// avoided returns the servers that this request avoids. Those that it failed
// on itself are avoided most, the latest first of all: when all servers of a
// stage are suspected, each attempt would else meet the same dead one.
func (c *carry) avoided(snap *view.Snapshot) map[string]time.Time {
	if len(c.skip) == 0 {
		return snap.SuspectedServers
	}
	return view.Edit(snap.SuspectedServers, func(m map[string]time.Time) {
		for i, name := range c.skip {
			m[name] = c.ask.Deadline.Add(time.Duration(i+1) * time.Hour)
		}
	})
}

// usualStages is a length of chains that is seldom passed.
const usualStages = 8

// choose chooses the chain of the next attempt, into c.hops and c.stages.
func (c *carry) choose(snap *view.Snapshot, now time.Time) *fault.Error {
	table, e := c.state.table(snap, &c.ask.Pool, now)
	if e != nil {
		return e
	}
	chooser := pick.ChainPicker{Policy: c.Policy, Rand: rand.Uint64, Now: now.UnixNano(), Avoid: c.avoided(snap)}
	// The watch of the attempt before may still look at its stages, so each
	// attempt has slices of its own.
	c.hops = chooser.Pick(table, make([]pick.Hop, 0, usualStages))
	c.stages = make([]engine.Stage, 0, len(c.hops))
	for i := range c.hops {
		c.stages = append(c.stages, table.Graph.Stage(c.hops[i].Hop))
	}
	return nil
}
