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
	*Ask
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
	// Print tells copies of the request and resends from others.
	Print poison.Fingerprint
}

// Left returns the time to the deadline.
func (j *Job) Left() time.Duration {
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
	// Broken says that an answer was cut off after its header.
	Broken bool
	// First is the time to the answer's first bytes.
	First time.Duration
	// Events is the number of events of a stream, and Gap the longest pause
	// between two of them.
	Events int
	Gap    time.Duration
	// Chain is the last chain of servers.
	Chain string
	// Server is the backend server that gave the answer.
	Server string
}

// Gone reports whether the caller has left.
func Gone(ctx context.Context) bool {
	return context.Cause(ctx) == context.Canceled
}

// notForwarded are the headers of an answer that concern its connection only,
// or that the HTTP server sets itself.
var notForwarded = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection"}

// CopyHeader copies an answer's header to the caller's.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range notForwarded {
		to.Del(name)
	}
	if _, typed := to["Content-Type"]; !typed {
		// Without it the HTTP server would guess one.
		to["Content-Type"] = nil
	}
}

// Promises reports whether a status tells a caller that its request has not
// run and never will, on the strength of which it repeats what may run once.
func Promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Refuse answers a request that failed. Only an error that is known not to
// have run gets a status which says so; a caller repeats on the strength of
// it, and a request that may run once would run twice.
func Refuse(w http.ResponseWriter, c Codec, e *fault.Error) int {
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
		c.Refuse(h, e.RetryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	if _, err := w.Write([]byte(e.Error() + "\n")); err != nil {
		return 0
	}
	return status
}
