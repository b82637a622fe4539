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
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
)

// failure is a server's response with an error of its own.
type failure struct {
	header http.Header
	status int
	body   []byte
}

// refused handles the word of a server that it did not run the request.
func (r *run) refused(first string, reply call.Reply) *fault.Error {
	at := reply.RefusedBy
	if at == "" {
		at = first
	}
	r.avoid[at] = true
	server := ""
	if s := r.State.View().ByAddress(at); s != nil {
		server = s.ID
		if r.Ledger.RecordRefusal(s.ID, time.Now()) {
			r.Monitor.Broadcast()
		}
	}
	if at != first {
		// It may be full, or dead: the first server does not say which.
		r.Monitor.Probe(at, "a chain is refused for it")
	}
	r.Log.Info("stream: refused by a server", "request", r.job.ID, "status", reply.Status, "server", server, "address", at, "first", r.out.Server)
	return &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "a backend server refused", Server: at, RetryAfter: comeBack}
}

// failed handles a server's own failure. It is kept, and delivered if no other
// chain does better before the caller has seen anything of an answer.
func (r *run) failed(answer *conns.Response, reply call.Reply) *fault.Error {
	body, err := io.ReadAll(io.LimitReader(answer, readSize))
	r.avoid[answer.Request.URL.Host] = true
	if err == nil && !call.StatusMeansNotRun(reply.Status) {
		r.failure = &failure{header: answer.Header, status: reply.Status, body: body}
	}
	return &fault.Error{Code: fault.ServerFailed, Verdict: fault.MayHaveRun, Message: "the backend server failed", Server: r.out.Server, Cause: err}
}

// deliver passes the kept failure of a server on.
func (r *run) deliver() call.Outcome {
	call.CopyHeader(r.w.Header(), r.failure.header)
	r.w.WriteHeader(r.failure.status)
	r.out.Status = r.failure.status
	if _, err := r.w.Write(r.failure.body); err != nil {
		r.out.Truncated = true
	}
	return r.out
}

// broken explains an answer that ended early.
func (r *run) broken(ctx context.Context, answer *conns.Response, err error) *fault.Error {
	answer.Reset()
	if r.events.gap {
		err = errors.New("an event is missing")
	}
	e := &fault.Error{
		Code: fault.BrokenAnswer, Verdict: fault.MayHaveRun, Message: "the answer broke off",
		Server: r.out.Server, Cause: err,
	}
	if cause := context.Cause(ctx); cause != nil {
		e.Cause = cause
	}
	r.blame(ctx, answer.Request.URL.Host, e)
	return e
}

// blame avoids the first server of a failed attempt, and suspects it unless
// the attempt was ended from this side.
func (r *run) blame(ctx context.Context, address string, e *fault.Error) {
	if call.CallerGone(ctx) || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return
	}
	r.avoid[address] = true
	r.Pool.CloseIdle(address)
	if context.Cause(ctx) == nil {
		r.Monitor.ProbeFor(r.job, address, e.Error())
	}
}

// again reports whether another chain is tried.
func (r *run) again(ctx context.Context, e *fault.Error) bool {
	if ctx.Err() != nil || e.Code == fault.Cancelled || r.Monitor.Crashes.Blocked(r.job.Fingerprint, time.Now()) {
		return false
	}
	if e.Code == fault.NoCover || e.Code == fault.Overloaded {
		return false
	}
	if e.Verdict != fault.NotRun && !r.job.Route.Repeatable() {
		return false
	}
	if !r.mayRun(r.ran, r.out.Sends) {
		return false
	}
	r.verdict = r.verdict.Weaken(e.Verdict)
	allowed := r.reserved.Swap(false) || r.budget.Withdraw(time.Now())
	r.Log.Info("stream: tried again", "request", r.job.ID, "server", r.out.Server, "chain", r.out.Chain,
		"allowed", allowed, "sends", r.out.Sends, "events", r.events.count, "error", e)
	return allowed
}

// reserve returns a function that reserves a run after that of a first server. The
// watch ends a run only for a reserved one: otherwise the caller could be left with a
// truncated answer.
func (r *run) reserve(first *fleet.Server) func() bool {
	ran := append(slices.Clone(r.ran), first)
	sends := r.out.Sends + 1
	return func() bool {
		if !r.job.Route.Repeatable() || !r.mayRun(ran, sends) {
			return false
		}
		if !r.budget.Withdraw(time.Now()) {
			return false
		}
		r.reserved.Store(true)
		return true
	}
}

// mayRun reports whether the request may be sent once more after so many sends, if
// some servers may have run it.
func (r *run) mayRun(ran []*fleet.Server, sends int) bool {
	return sends <= maxSends && r.runs(ran) < r.job.Route.Attempts
}

// runs returns how many of the servers that have run the request count towards the
// attempts of its route: those that still live. A server that died may be replaced by
// another.
func (r *run) runs(ran []*fleet.Server) int {
	view := r.State.View()
	n := 0
	for _, s := range ran {
		now := view.ByAddress(s.Address)
		if now != nil && now.ID == s.ID && !now.Suspected {
			n++
		}
	}
	return n
}

// maxSends bounds the chains that one request is sent to, refusals included.
const maxSends = 3

// fail ends a request that was given up.
func (r *run) fail(ctx context.Context, e *fault.Error) call.Outcome {
	final := *e
	final.Verdict = r.verdict.Weaken(e.Verdict)
	r.out.Error = &final
	if call.CallerGone(ctx) {
		final.Code = fault.Cancelled
		return r.out
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		final.Code = fault.Deadline
	}
	if r.failure != nil && !r.began {
		return r.deliver()
	}
	if r.began {
		// The caller has half an answer: it must not look complete.
		r.out.Truncated = true
		return r.out
	}
	r.out.Status = call.WriteError(r.w, r.Codec, &final)
	return r.out
}
