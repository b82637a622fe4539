package queue

import (
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// reason is why a request was refused.
type reason string

// The reasons.
const (
	// fullReason: it could not be expected to be served in time.
	fullReason reason = "full"
	// displacedReason: requests that go before it made that impossible.
	displacedReason reason = "displaced"
	// timeoutReason: it was not served in time.
	timeoutReason reason = "timeout"
)

const (
	// minRetryAfter is the shortest Retry-After of a refused request.
	minRetryAfter = 700 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused request returns, and
	// maxRetryOfRemaining is the same as a share of the time that its caller has left.
	maxRetryAfter       = 5 * time.Second
	maxRetryOfRemaining = 1.0 / 3
)

// refuse returns the error for a request that gets no capacity while the given number of others
// are ahead of it.
func (l *line) refuse(w *waiter, why reason, ahead int, now time.Time) *fault.Error {
	r := &w.request
	latest := min(maxRetryAfter, time.Duration(maxRetryOfRemaining*float64(r.Deadline.Sub(now))))
	after := l.Book.Promise(l.service, r.Key, minRetryAfter, latest, ahead, now)
	l.Shares.Refuse(r.Class, w.Cost, now)
	l.counts.refused(r.Class, why)
	l.logRefused(w, why, ahead, after, now)
	return &fault.Error{Code: fault.Overloaded, Verdict: fault.NotRun, Message: "no server has room", RetryAfter: after}
}

// refuseWaiter refuses a request that has been removed from the line.
func (l *line) refuseWaiter(w *waiter, why reason, ahead int, now time.Time) {
	w.result <- result{err: l.refuse(w, why, ahead, now)}
}
