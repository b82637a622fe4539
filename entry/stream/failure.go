package stream

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
)

// errorResponse is the error response of a server.
type errorResponse struct {
	header http.Header
	status int
	body   []byte
}

// handleRefusal records that a server refused the request and did not run it, and
// returns the error of the attempt.
func (a *attempt) handleRefusal(reply call.Reply) *fault.Error {
	first := a.chain[0].Server
	address := cmp.Or(reply.RefusedBy, first.Address)
	a.avoidServer(address)
	server := ""
	if s := a.State.View().ByAddress(address); s != nil {
		server = s.ID
		if a.Load.RecordRefusal(s.ID, time.Now()) {
			a.Monitor.Broadcast()
		}
	}
	if address != first.Address {
		// The server may be saturated or may have failed: the first server does not
		// say which.
		a.Monitor.Probe(address, "the first server refused a request because of this server")
	}
	a.Log.Info("stream: refused by a server", "request", a.job.ID, "status", reply.Status, "server", server, "address", address, "first", first.ID)
	return &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "a backend server refused", Server: address, RetryAfter: a.refusalRetryAfter()}
}

// avoidServer keeps the next attempts of the request off a server.
func (r *request) avoidServer(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid[address] = true
}

// maxErrorBody is the largest body of an error response that is kept for the caller.
const maxErrorBody = 1 << 20

// handleServerError keeps the error response of a server. It is delivered if no
// other attempt succeeds and the caller has no header yet.
func (a *attempt) handleServerError(resp *conns.Response, reply call.Reply) *fault.Error {
	body, err := io.ReadAll(io.LimitReader(resp, maxErrorBody+1))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.avoid[resp.Request.URL.Host] = true
	if err == nil && len(body) <= maxErrorBody && !call.StatusMeansNotRun(reply.Status) {
		a.serverError = &errorResponse{header: resp.Header, status: reply.Status, body: body}
	}
	return &fault.Error{Code: fault.ServerFailed, Verdict: fault.MayHaveRun, Message: "the backend server failed", Server: a.chain[0].Server.ID, Cause: err}
}

// deliverServerError sends the kept error response to the caller.
func (r *request) deliverServerError() call.Outcome {
	call.CopyHeader(r.w.Header(), r.serverError.header)
	r.w.WriteHeader(r.serverError.status)
	r.out.Status = r.serverError.status
	if _, err := r.w.Write(r.serverError.body); err != nil {
		r.out.Truncated = true
	}
	return r.out
}

// handleBrokenResponse closes the connection of a response that ended early, avoids
// its server, and returns the error.
func (a *attempt) handleBrokenResponse(resp *conns.Response, err error) *fault.Error {
	resp.Reset()
	if a.events.skipped {
		err = errors.New("an event is missing")
	}
	e := &fault.Error{
		Code: fault.InvalidResponse, Verdict: fault.MayHaveRun, Message: "the answer broke off",
		Server: a.chain[0].Server.ID, Cause: err,
	}
	if cause := context.Cause(a.ctx); cause != nil {
		e.Cause = cause
	}
	a.avoidFailedServer(e)
	return e
}

// avoidFailedServer avoids the first server of a failed attempt, unless the caller
// left or the deadline passed. It probes the server, unless this entry host ended the
// attempt.
func (a *attempt) avoidFailedServer(e *fault.Error) {
	if call.CallerGone(a.ctx) || errors.Is(context.Cause(a.ctx), context.DeadlineExceeded) {
		return
	}
	first := a.stream.currentChain()[0].Server
	a.avoidServer(first.Address)
	a.Servers.Pool.CloseIdle(first.Address)
	if context.Cause(a.ctx) != nil {
		return
	}
	a.Monitor.probeFor(a.job, first, a.stream.startedAt, e.Verdict != fault.NotRun && !a.stream.answered.Load(), e.Error())
}

// shouldRetry reports whether the request is sent again on another chain. It
// withdraws the retry from the retry budget, unless that has been done.
func (r *request) shouldRetry(ctx context.Context, e *fault.Error) bool {
	if ctx.Err() != nil || e.Code == fault.Cancelled || e.Code == fault.Poisoned || r.job.Unanswered.Load() >= call.MaxUnanswered {
		return false
	}
	if r.job.Trial && e.Verdict != fault.NotRun {
		return false
	}
	if egress.IsPaused(e) {
		// Nothing was sent, and another chain is chosen.
		return true
	}
	if e.Code == fault.NoCover || e.Code == fault.Overloaded {
		return false
	}
	if e.Verdict != fault.NotRun && !r.job.Route.Repeatable() {
		return false
	}
	if !r.canAttempt(r.mayHaveRun, r.out.Sends) {
		return false
	}
	r.verdict = r.verdict.Weaken(e.Verdict)
	allowed := r.reserved || r.budget.Withdraw(time.Now())
	r.reserved = false
	r.Log.Info("stream: tried again", "request", r.job.ID, "server", r.out.Server, "chain", r.out.Chain,
		"allowed", allowed, "sends", r.out.Sends, "events", r.delivered.count, "error", e)
	return allowed
}

// canAttempt reports whether a request may be sent once more after the given number
// of sends, if the given servers may have run it.
func (r *request) canAttempt(servers []*fleet.Server, sends int) bool {
	return sends <= maxResends && r.countAttempts(servers) < r.job.Route.Attempts
}

// countAttempts returns how many of the servers that may have run the request count
// towards the attempts that its route allows: those whose process is not known to have
// ended. An attempt on one that has ended does not count, so another may replace it.
// Neither a suspicion nor a missing entry is enough: a live server may be behind a lossy
// link, and one that leaves serves on after its entry was removed.
func (r *request) countAttempts(servers []*fleet.Server) int {
	view := r.State.View()
	n := 0
	for _, s := range servers {
		current := view.ByAddress(s.Address)
		replaced := current != nil && (current.ID != s.ID || !current.StartedAt.Equal(s.StartedAt))
		if !replaced && !r.Monitor.hasExited(s.ID) {
			n++
		}
	}
	return n
}

// leftEarly returns the error of a request whose caller has left before another attempt.
func (r *request) leftEarly() *fault.Error {
	if !r.job.Caller.Left() {
		return nil
	}
	return &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "the caller has left"}
}

// maxResends bounds how often one request is sent again, also after refusals.
const maxResends = 3

// finishFailed ends a request that is not sent again.
func (r *request) finishFailed(ctx context.Context, e *fault.Error) call.Outcome {
	final := *e
	final.Verdict = r.verdict.Weaken(e.Verdict)
	r.out.Error = &final
	r.logEndedServer()
	if call.CallerGone(ctx) {
		final.Code = fault.Cancelled
		return r.out
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		final.Code = fault.Deadline
	}
	if final.Verdict == fault.NotRun && final.RetryAfter == 0 {
		final.RetryAfter = minRetryAfter
	}
	if r.serverError != nil && !r.headerSent {
		return r.deliverServerError()
	}
	if r.headerSent {
		// The caller has a partial response, which must not look complete.
		r.out.Truncated = true
		return r.out
	}
	r.out.Status = call.WriteError(r.w, r.Codec, &final)
	return r.out
}
