// Package front serves callers over HTTP: it finds the route of a request, rejects
// requests that may not be served, and passes the others to a forwarder.
//
// It runs on net/http rather than hertz: backend servers must stop working on a request
// as soon as its caller disconnects. Hertz notices a disconnect only on its own
// transport, which polls descriptors in ways that small hosts do not allow.
package front

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/caller"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/route"
)

// Forwarder forwards a request and writes the response to the caller.
type Forwarder interface {
	Serve(ctx context.Context, w http.ResponseWriter, j *call.Job) call.Outcome
}

// Handler serves callers. Set the exported fields before use.
type Handler struct {
	Codec call.Codec
	State *state.Local
	// Streams forwards requests to services with engines, Plain those to plain
	// services.
	Streams, Plain Forwarder
	Log            *slog.Logger
	Meter          *Meter
	// Crashes blocks requests that crash servers.
	Crashes *poison.Detector
	// CloseConns is set when the process is about to stop: connections are closed
	// after their responses.
	CloseConns atomic.Bool
	// End is set when the process stops: requests that may last longer are refused, so
	// that their callers go to another entry host at once instead of getting a truncated
	// response. RefuseAll is set when all requests are refused.
	End       atomic.Pointer[time.Time]
	RefuseAll atomic.Bool
	// RetryAfter returns how long a caller refused in this way should wait before it
	// retries: by then another entry host is likely to accept the request.
	RetryAfter func() time.Duration
	// Admit decides whether to serve a request, which is among those in flight; kept says that its
	// connection has served others before. Nil serves all.
	Admit func(inFlight int, kept bool) bool
	// Hold keeps requests that arrive before the first configuration is in force.
	Hold *Hold
	// Lost returns the share of its time for which this host lacks processor time; nil if that is
	// not measured.
	Lost func() float64

	inFlight atomic.Int64
	// callers holds the watches of the requests in flight.
	callers caller.Registry
}

// maxRequestTime limits requests for which neither the caller nor the route sets a
// timeout.
const maxRequestTime = 10 * time.Minute

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int {
	return int(h.inFlight.Load())
}

// CheckCallers ends the requests whose callers have left. Call it at intervals: net/http does not
// notice that once a byte follows the request.
func (h *Handler) CheckCallers() { h.callers.Check() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inFlight := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	defer h.reportPanic(r)
	if h.CloseConns.Load() {
		w.Header().Set("Connection", "close")
	}
	start := time.Now()
	watch := &caller.Watch{Conn: connOf(r.Context()), Begun: start, OnLate: func(s caller.Step) { h.recordLate(r, s) }}
	r = r.WithContext(watch.Begin(r.Context()))
	defer watch.End()
	defer h.callers.Add(watch)()
	defer h.recordDeparture(watch, r)
	var j *call.Job
	err := h.admit(r, inFlight)
	if err == nil {
		j, err = h.newJob(w, r, start)
	}
	if watch.Left() {
		err = &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "the caller left before its request was read"}
	}
	if err != nil {
		out := call.Outcome{Error: fault.As(err)}
		if out.Error.Code != fault.Cancelled {
			out.Status = call.WriteError(w, h.Codec, out.Error)
		}
		h.record(j, r, out, start)
		abortUnanswered(out)
		return
	}
	j.Caller = watch
	watch.Add(caller.Read, "")
	forwarder := h.Plain
	if j.Service.Engine != nil {
		forwarder = h.Streams
	}
	out := forwarder.Serve(r.Context(), w, j)
	if out.Error == nil && !out.Truncated {
		h.Crashes.RecordAnswer(j.Causes, j.ID, time.Now())
	}
	if j.Trial {
		h.Crashes.Close(j.Causes, j.ID)
	}
	h.record(j, r, out, start)
	abortUnanswered(out)
}

// abortUnanswered closes the connection of a request whose response is truncated, or that got none
// because its caller left. The caller notices that; net/http would end the response as a whole one,
// and answer 200 in place of none to a caller that has closed its sending direction only.
func abortUnanswered(out call.Outcome) {
	if out.Truncated || out.Error != nil && out.Error.Code == fault.Cancelled {
		panic(http.ErrAbortHandler)
	}
}

// admit returns an error for a request that this host cannot carry besides those in flight.
func (h *Handler) admit(r *http.Request, inFlight int64) error {
	if kept := isKept(r.Context()); h.Admit == nil || h.Admit(int(inFlight), kept) {
		return nil
	}
	return &fault.Error{Code: fault.Overloaded, Verdict: fault.NotRun, Message: "this entry host is out of processor time", RetryAfter: h.RetryAfter()}
}

// newJob reads a request and finds its route, team and service. If it fails after it
// has found the service, it returns the job with the error, for the log and metrics.
func (h *Handler) newJob(w http.ResponseWriter, r *http.Request, start time.Time) (*call.Job, error) {
	if h.RefuseAll.Load() {
		return nil, h.draining()
	}
	req, err := h.Codec.ParseRequest(r)
	if err != nil {
		return nil, err
	}
	table := h.State.Table()
	if table == nil {
		if table, err = h.awaitTable(w, r, req.Timeout); err != nil {
			return nil, err
		}
	}
	matched := table.Match(req.Host, req.Path)
	if matched == nil {
		return nil, &fault.Error{Code: fault.NoRoute, Verdict: fault.NotRun, Message: "no route"}
	}
	j := &call.Job{Request: req, Route: matched, Version: table.Version}
	var team *route.Team
	if table.NeedsKey(matched) {
		if team = table.Team(req.Key); team == nil {
			return nil, &fault.Error{Code: fault.Unauthorized, Verdict: fault.NotRun, Message: "unknown key"}
		}
		j.Team = team.Name
	}
	j.Priority = matched.PriorityFor(team)
	service, known := table.Services[matched.ServiceFor(rand.Float64())]
	if !known {
		return nil, &fault.Error{Code: fault.NoServer, Verdict: fault.NotRun, Message: "the route's service is unknown", RetryAfter: time.Second}
	}
	j.Service = &service
	j.Deadline = start.Add(requestTimeout(req, matched))
	if end := h.End.Load(); end != nil && j.Deadline.After(*end) {
		return j, h.draining()
	}
	req.Body, err = readBody(w, r, table.Limits, j.Deadline)
	req.Arrived = start
	if err != nil {
		return j, err
	}
	j.Causes = poison.Causes(poison.NewFingerprint(j.Team, req.Method, req.Host, req.Target, string(req.Body)), req.PromptParts)
	var admitted bool
	if admitted, j.Trial = h.Crashes.Admit(j.Causes, j.ID, start); !admitted {
		return j, call.BlockedError(h.Crashes, j, fault.NotRun)
	}
	return j, nil
}

// draining returns the error for a request that would not end before the process stops.
func (h *Handler) draining() *fault.Error {
	return &fault.Error{Code: fault.Draining, Verdict: fault.NotRun, Message: "this entry host ends", RetryAfter: h.RetryAfter()}
}

// requestTimeout returns the timeout of a request: the shortest of maxRequestTime, the
// caller's timeout and the route's.
func requestTimeout(req *call.Request, r *route.Route) time.Duration {
	timeout := maxRequestTime
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	return timeout
}

// readBody reads a request body. It fails if the body exceeds the limit or has not been
// received by the deadline.
func readBody(w http.ResponseWriter, r *http.Request, limits route.Limits, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return nil, &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	src := io.Reader(r.Body)
	if limits.BodyBytes > 0 {
		src = http.MaxBytesReader(w, r.Body, int64(limits.BodyBytes))
	}
	data, err := io.ReadAll(src)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &fault.Error{Code: fault.TooLarge, Verdict: fault.NotRun, Message: "the body is too large"}
	}
	if err != nil {
		return nil, &fault.Error{Code: fault.BadRequest, Verdict: fault.NotRun, Message: "the body could not be read", Cause: err}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	return data, nil
}

// record counts a request and logs its outcome. Requests that succeeded at once and in
// time have a message of their own: log lines are limited per message, and successes
// must not suppress failures.
func (h *Handler) record(j *call.Job, r *http.Request, out call.Outcome, start time.Time) {
	took := time.Since(start)
	h.Meter.record(j, out, took)
	late := lateness(j, out)
	attrs := []any{"status", out.Status, "took", took, "first", out.TimeToFirstByte}
	if j != nil {
		attrs = append(attrs, "request", j.ID, "route", j.Route.Name, "team", j.Team, "config", j.Version, "server", out.Server)
	} else {
		attrs = append(attrs, "path", r.URL.Path)
	}
	if out.Chain != "" {
		attrs = append(attrs, "chain", out.Chain, "events", out.Events, "gap", out.LongestGap)
	}
	if out.Error == nil && !out.Truncated && late == onTime && out.Sends <= 1 {
		h.Log.Info("request: answered", attrs...)
		return
	}
	attrs = append(attrs, "sends", out.Sends, "broken", out.Truncated, "late", late)
	if j != nil && len(j.PromptParts) > 0 {
		attrs = append(attrs, "parts", j.PromptParts)
	}
	if out.Ending != "" {
		attrs = append(attrs, "ending", out.Ending, "byHost", out.Ending.ByHost())
	}
	if out.Error != nil {
		attrs = append(attrs, "verdict", out.Error.Verdict.String(), "after", out.Error.RetryAfter, "error", out.Error)
	}
	h.Log.Info("request: ended", attrs...)
}

// Values of the log attribute "late".
const (
	// onTime means that the response met the targets of its route.
	onTime = "no"
	// lateFirst means that the first byte came later than the route's Target.
	lateFirst = "first"
	// lateGap means that a gap was longer than the route's MaxGap.
	lateGap = "pause"
)

// lateness returns which target of its route a response missed.
func lateness(j *call.Job, out call.Outcome) string {
	switch {
	case j == nil:
		return onTime
	case exceeds(out.TimeToFirstByte, j.Route.Target):
		return lateFirst
	case exceeds(out.LongestGap, j.Route.MaxGap):
		return lateGap
	}
	return onTime
}

// exceeds reports whether a duration is longer than its target. Zero means that there
// is no target.
func exceeds(took, target time.Duration) bool {
	return target > 0 && took > target
}
