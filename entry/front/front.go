// Package front serves callers over HTTP: it finds out where a request
// belongs, refuses what may not pass, and hands the rest to a flow.
//
// It runs on net/http, not on hertz: a caller that leaves while its answer is
// awaited must be noticed at once, so that backend servers stop working for
// nobody, and hertz does so only on its own transport, which polls descriptors
// in ways that small hosts do not allow.
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
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/route"
)

// Forwarder passes a request on and answers the caller.
type Forwarder interface {
	Serve(ctx context.Context, w http.ResponseWriter, j *call.Job) call.Outcome
}

// Handler answers callers. Set the exported fields before use.
type Handler struct {
	Codec call.Codec
	State *state.Local
	// Streams serves services with engines, Plain all others.
	Streams, Plain Forwarder
	Log            *slog.Logger
	Meter          *Meter
	// Tally holds the requests under which servers died.
	Tally *poison.Counter
	// CloseConns says that the process is about to end: connections are closed
	// after their answers.
	CloseConns atomic.Bool
	// RefuseStreams says that the process ends before a stream that comes now would:
	// it is refused, so that its caller goes elsewhere at once instead of being
	// cut off in the midst of its answer. RefuseAll says the same of all requests.
	RefuseStreams, RefuseAll atomic.Bool
	// RetryAfter returns when a caller that was refused for that reason should
	// come again: when another entry host is likely to take it.
	RetryAfter func() time.Duration

	active atomic.Int64
}

// maxRequestTime bounds requests of which neither caller nor route says how long
// they may take.
const maxRequestTime = 10 * time.Minute

// Active returns the number of requests under way.
func (h *Handler) Active() int64 {
	return h.active.Load()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.CloseConns.Load() {
		w.Header().Set("Connection", "close")
	}
	start := time.Now()
	j, err := h.newJob(w, r, start)
	if err != nil {
		e := fault.As(err)
		out := call.Outcome{Error: e, Status: call.WriteError(w, h.Codec, e)}
		h.record(j, r, out, start)
		return
	}
	flow := h.Plain
	if j.Service.Engine != nil {
		flow = h.Streams
	}
	out := flow.Serve(r.Context(), w, j)
	if out.Error == nil && !out.Truncated {
		h.Tally.RecordSuccess(j.Fingerprint, time.Now())
	}
	h.record(j, r, out, start)
	if out.Truncated {
		// The connection is closed, so that a half answer looks like one.
		panic(http.ErrAbortHandler)
	}
}

// newJob reads a request and finds out where it belongs.
func (h *Handler) newJob(w http.ResponseWriter, r *http.Request, start time.Time) (*call.Job, error) {
	if h.RefuseAll.Load() {
		return nil, h.draining()
	}
	table := h.State.Table()
	if table == nil {
		return nil, &fault.Error{Code: fault.NoServer, Verdict: fault.NotRun, Message: "no configuration is known yet", RetryAfter: time.Second}
	}
	ask, err := h.Codec.ParseRequest(r)
	if err != nil {
		return nil, err
	}
	matched := table.Match(ask.Host, ask.Path)
	if matched == nil {
		return nil, &fault.Error{Code: fault.NoRoute, Verdict: fault.NotRun, Message: "no route"}
	}
	j := &call.Job{Request: ask, Route: matched, Version: table.Version, Priority: matched.Priority}
	if table.NeedsKey(matched) {
		team := table.Team(ask.Key)
		if team == nil {
			return nil, &fault.Error{Code: fault.Unauthorized, Verdict: fault.NotRun, Message: "unknown key"}
		}
		j.Team, j.Priority = team.Name, team.Priority
	}
	service, known := table.Services[matched.ServiceFor(rand.Float64())]
	if !known {
		return nil, &fault.Error{Code: fault.NoServer, Verdict: fault.NotRun, Message: "the route's service is unknown", RetryAfter: time.Second}
	}
	j.Service = &service
	if service.Engine != nil && h.RefuseStreams.Load() {
		return j, h.draining()
	}
	j.Deadline = start.Add(requestTimeout(ask, matched))
	ask.Body, err = readBody(w, r, table.Limits, j.Deadline)
	ask.Arrived = start
	if err != nil {
		return j, err
	}
	j.Fingerprint = poison.NewFingerprint(j.Team, ask.Method, ask.Host, ask.Target, string(ask.Body))
	if h.Tally.Blocked(j.Fingerprint, start) {
		return j, &fault.Error{Code: fault.ServerFailed, Verdict: fault.MayHaveRun, Message: "each server that ran the request died"}
	}
	return j, nil
}

// draining refuses a request that this process would not live to answer.
func (h *Handler) draining() *fault.Error {
	return &fault.Error{Code: fault.Draining, Verdict: fault.NotRun, Message: "this entry host ends", RetryAfter: h.RetryAfter()}
}

func requestTimeout(a *call.Request, r *route.Route) time.Duration {
	wait := maxRequestTime
	if a.Timeout > 0 {
		wait = min(wait, a.Timeout)
	}
	if r.Timeout > 0 {
		wait = min(wait, r.Timeout)
	}
	return wait
}

// readBody reads a request's readBody, which a caller may send slowly, but not beyond
// the request's time.
func readBody(w http.ResponseWriter, r *http.Request, limits route.Limits, until time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(until); err != nil {
		return nil, &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	from := io.Reader(r.Body)
	if limits.BodyBytes > 0 {
		from = http.MaxBytesReader(w, r.Body, int64(limits.BodyBytes))
	}
	read, err := io.ReadAll(from)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &fault.Error{Code: fault.TooLarge, Verdict: fault.NotRun, Message: "the body is too large"}
	}
	if err != nil {
		return nil, &fault.Error{Code: fault.BadRequest, Verdict: fault.NotRun, Message: "the body could not be read", Cause: err}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	return read, nil
}

// record counts a request and logs how it ended. Plain successes have a line of
// their own kind, so that the bound on the lines of a kind never hides a
// failure behind them.
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
	if out.Error != nil {
		attrs = append(attrs, "verdict", out.Error.Verdict.String(), "after", out.Error.RetryAfter, "error", out.Error)
	}
	h.Log.Info("request: ended", attrs...)
}

// What may be late of an answer, as logs name it.
const (
	onTime    = "no"
	lateFirst = "first"
	lateGap   = "pause"
)

// lateness says what of an answer was later than its route's objectives.
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

// exceeds reports whether a time is beyond what counts as on time, if anything
// does.
func exceeds(took, target time.Duration) bool {
	return target > 0 && took > target
}
