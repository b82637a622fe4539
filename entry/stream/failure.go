package stream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
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
func (r *request) handleRefusal(firstAddress string, reply call.Reply) *fault.Error {
	address := reply.RefusedBy
	if address == "" {
		address = firstAddress
	}
	r.avoid[address] = true
	server := ""
	if s := r.State.View().ByAddress(address); s != nil {
		server = s.ID
		if r.Load.RecordRefusal(s.ID, time.Now()) {
			r.Monitor.Broadcast()
		}
	}
	if address != firstAddress {
		// The server may be saturated or may have failed: the first server does not
		// say which.
		r.Monitor.Probe(address, "the first server refused a request because of this server")
	}
	r.Log.Info("stream: refused by a server", "request", r.job.ID, "status", reply.Status, "server", server, "address", address, "first", r.out.Server)
	return &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "a backend server refused", Server: address, RetryAfter: r.refusalRetryAfter()}
}

// maxErrorBody is the largest body of an error response that is kept for the caller.
const maxErrorBody = 1 << 20

// handleServerError keeps the error response of a server. It is delivered if no
// other attempt succeeds and the caller has no header yet.
func (r *request) handleServerError(resp *conns.Response, reply call.Reply) *fault.Error {
	body, err := io.ReadAll(io.LimitReader(resp, maxErrorBody+1))
	r.avoid[resp.Request.URL.Host] = true
	if err == nil && len(body) <= maxErrorBody && !call.StatusMeansNotRun(reply.Status) {
		r.serverError = &errorResponse{header: resp.Header, status: reply.Status, body: body}
	}
	return &fault.Error{Code: fault.ServerFailed, Verdict: fault.MayHaveRun, Message: "the backend server failed", Server: r.out.Server, Cause: err}
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
func (r *request) handleBrokenResponse(ctx context.Context, resp *conns.Response, stream *activeStream, err error) *fault.Error {
	resp.Reset()
	if r.events.skipped {
		err = errors.New("an event is missing")
	}
	e := &fault.Error{
		Code: fault.InvalidResponse, Verdict: fault.MayHaveRun, Message: "the answer broke off",
		Server: r.out.Server, Cause: err,
	}
	if cause := context.Cause(ctx); cause != nil {
		e.Cause = cause
	}
	r.avoidFailedServer(ctx, stream, e)
	return e
}

// avoidFailedServer avoids the first server of a failed attempt, unless the caller
// left or the deadline passed. It probes the server, unless this entry host ended the
// attempt.
func (r *request) avoidFailedServer(ctx context.Context, stream *activeStream, e *fault.Error) {
	if call.CallerGone(ctx) || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return
	}
	first := stream.currentChain()[0].Server
	r.avoid[first.Address] = true
	r.Servers.Pool.CloseIdle(first.Address)
	if context.Cause(ctx) != nil {
		return
	}
	r.Monitor.ProbeFor(r.job, first, e.Verdict != fault.NotRun && !stream.answered.Load(), e.Error())
}

// shouldRetry reports whether the request is sent again on another chain. It
// withdraws the retry from the retry budget, unless the monitor has reserved it.
func (r *request) shouldRetry(ctx context.Context, e *fault.Error) bool {
	if ctx.Err() != nil || e.Code == fault.Cancelled || e.Code == fault.Poisoned || r.job.Unanswered >= call.MaxUnanswered {
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
	allowed := r.restartReserved.Swap(false) || r.budget.Withdraw(time.Now())
	r.Log.Info("stream: tried again", "request", r.job.ID, "server", r.out.Server, "chain", r.out.Chain,
		"allowed", allowed, "sends", r.out.Sends, "events", r.events.count, "error", e)
	return allowed
}

// restartReservation returns a function that reserves the attempt after the one that
// starts at the given server. The monitor calls it before it ends an attempt that
// could still continue: without a further attempt the caller would be left with a
// truncated response.
func (r *request) restartReservation(first *fleet.Server) func() bool {
	servers := append(slices.Clone(r.mayHaveRun), first)
	sends := r.out.Sends + 1
	return func() bool {
		if !r.job.Route.Repeatable() || !r.canAttempt(servers, sends) {
			return false
		}
		if !r.budget.Withdraw(time.Now()) {
			return false
		}
		r.restartReserved.Store(true)
		return true
	}
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
