// Package stream passes requests on to chains of engines and their answers,
// series of events, back to the callers as they arrive.
//
// An answer outlives the servers that give it. If a server in the midst of a
// chain fails, the first one lives and holds on; the [Monitor] notices the
// silence and gives the request another way behind the first server. If the
// first server fails, a resumable stream restarts on another chain after the last
// event that the caller has, within the same answer. Only whole events
// are passed on, so the two runs join without a piece missing or doubled.
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
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/prio"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/router"
)

const (
	// comeBack is the least Retry-After of a request that was refused for want of
	// room.
	comeBack = 700 * time.Millisecond
	// healTime is the Retry-After while layers are missing: a load takes one to two
	// seconds.
	healTime = 2 * time.Second
	// fresh is the longest idle time of a connection that is reused.
	fresh = 3 * time.Second
	// readSize holds several events.
	readSize = 4 << 10
	// waitStep is the polling interval of a request that waits for room.
	waitStep = 20 * time.Millisecond
)

// Forwarder passes requests on. Set the exported fields before use.
type Forwarder struct {
	Codec   call.Codec
	Pool    *conns.Pool
	State   *state.Local
	Ledger  *router.LoadTracker
	Monitor *Monitor
	Queue   *prio.Queue
	// Failures holds which servers fail requests.
	Failures    *Failures
	LocalDomain domain.Name
	Log         *slog.Logger
	// RetryBudget returns the budget of repeats of a service.
	RetryBudget func(service string) *retry.WindowBudget
}

// run is one request on its way.
type run struct {
	*Forwarder
	job    *call.Job
	w      http.ResponseWriter
	out    call.Outcome
	events events
	// began says that the caller has the header of the answer.
	began bool
	// avoid holds addresses that failed this request.
	avoid   map[string]bool
	verdict fault.Verdict
	// ran holds the servers that may have run the request.
	ran []*fleet.Server
	// reserved says that the watch has reserved the next run.
	reserved atomic.Bool
	budget   *retry.WindowBudget
	// passed is when the caller got the last event.
	passed time.Time
	// failure is what a server that failed answered.
	failure *failure
}

// Serve passes a request on and answers the caller.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, j *call.Job) call.Outcome {
	budget := f.RetryBudget(j.Service.Name)
	budget.Record(time.Now())
	ctx, cancel := context.WithDeadlineCause(ctx, j.Deadline, context.DeadlineExceeded)
	defer cancel()
	r := &run{Forwarder: f, job: j, w: w, avoid: map[string]bool{}, verdict: fault.NotRun, budget: budget}
	r.events.last = j.LastEvent
	for {
		chain, err := r.choose(ctx)
		if err == nil {
			err = r.attempt(ctx, chain)
		}
		if err == nil {
			return r.out
		}
		if !r.again(ctx, err) {
			return r.fail(ctx, err)
		}
	}
}

// attempt runs the request on one chain and passes the answer on.
func (r *run) attempt(ctx context.Context, chain router.Chain) *fault.Error {
	first := chain[0].Server
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	live := r.Monitor.add(r.job, chain, cancel, r.reserve(first))
	defer r.Monitor.remove(live)
	start := r.Monitor.Starts.Track(first.ID, notableWait(r.job.Route), time.Now())
	defer r.Monitor.Starts.Untrack(start)
	var reply call.Reply
	o := conns.Options{MaxIdle: fresh, Inspect: func(resp *http.Response) conns.ResponseInfo {
		reply = r.Codec.ParseReply(resp)
		return conns.ResponseInfo{OtherRequest: reply.ID != "" && reply.ID != r.job.ID, Close: reply.Closing, IdleTimeout: reply.IdleTimeout}
	}}
	req := r.Codec.NewRequest(r.job.Request, call.SendOptions{
		Server: first, Chain: chain, Timeout: r.job.Remaining(), Team: r.job.Team,
		Priority: r.job.Priority, LastEvent: r.events.last,
	})
	r.out.Sends++
	r.out.Server = first.ID
	r.out.Chain = chain.String()
	answer, err := r.Pool.Do(actx, first.Address, req, o)
	if err != nil {
		e := fault.As(err)
		if e.Verdict != fault.NotRun {
			r.ran = append(r.ran, first)
		}
		r.blame(actx, first.Address, e)
		return e
	}
	defer answer.Close()
	if reply.NotRun {
		return r.refused(first.Address, reply)
	}
	r.ran = append(r.ran, first)
	if reply.Status != http.StatusOK {
		r.Failures.Record(first.ID, reply.Status >= http.StatusInternalServerError, time.Now())
		return r.failed(answer, reply)
	}
	failure := r.relay(actx, answer, live, start)
	if failure == nil || failure.Code == fault.BrokenAnswer && context.Cause(actx) == nil {
		r.Failures.Record(first.ID, failure != nil, time.Now())
	}
	return failure
}

// relay passes the events of an answer on until its end.
func (r *run) relay(ctx context.Context, answer *conns.Response, live *live, start *router.PendingStart) *fault.Error {
	r.events.resume()
	r.begin(answer)
	flush := http.NewResponseController(r.w)
	buffer := make([]byte, readSize)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if live.touch() {
				r.Monitor.Starts.RecordFirstEvent(start, time.Now())
				r.Ledger.RecordAccepted(live.parts())
			}
			if whole := r.events.add(buffer[:n]); len(whole) > 0 {
				if e := r.pass(whole, flush); e != nil {
					return e
				}
			}
		}
		if err == io.EOF && !r.events.partial() && !r.events.gap {
			r.out.Status = http.StatusOK
			return nil
		}
		if err != nil || r.events.gap || len(r.events.pending) > maxEvent {
			return r.broken(ctx, answer, err)
		}
	}
}

// begin gives the caller the header of the first run's answer.
func (r *run) begin(answer *conns.Response) {
	if r.began {
		return
	}
	call.CopyHeader(r.w.Header(), answer.Header)
	r.w.WriteHeader(answer.StatusCode)
	r.began = true
}

// pass gives whole events to the caller.
func (r *run) pass(whole []byte, flush *http.ResponseController) *fault.Error {
	now := time.Now()
	if r.out.TimeToFirstByte == 0 {
		r.out.TimeToFirstByte = now.Sub(r.job.Arrived)
	} else {
		r.out.LongestGap = max(r.out.LongestGap, now.Sub(r.passed))
	}
	r.passed = now
	r.out.Events = r.events.count
	_, err := r.w.Write(whole)
	if err == nil {
		err = flush.Flush()
	}
	if err != nil {
		return &fault.Error{Code: fault.Cancelled, Verdict: fault.Ran, Message: "the caller has left", Cause: err}
	}
	return nil
}
