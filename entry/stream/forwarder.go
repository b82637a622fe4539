// Package stream forwards requests to chains of engines, and their responses, which
// are streams of events, to the callers as they arrive.
//
// A response survives the failure of the servers that produce it. If a server in the
// middle of a chain fails, the first server keeps the request; the [Monitor] detects
// the silence and reroutes the request behind the first server. If the first server
// fails, a resumable stream restarts on another chain after the last event that the
// caller has, within the same response. Only whole events are forwarded, so no event
// is missing or repeated where the two attempts join.
package stream

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/entry/queue"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/subset"
)

const (
	// minRetryAfter is the shortest Retry-After of a request that was refused for
	// lack of capacity.
	minRetryAfter = 700 * time.Millisecond
	// loadRetryAfter is the Retry-After while layers are missing: loading them takes
	// one to two seconds.
	loadRetryAfter = 2 * time.Second
	// maxIdleReuse is the longest idle time of a connection that is reused.
	maxIdleReuse = 3 * time.Second
	// readBufferSize is the size of a buffer that holds several events.
	readBufferSize = 4 << 10
	// capacityPollInterval is the polling interval of a response that broke off and
	// waits for capacity.
	capacityPollInterval = 20 * time.Millisecond
)

// Forwarder forwards requests. Set the exported fields before use.
type Forwarder struct {
	Codec    call.Codec
	Servers  *egress.Client
	State    *state.Local
	Load     *router.LoadTracker
	Monitor  *Monitor
	Queue    *queue.Admission
	Failures *Failures
	Limits   *limit.Tracker
	// Subsets holds the servers to which this host keeps connections; nil means all.
	Subsets     *subset.Tracker
	LocalDomain domain.Name
	Log         *slog.Logger
	// RetryBudget returns the retry budget of a service.
	RetryBudget func(service string) *retry.WindowBudget
}

// request is a request in flight, with the state of all its attempts.
type request struct {
	*Forwarder
	job *call.Job
	w   http.ResponseWriter
	// ctx ends with the request.
	ctx    context.Context
	budget *retry.WindowBudget
	// key identifies what the caller asks for, and returned says whether it has returned
	// after a refusal.
	key      uint64
	returned fair.Return
	// ticket is the capacity that the request has taken in the queue, and held, if not nil,
	// ends the reservation of a chain before its attempt.
	ticket queue.Ticket
	held   func()

	// writing is held while events are sent to the caller, and locked before mu.
	writing sync.Mutex
	// lastEventAt is when the last event was sent to the caller. The mutex writing guards it.
	lastEventAt time.Time

	// mu guards the fields below, which two attempts in flight share.
	mu  sync.Mutex
	out call.Outcome
	// inFlight holds the attempts in flight: one, or two while the second is to replace the
	// first.
	inFlight []*attempt
	// delivered is what the caller has of the stream.
	delivered position
	// headerSent is set once the caller has the header of the response.
	headerSent bool
	// avoid holds the addresses of servers that failed or refused this request.
	avoid map[string]bool
	// verdict combines the verdicts of the attempts that failed.
	verdict fault.Verdict
	// mayHaveRun holds the servers that may have run the request.
	mayHaveRun []*fleet.Server
	// serverError is the last error response of a server.
	serverError *errorResponse
	// reserved says that the next attempt has been withdrawn from the retry budget.
	reserved bool
}

// Serve forwards a request, on several chains in turn if need be, and responds to
// the caller.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, job *call.Job) call.Outcome {
	budget := f.RetryBudget(job.Service.Name)
	budget.Record(time.Now())
	ctx, cancel := context.WithDeadlineCause(ctx, job.Deadline, context.DeadlineExceeded)
	defer cancel()
	r := &request{Forwarder: f, job: job, w: w, ctx: ctx, avoid: map[string]bool{}, verdict: fault.NotRun, budget: budget}
	r.delivered.lastID = job.LastEvent
	r.arrive()
	defer r.finish()
	for {
		if e := r.leftEarly(); e != nil {
			return r.finishFailed(ctx, e)
		}
		chain, err := r.chooseChain(ctx)
		if err == nil {
			err = r.blocked(chain)
		}
		if err == nil {
			err = r.attempt(chain)
		}
		if err == nil {
			r.out.Ending = ""
			return r.out
		}
		r.recordEnding(ctx, err)
		if err.Verdict == fault.NotRun && !r.headerSent {
			r.ticket.Refund()
		}
		if !r.shouldRetry(ctx, err) {
			return r.finishFailed(ctx, err)
		}
	}
}

// finish gives back what the request has taken.
func (r *request) finish() {
	r.releaseHeld()
	r.ticket.End()
}

// blocked returns the error of a request that has been blocked since it was admitted. It frees the
// place on the chain that was chosen for the request.
func (r *request) blocked(chain router.Chain) *fault.Error {
	if cause, _ := r.Monitor.Crashes.Blocked(r.job.Causes, time.Now()); cause == "" || r.job.Trial {
		return nil
	}
	r.Limits.Return(chain[0].Server.ID)
	r.releaseHeld()
	return call.BlockedError(r.Monitor.Crashes, r.job, fault.NotRun)
}
