// Package unary forwards requests to the backend servers of plain services, each of
// which returns one whole response.
//
// An idempotent request that fails is retried on another server while the retry budget
// allows it. If a server is silent, the request is sent to another one as well, and the
// first whole response is used. A request that is not idempotent is retried only if it has
// certainly not run; if it is unknown whether it ran, the response says so. A response
// is buffered, up to maxBufferedBody, before any of it is forwarded, so that a
// truncated one can be retried.
package unary

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/stall"
)

const (
	// maxBufferedBody limits how much of a response body is buffered before the
	// caller gets it. The rest of a larger response is streamed.
	maxBufferedBody = 1 << 20
	// maxIdleAtMostOnce is the maximum idle time of a connection that is reused for a
	// request that is not idempotent: if the server closes the connection while the
	// request is sent, it is unknown whether the request ran.
	maxIdleAtMostOnce = time.Second
	// refusalRetryAfter is when the caller of a refused request should retry, unless
	// the error says otherwise: queues of a plain service empty within some tens of
	// milliseconds.
	refusalRetryAfter = 200 * time.Millisecond
	// silenceShare is how long an attempt of an idempotent request may be silent before another
	// one starts beside it, as a fraction of the route's target. The rest is enough for a
	// second attempt of average duration.
	silenceShare = 0.6
	// connectTimeoutShare is the connect timeout as a fraction of the route's target.
	// Nothing has been sent before that, so any request may go to another server.
	connectTimeoutShare = 0.4
	// minConnectTimeout is the lowest connect timeout: a few round trips.
	minConnectTimeout = 40 * time.Millisecond
)

// Forwarder forwards requests to plain services. Set the exported fields before use.
type Forwarder struct {
	Codec       call.Codec
	Servers     *egress.Client
	State       *state.Local
	Stats       *Stats
	Limits      *limit.Tracker
	LocalDomain domain.Name
	// Crashes blocks requests that crash servers.
	Crashes *poison.Detector
	// Clock distinguishes the silence of servers from stalls of this process; nil assumes none.
	Clock *stall.Clock
	// Probe probes a server that did not respond to a request, which may be the cause if the
	// server got it.
	Probe func(j *call.Job, s *fleet.Server, mayBeCause bool, reason string)
	// HasEnded reports whether the process of a server has ended.
	HasEnded func(s *fleet.Server) bool
	// RetryBudget returns the retry budget of a service.
	RetryBudget func(service string) *retry.WindowBudget
	// Slots limits the calls to services with few slots; nil limits none.
	Slots *Slots
	Log   *slog.Logger
	// Ended is called for each attempt, and each request, that ends without a response; nil counts none.
	Ended func(call.Ending)
}

// request is a request in flight, with the state of all its attempts.
type request struct {
	*Forwarder
	job    *call.Job
	w      http.ResponseWriter
	out    call.Outcome
	budget *retry.WindowBudget
	// tried holds the addresses of the servers that the request was sent to, and of
	// those that were skipped, because they are paused or their rate limits do not allow
	// it.
	tried map[string]bool
	// refused holds the servers that refused it.
	skipped, refused []*fleet.Server
	// verdict combines the verdicts of the attempts that failed.
	verdict fault.Verdict
	// failure is the last error response of a server. The caller gets it if no later
	// attempt has a response: an error with the verdict NotRun would deny that the
	// server ran the request.
	failure *attempt
	// admission is the state of a request to a service with few slots.
	admission admission
	// flights holds the attempts in flight, and ended receives those that end.
	flights []*flight
	ended   chan *flight
	// last is the last attempt that has ended.
	last *flight
}

// Serve forwards a request and writes the response to the caller.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, j *call.Job) call.Outcome {
	budget := f.RetryBudget(j.Service.Name)
	budget.Record(time.Now())
	ctx, cancel := context.WithDeadlineCause(ctx, j.Deadline, context.DeadlineExceeded)
	defer cancel()
	r := &request{Forwarder: f, job: j, w: w, budget: budget, tried: map[string]bool{}, verdict: fault.NotRun, ended: make(chan *flight)}
	defer func() { r.admission.ticket.End() }()
	for {
		if j.Caller.Left() {
			return r.fail(ctx, &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "the caller has left"})
		}
		server, e := r.choose(ctx)
		if e != nil {
			return r.fail(ctx, e)
		}
		r.start(ctx, server)
		if out, done := r.await(ctx); done {
			return out
		}
	}
}

// await waits for the attempts in flight and writes the response to the caller. It reports false if
// none of them had one and the request is to be sent again.
func (r *request) await(ctx context.Context) (out call.Outcome, done bool) {
	for len(r.flights) > 0 {
		t := r.next(ctx)
		a, sent := r.conclude(ctx, t)
		last := len(r.flights) == 0
		switch {
		case !sent:
		case a.err == nil && (a.rest != nil || !a.failed() || last && !r.retryResponse(a)):
			return r.use(t, a), true
		case a.err == nil:
			r.failure = &a
		case last && !r.retryError(ctx, a):
			return r.fail(ctx, a.err), true
		}
		if !last {
			// The attempts that are left may need another one beside them.
			r.checkSilence(ctx)
		}
	}
	return call.Outcome{}, false
}

// fail ends the request with the last error response of a server, or an error.
func (r *request) fail(ctx context.Context, e *fault.Error) call.Outcome {
	if r.failure != nil && !call.CallerGone(ctx) {
		return r.writeResponse(r.w, r.out, r.job, *r.failure)
	}
	r.logFailure(ctx)
	return r.writeError(ctx, r.w, r.out, r.verdict, e)
}

// retryResponse reports whether the request is retried after an error response, which requires
// that the request may run again, and that the retry budget allows it.
func (r *request) retryResponse(a attempt) bool {
	mayRetry := r.out.Sends < r.job.Route.Attempts
	return mayRetry && r.job.Route.Repeatable() && !r.blocked(r.job) && r.budget.Withdraw(time.Now())
}

// retryError reports whether the request is retried after an attempt without a response
// for the caller. A request that was not sent is always retried; others only if they
// have not run or may run again, and within the route's attempts and the retry budget.
func (r *request) retryError(ctx context.Context, a attempt) bool {
	if ctx.Err() != nil {
		return false
	}
	notSent := a.err.Verdict == fault.NotRun && a.reply.Status == 0
	if notSent {
		return true
	}
	if r.out.Sends >= r.job.Route.Attempts || r.job.Unanswered.Load() >= call.MaxUnanswered || r.blocked(r.job) {
		return false
	}
	if !r.job.Route.Repeatable() && a.err.Verdict != fault.NotRun {
		return false
	}
	return r.budget.Withdraw(time.Now())
}

// blocked reports whether a request that was sent before must not be sent again, because such
// requests crash servers.
func (f *Forwarder) blocked(j *call.Job) bool {
	cause, _ := f.Crashes.Blocked(j.Causes, time.Now())
	return cause != "" || j.Trial
}
