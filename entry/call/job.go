package call

import (
	"context"
	"net/http"
	"time"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/route"
)

// Job is a request with what the configuration says of it.
type Job struct {
	*Request
	Route   *route.Route
	Service *route.Service
	// Version is that of the configuration that the request is served by.
	Version uint64
	// Team is empty if the request needs none.
	Team string
	// Priority is the rank of the request; negative means none.
	Priority int
	// Deadline is when the caller, or the operator, no longer waits.
	Deadline time.Time
	// Fingerprint tells copies of the request and resends from others.
	Fingerprint poison.Fingerprint
}

// Remaining returns the time to the deadline.
func (j *Job) Remaining() time.Duration {
	return time.Until(j.Deadline)
}

// Outcome is how a request ended, for logs and measures.
type Outcome struct {
	// Status is what the caller got; zero if it left before.
	Status int
	// Error is set if the request failed.
	Error *fault.Error
	// Sends counts the backend servers that the request was sent to.
	Sends int
	// Truncated says that an answer was cut off after its header.
	Truncated bool
	// TimeToFirstByte is the time to the answer's first bytes.
	TimeToFirstByte time.Duration
	// Events is the number of events of a stream, and Gap the longest pause
	// between two of them.
	Events     int
	LongestGap time.Duration
	// Chain is the last chain of servers.
	Chain string
	// Server is the backend server that gave the answer.
	Server string
}

// CallerGone reports whether the caller has left.
func CallerGone(ctx context.Context) bool {
	return context.Cause(ctx) == context.Canceled
}

// connectionHeaders are the headers of an answer that concern its connection only,
// or that the HTTP server sets itself.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection"}

// CopyHeader copies an answer's header to the caller's.
func CopyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range connectionHeaders {
		dst.Del(name)
	}
	if _, hasType := dst["Content-Type"]; !hasType {
		// Without it the HTTP server would guess one.
		dst["Content-Type"] = nil
	}
}

// StatusMeansNotRun reports whether a status tells a caller that its request has not
// run and never will, on the strength of which it repeats what may run once.
func StatusMeansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// WriteError answers a request that failed. Only an error that is known not to
// have run gets a status which says so; a caller repeats on the strength of
// it, and a request that may run once would run twice.
func WriteError(w http.ResponseWriter, c Codec, e *fault.Error) int {
	status := e.Status()
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
