// Package plain passes requests on to backend servers of plain services, each
// of which gives a whole answer by itself.
//
// A request that is not idempotent is sent to one server once; if it is unknown
// whether it ran, the response says so. An idempotent request that fails or times out
// is retried on another server while the retry budget allows it. A response is read
// to its end before any of it is passed on, so that a truncated one can be retried.
package unary

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/route"
)

const (
	// maxBufferedBody is how much of an answer is read before the caller gets it. Larger
	// ones are passed on as they come.
	maxBufferedBody = 1 << 20
	// maxIdleAtMostOnce is the maximum idle time of a connection that is reused for a request
	// that is not idempotent: after a close by the server it is unknown whether the
	// request ran.
	maxIdleAtMostOnce = time.Second
	// refusalRetryAfter is when a refused caller should come again: queues of a plain
	// service empty within some tens of milliseconds.
	refusalRetryAfter = 200 * time.Millisecond
	// attemptTimeoutShare is the timeout of an idempotent request at one server while another
	// may be tried, as a fraction of the route's target. The rest is enough for a
	// second response of average duration.
	attemptTimeoutShare = 0.6
	// connectTimeoutShare bounds the time to connect, as a fraction of the route's target.
	// Nothing has been sent by then, so any request may go to another server.
	connectTimeoutShare = 0.4
	// minConnectTimeout is the minimum of that bound: a few round trips.
	minConnectTimeout = 40 * time.Millisecond
)

// Forwarder passes requests on. Set the exported fields before use.
type Forwarder struct {
	Codec       call.Codec
	Pool        *conns.Pool
	State       *state.Local
	Stats       *Stats
	LocalDomain domain.Name
	// Probe asks a server that failed under a request whether it lives.
	Probe func(j *call.Job, address, why string)
	// Budget returns the budget of repeats of a service.
	Budget func(service string) *retry.WindowBudget
}

// attempt is the outcome of one sending.
type attempt struct {
	server string
	reply  call.Reply
	header http.Header
	body   []byte
	// rest is set for an answer larger than what is held.
	rest *conns.Response
	err  *fault.Error
}

// Serve passes a request on and answers the caller.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, j *call.Job) call.Outcome {
	out := call.Outcome{}
	budget := f.Budget(j.Service.Name)
	budget.Record(time.Now())
	ctx, cancel := context.WithDeadlineCause(ctx, j.Deadline, context.DeadlineExceeded)
	defer cancel()
	avoid := map[string]bool{}
	verdict := fault.NotRun
	// failure is the answer of a server that ran the request and failed. If no
	// other server does better it is what the caller gets: a refusal would say
	// that the request had not run.
	var failure *attempt
	fail := func(e *fault.Error) call.Outcome {
		if failure != nil && !call.CallerGone(ctx) {
			return f.writeResponse(w, out, j, *failure)
		}
		return f.writeError(ctx, w, out, verdict, e)
	}
	for {
		server := f.Stats.Pick(f.State.View().Service(j.Service.Name), f.LocalDomain, avoid)
		if server == nil {
			return fail(&fault.Error{Code: fault.NoServer, Verdict: fault.NotRun, Message: "no backend server", RetryAfter: time.Second})
		}
		avoid[server.Address] = true
		out.Server = server.ID
		more := out.Sends+1 < j.Route.Attempts
		a := f.send(ctx, j, server, more)
		if a.err == nil || a.err.Verdict != fault.NotRun || a.reply.Status != 0 {
			out.Sends++
		}
		if a.err != nil {
			verdict = verdict.Weaken(a.err.Verdict)
		}
		if a.err == nil {
			if !f.retryResponse(j, a, more, budget) {
				return f.writeResponse(w, out, j, a)
			}
			failure = &a
			continue
		}
		if !f.retryError(ctx, j, a, out.Sends, budget) {
			return fail(a.err)
		}
	}
}

// retryResponse reports whether a failure response is retried on a second server.
func (f *Forwarder) retryResponse(j *call.Job, a attempt, more bool, budget *retry.WindowBudget) bool {
	failed := a.reply.Status >= http.StatusInternalServerError
	return failed && more && a.rest == nil && j.Route.Repeatable() && budget.Withdraw(time.Now())
}

// retryError reports whether a failed sending is followed by another.
func (f *Forwarder) retryError(ctx context.Context, j *call.Job, a attempt, sends int, budget *retry.WindowBudget) bool {
	if ctx.Err() != nil {
		return false
	}
	neverLeft := a.err.Verdict == fault.NotRun && a.reply.Status == 0
	if neverLeft {
		return true
	}
	if sends >= j.Route.Attempts {
		return false
	}
	if !j.Route.Repeatable() && a.err.Verdict != fault.NotRun {
		return false
	}
	return budget.Withdraw(time.Now())
}

// send passes the request to one server and reads its answer.
func (f *Forwarder) send(ctx context.Context, j *call.Job, server *fleet.Server, more bool) attempt {
	done := f.Stats.Begin(server.ID)
	start := time.Now()
	a := f.exchange(ctx, j, server, more)
	a.server = server.ID
	failed := a.err != nil && !call.CallerGone(ctx) || a.err == nil && a.reply.Status >= http.StatusInternalServerError
	done(time.Since(start), failed)
	if a.err != nil && a.reply.Status == 0 && ctx.Err() == nil {
		f.Pool.CloseIdle(server.Address)
		f.Probe(j, server.Address, a.err.Error())
	}
	return a
}

func (f *Forwarder) exchange(ctx context.Context, j *call.Job, server *fleet.Server, more bool) attempt {
	sctx, cancel := context.WithCancel(ctx)
	if more && j.Route.Repeatable() && j.Route.Target > 0 {
		cancel()
		wait := time.Duration(float64(j.Route.Target) * attemptTimeoutShare)
		sctx, cancel = context.WithTimeoutCause(ctx, wait, errAttemptTimeout)
	}
	defer cancel()
	var reply call.Reply
	o := conns.Options{DialTimeout: connectTimeout(j.Route), Inspect: func(r *http.Response) conns.ResponseInfo {
		reply = f.Codec.ParseReply(r)
		return conns.ResponseInfo{OtherRequest: reply.ID != "" && reply.ID != j.ID, Close: reply.Closing, IdleTimeout: reply.IdleTimeout}
	}}
	if j.Route.Kind == route.AtMostOnce {
		o.MaxIdle = maxIdleAtMostOnce
	}
	req := f.Codec.NewRequest(j.Request, call.SendOptions{Server: server, Timeout: j.Remaining(), Team: j.Team, Priority: j.Priority})
	answer, err := f.Pool.Do(sctx, server.Address, req, o)
	if err != nil {
		return attempt{err: fault.As(err)}
	}
	a := attempt{reply: reply, header: answer.Header}
	a.body, err = io.ReadAll(io.LimitReader(answer, maxBufferedBody))
	if err != nil {
		answer.Close()
		a.err = &fault.Error{Code: fault.BrokenAnswer, Verdict: fault.MayHaveRun, Message: "the answer broke off", Server: server.ID, Cause: err}
		return a
	}
	if len(a.body) == maxBufferedBody && j.Route.Kind != route.Idempotent {
		a.rest = answer
	} else if len(a.body) == maxBufferedBody {
		a.err = &fault.Error{Code: fault.BrokenAnswer, Verdict: fault.MayHaveRun, Message: "the answer is too large", Server: server.ID}
		answer.Close()
		return a
	} else {
		answer.Close()
	}
	if reply.NotRun {
		a.err = &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "the backend server refused", Server: server.ID, RetryAfter: refusalRetryAfter}
	}
	return a
}

// connectTimeout bounds the time to connect for a route; zero means the default.
func connectTimeout(r *route.Route) time.Duration {
	if r.Target <= 0 {
		return 0
	}
	return max(minConnectTimeout, time.Duration(connectTimeoutShare*float64(r.Target)))
}

var errAttemptTimeout = errors.New("silent for too long")

// writeResponse gives the caller an answer.
func (f *Forwarder) writeResponse(w http.ResponseWriter, out call.Outcome, j *call.Job, a attempt) call.Outcome {
	out.Server = a.server
	if call.StatusMeansNotRun(a.reply.Status) {
		// This server did not say that the request had not run.
		e := &fault.Error{Code: fault.ServerFailed, Verdict: fault.MayHaveRun, Message: "the backend server failed", Server: out.Server}
		out.Error = e
		out.Status = call.WriteError(w, f.Codec, e)
		return out
	}
	call.CopyHeader(w.Header(), a.header)
	out.Status = a.reply.Status
	out.TimeToFirstByte = time.Since(j.Arrived)
	w.WriteHeader(a.reply.Status)
	_, err := io.Copy(w, bytes.NewReader(a.body))
	if a.rest == nil {
		out.Truncated = err != nil
		return out
	}
	defer a.rest.Close()
	if err == nil {
		_, err = io.Copy(w, a.rest)
	}
	if err != nil {
		out.Truncated = true
	}
	return out
}

// writeError ends a request with an error response.
func (f *Forwarder) writeError(ctx context.Context, w http.ResponseWriter, out call.Outcome, verdict fault.Verdict, e *fault.Error) call.Outcome {
	final := *e
	final.Verdict = verdict
	if call.CallerGone(ctx) {
		final.Code = fault.Cancelled
		out.Error = &final
		return out
	}
	if ctx.Err() != nil {
		final.Code = fault.Deadline
	}
	if verdict == fault.NotRun && final.RetryAfter == 0 {
		final.RetryAfter = refusalRetryAfter
	}
	out.Error = &final
	out.Status = call.WriteError(w, f.Codec, &final)
	return out
}
