package stream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/caller"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/router"
)

// errSuperseded is the cause for which an attempt ends because another one goes on.
var errSuperseded = errors.New("stream: another attempt goes on")

// attempt is one attempt of a request, on one chain. If its servers are silent, another one may
// be in flight beside it until either delivers an event.
type attempt struct {
	*request
	chain  router.Chain
	ctx    context.Context
	cancel context.CancelCauseFunc
	stream *activeStream
	events eventFilter
	// takesOver says that this attempt replaces one that still gets events, because a server of that
	// one is about to leave its chain. It goes on as soon as it has an event.
	takesOver bool
	// superseded is set once another attempt goes on instead. The request's mu guards it.
	superseded bool
	// done is closed when the attempt has ended, with err as its outcome.
	done chan struct{}
	err  *fault.Error
}

// begin registers an attempt on a chain. The request's mu is held.
func (r *request) begin(chain router.Chain) *attempt {
	a := &attempt{request: r, chain: chain, done: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancelCause(r.ctx)
	a.events.sync(r.delivered)
	a.events.resume()
	a.stream = r.Monitor.add(a.ctx, r.job, chain, a.cancel, a.replace)
	r.inFlight = append(r.inFlight, a)
	r.job.Caller.Add(caller.AttemptBegun, chain[0].Server.ID)
	return a
}

// attempt sends the request to one chain and forwards the response. If another attempt
// is begun beside it, it returns the outcome of both.
func (r *request) attempt(chain router.Chain) *fault.Error {
	r.mu.Lock()
	a := r.begin(chain)
	r.mu.Unlock()
	r.releaseHeld()
	a.run()
	return r.outcome(a)
}

// outcome waits for the attempts that were begun beside an attempt that has ended, and returns
// nil if one of them delivered the response.
func (r *request) outcome(a *attempt) *fault.Error {
	err := a.err
	for other := r.other(a); other != nil; other = r.other(other) {
		if err == nil {
			other.cancel(errSuperseded)
		}
		<-other.done
		if err != nil {
			err = other.err
		}
	}
	return err
}

// other returns an attempt that was in flight beside the given one and whose outcome has not been
// taken; nil if there is none.
func (r *request) other(a *attempt) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight = slices.DeleteFunc(r.inFlight, func(b *attempt) bool { return a == b })
	if len(r.inFlight) == 0 {
		return nil
	}
	return r.inFlight[0]
}

// run sends the request, forwards the response and sets the outcome.
func (a *attempt) run() {
	defer close(a.done)
	a.err = a.exchange()
	a.cancel(nil)
	a.job.Caller.Add(caller.AttemptEnded, a.chain[0].Server.ID)
	a.Monitor.remove(a.stream)
	a.leave()
}

// leave removes an attempt that failed while another one is in flight, whose outcome is that of
// the request.
func (a *attempt) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err == nil || len(a.inFlight) < 2 {
		return
	}
	a.verdict = a.verdict.Weaken(a.err.Verdict)
	a.inFlight = slices.DeleteFunc(a.inFlight, func(b *attempt) bool { return a == b })
}

// exchange sends the request and forwards the response.
func (a *attempt) exchange() *fault.Error {
	first := a.chain[0].Server
	pending := a.Monitor.StartLatency.Track(first.ID, notableWait(a.job.Route), time.Now())
	defer a.Monitor.StartLatency.Untrack(pending)
	resp, reply, err := a.send(first)
	if err != nil && egress.WasNotSent(err) {
		a.mu.Lock()
		a.out.Sends--
		a.mu.Unlock()
		a.Limits.Return(first.ID)
		return fault.As(err)
	}
	if err != nil {
		e := fault.As(err)
		if e.Verdict != fault.NotRun {
			a.recordRun(first)
		}
		a.avoidFailedServer(e)
		return e
	}
	defer resp.Close()
	if reply.NotRun {
		return a.handleRefusal(reply)
	}
	a.recordRun(first)
	if reply.Status != http.StatusOK {
		a.Failures.Record(first.ID, reply.Status >= http.StatusInternalServerError, time.Now())
		return a.handleServerError(resp, reply)
	}
	failure := a.relayEvents(resp, pending)
	if failure == nil || failure.Code == fault.InvalidResponse && context.Cause(a.ctx) == nil {
		a.Failures.Record(first.ID, failure != nil, time.Now())
	}
	return failure
}

// send sends the request to the first server and reads the header of the response.
func (a *attempt) send(first *fleet.Server) (*conns.Response, call.Reply, error) {
	req := a.Codec.NewRequest(a.job.Request, call.SendOptions{
		Server: first, Chain: a.chain, Timeout: a.job.Remaining(), Team: a.job.Team,
		Priority: a.job.Priority, LastEvent: a.events.lastID,
	})
	a.mu.Lock()
	a.out.Sends++
	a.out.Server = first.ID
	a.out.Chain = a.chain.String()
	a.mu.Unlock()
	return a.Servers.Do(a.ctx, first, req, egress.Options{RequestID: a.job.ID, MaxIdle: maxIdleReuse, OnConn: a.stream.direct.Store, Caller: a.job.Caller})
}

// recordRun records a server that may have run the request.
func (a *attempt) recordRun(s *fleet.Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mayHaveRun = append(a.mayHaveRun, s)
}

// relayEvents forwards the events of a response until its end.
func (a *attempt) relayEvents(resp *conns.Response, pending *router.PendingStart) *fault.Error {
	controller := http.NewResponseController(a.w)
	buffer := make([]byte, readBufferSize)
	for {
		n, err := resp.Read(buffer)
		if n > 0 {
			if e := a.deliver(resp, buffer[:n], controller, pending); e != nil {
				return e
			}
		}
		if err == io.EOF && !a.events.partial() && !a.events.skipped && a.isComplete(resp) {
			return a.complete(resp)
		}
		if err != nil || a.events.skipped || len(a.events.pending) > maxEventBytes {
			return a.handleBrokenResponse(resp, err)
		}
	}
}

// deliver sends the whole events among the bytes of a response to the caller. The first
// attempt that has one ends the other.
func (a *attempt) deliver(resp *conns.Response, b []byte, controller *http.ResponseController, pending *router.PendingStart) *fault.Error {
	a.writing.Lock()
	defer a.writing.Unlock()
	a.mu.Lock()
	a.events.sync(a.delivered)
	a.mu.Unlock()
	seen := a.events.seen
	whole := a.events.add(b)
	if a.events.seen > seen {
		a.recordEvents(pending)
	}
	if len(whole) == 0 && (!a.takesOver || a.events.seen == seen) {
		return nil
	}
	if !a.claim(false) {
		return a.supersededError()
	}
	if len(whole) == 0 {
		return nil
	}
	a.sendHeader(resp)
	return a.sendEvents(whole, controller)
}

// recordEvents records that whole events have arrived. Bytes that are none show nothing of the servers.
func (a *attempt) recordEvents(pending *router.PendingStart) {
	first, answered := a.stream.recordEvent()
	if first {
		a.Monitor.StartLatency.RecordFirstEvent(pending, time.Now())
		a.Load.RecordAccepted(a.stream.currentChain())
	}
	if answered {
		a.Monitor.Crashes.RecordAnswer(a.job.Causes, a.job.ID, time.Now())
	}
}

// claim makes this attempt the one that delivers the response, and ends the other one, unless that
// one is to take over before the end. It reports false if another attempt goes on. The mutex writing
// is held.
func (a *attempt) claim(atEnd bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.superseded {
		return false
	}
	a.delivered = position{lastID: a.events.lastID, count: a.events.count}
	for _, other := range a.inFlight {
		if other == a || other.superseded || other.takesOver && !atEnd {
			continue
		}
		other.superseded = true
		other.cancel(errSuperseded)
		a.Log.Info("stream: one of two attempts goes on", "request", a.job.ID, "chain", a.stream.currentChain().String(),
			"ended", other.stream.currentChain().String(), "silence", other.stream.silence(), "events", a.events.count)
	}
	a.takesOver = false
	return true
}

// complete ends the response, unless another attempt delivers it.
func (a *attempt) complete(resp *conns.Response) *fault.Error {
	a.writing.Lock()
	defer a.writing.Unlock()
	if !a.claim(true) {
		return a.supersededError()
	}
	a.sendHeader(resp)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.out.Status = http.StatusOK
	return nil
}

// supersededError returns the error of an attempt that another one has replaced.
func (a *attempt) supersededError() *fault.Error {
	return &fault.Error{
		Code: fault.InvalidResponse, Verdict: fault.MayHaveRun, Message: "the answer is delivered by another attempt",
		Server: a.chain[0].Server.ID, Cause: errSuperseded,
	}
}

// isComplete reports whether a response that ends between two events is complete. One that ends with
// its connection is not if it holds no event, or if the process of the server has ended.
func (a *attempt) isComplete(resp *conns.Response) bool {
	if !resp.EndsWithConn() {
		return true
	}
	return a.stream.started.Load() && !a.Monitor.HasEnded(a.stream.currentChain()[0].Server)
}

// sendHeader sends the header of a response to the caller, unless another attempt
// has sent one. The mutex writing is held.
func (a *attempt) sendHeader(resp *conns.Response) {
	a.mu.Lock()
	sent := a.headerSent
	a.headerSent = true
	a.mu.Unlock()
	if sent {
		return
	}
	call.CopyHeader(a.w.Header(), resp.Header)
	a.w.WriteHeader(resp.StatusCode)
}

// sendEvents sends whole events to the caller. The mutex writing is held.
func (a *attempt) sendEvents(whole []byte, controller *http.ResponseController) *fault.Error {
	now := time.Now()
	a.mu.Lock()
	if a.out.TimeToFirstByte == 0 {
		a.out.TimeToFirstByte = now.Sub(a.job.Arrived)
	} else {
		a.out.LongestGap = max(a.out.LongestGap, now.Sub(a.lastEventAt))
	}
	a.out.Events = a.events.count
	a.mu.Unlock()
	a.lastEventAt = now
	_, err := a.w.Write(whole)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil {
		a.job.Caller.WriteFailed()
		return &fault.Error{Code: fault.Cancelled, Verdict: fault.Ran, Message: "the caller has left", Cause: err}
	}
	return nil
}
