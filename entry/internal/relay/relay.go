// Package relay forwards model requests: it picks a chain of servers, validates
// each frame of the response, and resumes on another chain when one fails.
//
// The caller's stream continues across such a failure: the next chain gets the
// prompt and the tokens that the caller already has, and continues with the
// token that follows them.
//
// A chain that is silent may go on, so its attempt is kept while the next one begins.
// The first of them to send a token serves the caller, and the others are cancelled.
package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/entry/internal/crash"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/httpd"
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
	// Dial connects to a server; nil means TCP connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

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
		pool: f.stateOf(req.Pool.Name), verdict: fault.NotRun, caller: caller,
		ended: make(chan *attempt), silent: make(chan struct{}, 1),
	}
	e = d.run(ctx)
	return len(d.sent), e
}

// delivery is the state of one request across its attempts.
type delivery struct {
	*Forwarder
	req  *Request
	sink Sink
	// caller ends when the caller disconnects.
	caller context.Context
	// crashTracker tracks for the guard whether this request crashes servers.
	crashTracker *crash.RequestTracker
	pool         *poolState
	// started is the number of attempts so far.
	started int
	// exhausted says that the only chains were silent for as long as further attempts
	// would have taken.
	exhausted bool
	// verdict covers all attempts so far.
	verdict fault.Verdict
	// avoided holds the servers that this request avoids besides the suspected
	// ones, the most recent one last.
	avoided []string
	// last is the attempt that failed last; nil if none has.
	last *attempt
	// events are the events of the request so far, for the log.
	events []string
	// candidate is the chain that is probed before it replaces a silent one; nil if none is.
	candidate *candidate

	// active is the number of attempts that have not been received from ended.
	active int
	// ended receives each attempt that has ended.
	ended chan *attempt
	// silent is sent to when a chain is silent or a candidate has been probed.
	silent chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// running holds the attempts in progress, oldest first. There is more than one only
	// while all but the last are silent.
	running []*attempt
	// sent holds the tokens forwarded to the caller.
	sent []string
	// failedAt is when an attempt first failed or fell silent since the last token, zero
	// if none has.
	failedAt time.Time
}

// run makes attempts until one completes the response or no further one may help.
func (d *delivery) run(ctx context.Context) *fault.Error {
	defer d.endAll()
	e := d.start(ctx, nil)
	for {
		if e != nil {
			if final := d.afterFailure(ctx, e); final != nil {
				return final
			}
			e = nil
		}
		select {
		case a := <-d.ended:
			d.active--
			switch replaced := d.remove(a); {
			case replaced:
			case a.err == nil:
				return nil
			default:
				e = a.fail(ctx)
			}
			a.cancel(nil)
		case <-d.silent:
			d.handleSilence(ctx)
		}
	}
}

// afterFailure starts the next attempt after one has failed, unless another is in progress.
// It returns the error for the caller if none is left.
func (d *delivery) afterFailure(ctx context.Context, e *fault.Error) *fault.Error {
	for {
		d.verdict = d.verdict.Weaken(e.Verdict)
		kept := d.attempts()
		if len(kept) > 0 && e.Code != fault.Poisoned {
			d.record("attempt failed: " + e.Error() + "; " + kept[0].String() + " is kept")
			d.startBeside(ctx, e)
			return nil
		}
		failure := d.failure(e)
		if e.Code == fault.Poisoned || !d.allowRetry(failure) {
			givenUp.Inc(1)
			final := failure.Final(d.verdict)
			message := "given up: " + final.Error()
			if d.last != nil {
				message += "; " + d.last.String() + ", " + d.last.monitor.evidence()
			}
			d.record(message)
			d.logEnd(final)
			return final
		}
		d.record("attempt failed: " + e.Error())
		if e = d.start(ctx, nil); e == nil {
			return nil
		}
	}
}

// record adds an event of the request to the timeline.
func (d *delivery) record(message string) {
	d.events = append(d.events, message)
	d.Trace.Record("relay", d.req.ID, message)
}

// logEnd logs why a request ends without its whole response.
func (d *delivery) logEnd(final *fault.Error) {
	level := slog.LevelInfo
	if d.sentCount() > 0 {
		level = slog.LevelWarn
	}
	d.Log.Log(context.Background(), level, "relay: request ended", "request", d.req.ID, "pool", d.req.Pool.Name,
		"tokens", d.sentCount(), "attempts", d.started, "verdict", final.Verdict, "cause", EndCause(final), "events", d.events)
}

// failure describes a failed attempt.
func (d *delivery) failure(e *fault.Error) retry.Failure {
	failure := retry.Failure{
		Error: e, Attempt: d.started, Remaining: time.Until(d.req.Deadline),
		CallerConnected: !httpd.ClientLeft(d.caller), Sent: d.sentCount(),
	}
	if d.exhausted {
		failure.Attempt = retry.MaxAttempts
	}
	return failure
}

// attempts returns the attempts in progress, oldest first.
func (d *delivery) attempts() []*attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.running)
}

func (d *delivery) sentCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.sent)
}

// remove removes an attempt that has ended, and reports whether another has replaced it.
func (d *delivery) remove(a *attempt) (replaced bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running = slices.DeleteFunc(d.running, func(other *attempt) bool { return other == a })
	return a.replaced
}

// endAll cancels the attempts in progress and waits until all have ended.
func (d *delivery) endAll() {
	for _, a := range d.attempts() {
		a.cancel(errReplaced)
	}
	for d.active > 0 {
		<-d.ended
		d.active--
	}
}

// allowRetry reports whether another chain may be tried, and withdraws from the
// pool's retry budget where the attempt costs.
func (d *delivery) allowRetry(failure retry.Failure) bool {
	retryable, costs := failure.ShouldRetry()
	if retryable && costs && !d.pool.budget.Withdraw() {
		overBudget.Inc(1)
		return false
	}
	if retryable && failure.Sent > 0 {
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

// typicalStages is the number of stages that few chains exceed.
const typicalStages = 8

// pickChain picks the chain of an attempt and sets its hops and stages.
func (a *attempt) pickChain(snap *view.Snapshot, now time.Time) *fault.Error {
	d := a.delivery
	table, e := d.pool.table(snap, &d.req.Pool, now)
	if e != nil {
		return e
	}
	picker := pick.ChainPicker{Policy: d.Policy, Rand: rand.Uint64, Now: now.UnixNano(), Avoid: d.avoidedServers(snap)}
	a.hops = picker.Pick(table, make([]pick.Hop, 0, typicalStages))
	a.stages = make([]engine.Stage, 0, len(a.hops))
	for i := range a.hops {
		a.stages = append(a.stages, table.Graph.Stage(a.hops[i].Hop))
	}
	return nil
}
