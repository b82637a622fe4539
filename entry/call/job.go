package call

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/caller"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/route"
)

// Job is a request with the configuration that applies to it.
type Job struct {
	*Request
	Route   *route.Route
	Service *route.Service
	// Version is the version of the configuration that the request is served with.
	Version uint64
	// Team is empty if the request needs none.
	Team string
	// Priority is 0 for the most urgent requests, and route.LowestPriority for the least
	// urgent ones.
	Priority int
	// Deadline is when the caller stops waiting, or when the timeout that the operator
	// set expires.
	Deadline time.Time
	// Causes are what the request holds that may crash servers, the most specific first.
	Causes []poison.Cause
	// Trial says that one of the causes is blocked, and that the request is to show whether it
	// still crashes servers.
	Trial bool
	// Sent is when the request was last sent to a server.
	Sent time.Time
	// Caller watches the caller; nil watches nothing.
	Caller *caller.Watch
	// Unanswered is the number of servers that got the request and failed before they began to
	// answer it.
	Unanswered atomic.Int32
}

// MaxUnanswered bounds Unanswered: the request may be what makes the servers fail.
const MaxUnanswered = 2

// Remaining returns the time until the deadline.
func (j *Job) Remaining() time.Duration {
	return time.Until(j.Deadline)
}

// BlockedError returns the error for a request that is blocked because it crashes servers.
func BlockedError(d *poison.Detector, j *Job, v fault.Verdict) *fault.Error {
	cause, retryAfter := d.Blocked(j.Causes, time.Now())
	return &fault.Error{
		Code: fault.Poisoned, Verdict: v, Field: string(cause), RetryAfter: max(retryAfter, time.Second),
		Message: "each server that begins to answer it crashes",
	}
}

// Outcome is how a request ended, for logs and metrics.
type Outcome struct {
	// Status is the status that the caller received; zero if the caller left before.
	Status int
	// Error is set if the request failed.
	Error *fault.Error
	// Sends is how often the request was sent to a backend server.
	Sends int
	// Truncated is set if the response was cut off after its header.
	Truncated bool
	// Ending says why the last attempt ended, if it did so without a whole response.
	Ending Ending
	// TimeToFirstByte is the time until the first bytes of the response.
	TimeToFirstByte time.Duration
	// Events is the number of events of a stream, and LongestGap the longest time
	// between two of them.
	Events     int
	LongestGap time.Duration
	// Chain is the chain of the last attempt; empty for a plain service.
	Chain string
	// Server is the ID of the backend server that responded, or that the request was
	// last sent to.
	Server string
}

// CallerGone reports whether the caller has left.
func CallerGone(ctx context.Context) bool {
	return context.Cause(ctx) == context.Canceled
}

// connectionHeaders are the headers of a response that apply to its connection only,
// or that the HTTP server sets itself.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection"}

// CopyHeader copies the header of a backend server's response to that of the response
// to the caller.
func CopyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range connectionHeaders {
		dst.Del(name)
	}
	if _, hasType := dst["Content-Type"]; !hasType {
		// Without this the HTTP server would guess a content type.
		dst["Content-Type"] = nil
	}
}

// StatusMeansNotRun reports whether a status tells a caller that its request has not
// run and never will. Callers retry on such a status, even if the request must run
// at most once.
func StatusMeansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// WriteError responds to a request that failed. Only a request that is known not to
// have run gets a status that says so: callers retry on such a status, and a request
// that must run at most once could run twice. WriteError returns the status that was
// sent, or zero if the response could not be written.
func WriteError(w http.ResponseWriter, c Codec, e *fault.Error) int {
	status := e.Status()
	if e.Code == fault.Poisoned {
		// Nothing is wrong with the request itself: it may be served later.
		status = http.StatusServiceUnavailable
	}
	if e.Verdict != fault.NotRun {
		switch status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			status = http.StatusBadGateway
		}
	} else if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		status = http.StatusServiceUnavailable
	}
	h := w.Header()
	if e.Verdict == fault.NotRun && e.RetryAfter > 0 {
		c.SetRetryAfter(h, e.RetryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	if _, err := w.Write([]byte(e.Error() + "\n")); err != nil {
		return 0
	}
	return status
}
