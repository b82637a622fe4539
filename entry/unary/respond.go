package unary

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/pause"
)

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
