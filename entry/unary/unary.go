// Package unary forwards requests to the backend servers of plain services, each of
// which returns one whole response.
//
// An idempotent request that fails or times out is retried on another server while the
// retry budget allows it. A request that is not idempotent is retried only if it has
// certainly not run; if it is unknown whether it ran, the response says so. A response
// is buffered, up to maxBufferedBody, before any of it is forwarded, so that a
// truncated one can be retried.
package unary

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/pause"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/route"
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
	// attemptTimeoutShare is the timeout of an attempt of an idempotent request, as a
	// fraction of the route's target, if another attempt may follow. The rest is
	// enough for a second attempt of average duration.
	attemptTimeoutShare = 0.6
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
	// RecordNeed records that requests of a service lack servers; nil means that nobody asks.
	RecordNeed func(service string)
	// HasEnded reports whether the process of a server has ended.
	HasEnded func(s *fleet.Server) bool
	// RetryBudget returns the retry budget of a service.
	RetryBudget func(service string) *retry.WindowBudget
}

// attempt is the outcome of one attempt of a request.
type attempt struct {
	server string
	// from is the server that was asked.
	from   *fleet.Server
	reply  call.Reply
	header http.Header
	body   []byte
	// rest reads what follows the first maxBufferedBody bytes of a response body, and
	// release ends the attempt after that. They are nil for smaller responses.
	rest    *conns.Response
	release context.CancelFunc
	err     *fault.Error
}

// paused reports whether nothing was sent, because the server has requested a pause.
func (a *attempt) paused() bool { return a.err != nil && egress.IsPaused(a.err) }

// refused reports whether the server responded that it did not run the request.
func (a *attempt) refused() bool { return a.err != nil && a.reply.NotRun }

// Serve forwards a request and writes the response to the caller.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, j *call.Job) call.Outcome {
	out := call.Outcome{}
	budget := f.RetryBudget(j.Service.Name)
	budget.Record(time.Now())
	ctx, cancel := context.WithDeadlineCause(ctx, j.Deadline, context.DeadlineExceeded)
	defer cancel()
	// tried holds the addresses of the servers that the request was sent to, and of
	// those that were skipped, because they are paused or their rate limits do not allow
	// it.
	tried := map[string]bool{}
	// refused holds the servers that refused it.
	var skipped, refused []*fleet.Server
	verdict := fault.NotRun
	// failure is the last error response of a server. The caller gets it if no later
	// attempt has a response: an error with the verdict NotRun would deny that the
	// server ran the request.
	var failure *attempt
	fail := func(e *fault.Error) call.Outcome {
		if failure != nil && !call.CallerGone(ctx) {
			return f.writeResponse(w, out, j, *failure)
		}
		return f.writeError(ctx, w, out, verdict, e)
	}
	for {
		server := f.Stats.Pick(f.State.View().Service(j.Service.Name), f.LocalDomain, tried)
		if f.RecordNeed != nil && (server == nil || server.Suspected) {
			f.RecordNeed(j.Service.Name)
		}
		if server == nil {
			return fail(f.noServer(skipped, refused))
		}
		tried[server.Address] = true
		if f.Servers.Paused(server, time.Now()) > 0 || !f.Limits.Take(server.ID, time.Now()) {
			skipped = append(skipped, server)
			continue
		}
		out.Server = server.ID
		mayRetry := out.Sends+1 < j.Route.Attempts
		a := f.send(ctx, j, server, mayRetry)
		if a.paused() {
			f.Limits.Return(server.ID)
			skipped = append(skipped, server)
			continue
		}
		if a.err == nil || a.err.Verdict != fault.NotRun || a.reply.Status != 0 {
			out.Sends++
		}
		if a.err != nil {
			verdict = verdict.Weaken(a.err.Verdict)
		}
		if a.refused() {
			refused = append(refused, server)
		}
		if a.err == nil {
			if !f.retryResponse(j, a, mayRetry, budget) {
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

// retryResponse reports whether a request is retried after a response, which requires
// that the response is an error, that the request may run again, and that the retry
// budget allows it.
func (f *Forwarder) retryResponse(j *call.Job, a attempt, mayRetry bool, budget *retry.WindowBudget) bool {
	failed := a.reply.Status >= http.StatusInternalServerError
	return failed && mayRetry && a.rest == nil && j.Route.Repeatable() && !f.blocked(j) && budget.Withdraw(time.Now())
}

// retryError reports whether a request is retried after an attempt without a response
// for the caller. A request that was not sent is always retried; others only if they
// have not run or may run again, and within the route's attempts and the retry budget.
func (f *Forwarder) retryError(ctx context.Context, j *call.Job, a attempt, sends int, budget *retry.WindowBudget) bool {
	if ctx.Err() != nil {
		return false
	}
	notSent := a.err.Verdict == fault.NotRun && a.reply.Status == 0
	if notSent {
		return true
	}
	if sends >= j.Route.Attempts || j.Unanswered >= call.MaxUnanswered || f.blocked(j) {
		return false
	}
	if !j.Route.Repeatable() && a.err.Verdict != fault.NotRun {
		return false
	}
	return budget.Withdraw(time.Now())
}

// blocked reports whether a request that was sent before must not be sent again, because such
// requests crash servers.
func (f *Forwarder) blocked(j *call.Job) bool {
	cause, _ := f.Crashes.Blocked(j.Causes, time.Now())
	return cause != "" || j.Trial
}

// send makes one attempt and records its duration and outcome. If the server did not
// respond with a whole answer, send closes the idle connections to it and starts a probe.
func (f *Forwarder) send(ctx context.Context, j *call.Job, server *fleet.Server, mayRetry bool) attempt {
	done := f.Stats.Begin(server.ID)
	start := time.Now()
	j.Sent = start
	a := f.exchange(ctx, j, server, mayRetry)
	a.server = server.ID
	if a.paused() {
		f.Stats.Cancel(server.ID)
		return a
	}
	failed := a.err != nil && !call.CallerGone(ctx) || a.err == nil && a.reply.Status >= http.StatusInternalServerError
	done(time.Since(start), failed)
	if a.err != nil && (a.reply.Status == 0 || a.err.Code == fault.InvalidResponse) && ctx.Err() == nil {
		f.Servers.Pool.CloseIdle(server.Address)
		f.Probe(j, server, a.err.Verdict != fault.NotRun, a.err.Error())
	}
	return a
}

// exchange sends a request to one server and reads the response, up to maxBufferedBody.
func (f *Forwarder) exchange(ctx context.Context, j *call.Job, server *fleet.Server, mayRetry bool) attempt {
	attemptCtx, cancel := context.WithCancel(ctx)
	if mayRetry && j.Route.Repeatable() && j.Route.Target > 0 {
		cancel()
		timeout := time.Duration(float64(j.Route.Target) * attemptTimeoutShare)
		attemptCtx, cancel = f.Clock.WithTimeout(ctx, timeout, errAttemptTimeout)
	}
	a := f.exchangeWithin(attemptCtx, j, server)
	if a.rest == nil {
		cancel()
		return a
	}
	// The caller gets the rest however long it takes.
	stall.Stop(attemptCtx)
	a.release = cancel
	return a
}

// exchangeWithin is exchange for an attempt whose context ends with its timeout.
func (f *Forwarder) exchangeWithin(ctx context.Context, j *call.Job, server *fleet.Server) attempt {
	o := egress.Options{RequestID: j.ID, DialTimeout: connectTimeout(j.Route)}
	if j.Route.Kind == route.AtMostOnce {
		o.MaxIdle = maxIdleAtMostOnce
	}
	req := f.Codec.NewRequest(j.Request, call.SendOptions{Server: server, Timeout: j.Remaining(), Team: j.Team, Priority: j.Priority})
	resp, reply, err := f.Servers.Do(ctx, server, req, o)
	if err != nil {
		return attempt{err: fault.As(err)}
	}
	a := attempt{from: server, reply: reply, header: resp.Header}
	a.body, err = io.ReadAll(io.LimitReader(resp, maxBufferedBody))
	whole := err == nil && len(a.body) < maxBufferedBody
	if whole && resp.EndsWithConn() && f.HasEnded(server) {
		err = errProcessEnded
	}
	if err != nil {
		resp.Close()
		a.err = &fault.Error{Code: fault.InvalidResponse, Verdict: fault.MayHaveRun, Message: "the answer broke off", Server: server.ID, Cause: err}
		return a
	}
	if len(a.body) == maxBufferedBody && !reply.NotRun {
		a.rest = resp
	} else {
		resp.Close()
	}
	if reply.NotRun {
		a.err = &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "the backend server refused", Server: server.ID}
		a.err.RetryAfter = f.retryAfter(f.State.View().Service(j.Service.Name))
	}
	return a
}

// noServer returns the error for a request for which there is no server but those that
// were skipped, and those that refused it and may have requested pauses.
func (f *Forwarder) noServer(skipped, refused []*fleet.Server) *fault.Error {
	now := time.Now()
	paused := func(s *fleet.Server) bool { return f.Servers.Paused(s, now) > 0 }
	if len(skipped) == 0 && !slices.ContainsFunc(refused, paused) {
		return &fault.Error{Code: fault.NoServer, Verdict: fault.NotRun, Message: "no backend server", RetryAfter: time.Second}
	}
	return &fault.Error{
		Code: fault.Overloaded, Verdict: fault.NotRun, Message: "the servers have requested pauses, or their rate limits are reached",
		RetryAfter: f.retryAfter(slices.Concat(skipped, refused)),
	}
}

// retryAfter returns when a refused caller should retry: when the first of the servers
// may get a request again. A suspected server may be alive: it is used again when the
// suspicion ends, or at once if there is no other.
func (f *Forwarder) retryAfter(servers []*fleet.Server) time.Duration {
	staying := slices.DeleteFunc(slices.Clone(servers), func(s *fleet.Server) bool { return s.Leaving })
	if len(staying) > 0 {
		servers = staying
	}
	anyHealthy := slices.ContainsFunc(servers, func(s *fleet.Server) bool { return !s.Suspected })
	now := time.Now()
	var waits []time.Duration
	for _, s := range servers {
		wait := max(f.Servers.Paused(s, now), f.Limits.Wait([]string{s.ID}, now))
		if s.Suspected && anyHealthy {
			wait = max(wait, state.SuspectFor)
		}
		waits = append(waits, wait)
	}
	if len(waits) == 0 {
		return refusalRetryAfter
	}
	return max(refusalRetryAfter, pause.RetryAfter(slices.Min(waits)))
}

// connectTimeout returns the connect timeout for a route; zero means the default.
func connectTimeout(r *route.Route) time.Duration {
	if r.Target <= 0 {
		return 0
	}
	return max(minConnectTimeout, time.Duration(connectTimeoutShare*float64(r.Target)))
}

// errProcessEnded says that a response ended with its connection because the process did.
var errProcessEnded = errors.New("the server's process has ended")

var errAttemptTimeout = errors.New("silent for too long")

// writeResponse writes a backend server's response to the caller.
func (f *Forwarder) writeResponse(w http.ResponseWriter, out call.Outcome, j *call.Job, a attempt) call.Outcome {
	out.Server = a.server
	if a.rest != nil {
		defer a.release()
		defer a.rest.Close()
	}
	if call.StatusMeansNotRun(a.reply.Status) {
		// The status would tell the caller that the request did not run, which the
		// server has not confirmed.
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
	if err == nil {
		_, err = io.Copy(w, a.rest)
	}
	if err == nil && a.rest.EndsWithConn() && f.HasEnded(a.from) {
		err = errProcessEnded
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
