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
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/conns"
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
	job    *call.Job
	w      http.ResponseWriter
	out    call.Outcome
	events eventFilter
	// headerSent is set once the caller has the header of the response.
	headerSent bool
	// avoid holds the addresses of servers that failed or refused this request.
	avoid map[string]bool
	// verdict combines the verdicts of the attempts that failed.
	verdict fault.Verdict
	// mayHaveRun holds the servers that may have run the request.
	mayHaveRun []*fleet.Server
	// restartReserved is set if the monitor has reserved the next attempt.
	restartReserved atomic.Bool
	budget          *retry.WindowBudget
	// lastEventAt is when the last event was sent to the caller.
	lastEventAt time.Time
	// serverError is the last error response of a server.
	serverError *errorResponse
	// key identifies what the caller asks for, and returned says whether it has returned
	// after a refusal.
	key      uint64
	returned fair.Return
	// ticket is the capacity that the request has taken in the queue, and held, if not nil,
	// ends the reservation of a chain before its attempt.
	ticket queue.Ticket
	held   func()
}

// Serve forwards a request, on several chains in turn if need be, and responds to
// the caller.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, job *call.Job) call.Outcome {
	budget := f.RetryBudget(job.Service.Name)
	budget.Record(time.Now())
	ctx, cancel := context.WithDeadlineCause(ctx, job.Deadline, context.DeadlineExceeded)
	defer cancel()
	r := &request{Forwarder: f, job: job, w: w, avoid: map[string]bool{}, verdict: fault.NotRun, budget: budget}
	r.events.lastID = job.LastEvent
	r.arrive()
	defer r.finish()
	for {
		chain, err := r.chooseChain(ctx)
		if err == nil {
			err = r.blocked(chain)
		}
		if err == nil {
			err = r.attempt(ctx, chain)
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

// attempt sends the request to one chain and forwards the response.
func (r *request) attempt(ctx context.Context, chain router.Chain) *fault.Error {
	first := chain[0].Server
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream := r.Monitor.add(r.job, chain, cancel, r.restartReservation(first))
	defer r.Monitor.remove(stream)
	r.releaseHeld()
	pending := r.Monitor.StartLatency.Track(first.ID, notableWait(r.job.Route), time.Now())
	defer r.Monitor.StartLatency.Untrack(pending)
	req := r.Codec.NewRequest(r.job.Request, call.SendOptions{
		Server: first, Chain: chain, Timeout: r.job.Remaining(), Team: r.job.Team,
		Priority: r.job.Priority, LastEvent: r.events.lastID,
	})
	r.job.Sent = time.Now()
	r.out.Sends++
	r.out.Server = first.ID
	r.out.Chain = chain.String()
	resp, reply, err := r.Servers.Do(attemptCtx, first, req, egress.Options{RequestID: r.job.ID, MaxIdle: maxIdleReuse, OnConn: stream.direct.Store})
	if egress.IsPaused(err) {
		r.out.Sends--
		r.Limits.Return(first.ID)
		return fault.As(err)
	}
	if err != nil {
		e := fault.As(err)
		if e.Verdict != fault.NotRun {
			r.mayHaveRun = append(r.mayHaveRun, first)
		}
		r.avoidFailedServer(attemptCtx, stream, e)
		return e
	}
	defer resp.Close()
	if reply.NotRun {
		return r.handleRefusal(first.Address, reply)
	}
	r.mayHaveRun = append(r.mayHaveRun, first)
	if reply.Status != http.StatusOK {
		r.Failures.Record(first.ID, reply.Status >= http.StatusInternalServerError, time.Now())
		return r.handleServerError(resp, reply)
	}
	failure := r.relayEvents(attemptCtx, resp, stream, pending)
	if failure == nil || failure.Code == fault.InvalidResponse && context.Cause(attemptCtx) == nil {
		r.Failures.Record(first.ID, failure != nil, time.Now())
	}
	return failure
}

// relayEvents forwards the events of a response until its end.
func (r *request) relayEvents(ctx context.Context, resp *conns.Response, stream *activeStream, pending *router.PendingStart) *fault.Error {
	r.events.resume()
	r.sendHeader(resp)
	controller := http.NewResponseController(r.w)
	buffer := make([]byte, readBufferSize)
	for {
		n, err := resp.Read(buffer)
		if n > 0 {
			first, answered := stream.recordEvent()
			if first {
				r.Monitor.StartLatency.RecordFirstEvent(pending, time.Now())
				r.Load.RecordAccepted(stream.currentChain())
			}
			if answered {
				r.Monitor.Crashes.RecordAnswer(r.job.Causes, r.job.ID, time.Now())
			}
			if whole := r.events.add(buffer[:n]); len(whole) > 0 {
				if e := r.sendEvents(whole, controller); e != nil {
					return e
				}
			}
		}
		if err == io.EOF && !r.events.partial() && !r.events.skipped && r.isComplete(resp, stream) {
			r.out.Status = http.StatusOK
			return nil
		}
		if err != nil || r.events.skipped || len(r.events.pending) > maxEventBytes {
			return r.handleBrokenResponse(ctx, resp, stream, err)
		}
	}
}

// isComplete reports whether a response that ends between two events is complete. One that ends with
// its connection is not if it holds no event, or if the process of the server has ended.
func (r *request) isComplete(resp *conns.Response, stream *activeStream) bool {
	if !resp.EndsWithConn() {
		return true
	}
	return stream.started.Load() && !r.Monitor.HasEnded(stream.currentChain()[0].Server)
}

// sendHeader sends the header of a response to the caller, unless an earlier attempt
// has sent one.
func (r *request) sendHeader(resp *conns.Response) {
	if r.headerSent {
		return
	}
	call.CopyHeader(r.w.Header(), resp.Header)
	r.w.WriteHeader(resp.StatusCode)
	r.headerSent = true
}

// sendEvents sends whole events to the caller.
func (r *request) sendEvents(whole []byte, controller *http.ResponseController) *fault.Error {
	now := time.Now()
	if r.out.TimeToFirstByte == 0 {
		r.out.TimeToFirstByte = now.Sub(r.job.Arrived)
	} else {
		r.out.LongestGap = max(r.out.LongestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.out.Events = r.events.count
	_, err := r.w.Write(whole)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil {
		return &fault.Error{Code: fault.Cancelled, Verdict: fault.Ran, Message: "the caller has left", Cause: err}
	}
	return nil
}
