package queue

import (
	"time"

	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/fault"
)

// waiter is a request that looks for capacity.
type waiter struct {
	fair.Waiter
	request Request
	find    Find
	// deadline is when the wait for capacity ends.
	deadline time.Time
	// result receives how the wait ended.
	result chan result
	// stopWaiting ends the record of the wait in Admission.Shares.
	stopWaiting func()
	// served is the number of requests that the line had served when the wait began.
	served uint64

	// The mutex of the line guards what follows. looking says that find runs on behalf of the
	// waiter, and left that its caller has left meanwhile.
	looking, left bool
}

// result is how the wait of a request ended.
type result struct {
	ticket Ticket
	err    *fault.Error
}

// maxWaitOfRemaining bounds the wait for capacity, as a share of the time that the caller has left.
const maxWaitOfRemaining = 0.5

func newWaiter(r Request, find Find, now time.Time) *waiter {
	wait := min(r.MaxWait, time.Duration(maxWaitOfRemaining*float64(r.Deadline.Sub(now))))
	return &waiter{
		Waiter:  fair.Waiter{Team: r.Class.Team, Rank: r.Class.Rank, Weight: 1, Cost: max(r.Cost, 1), Return: r.Return, Arrived: now},
		request: r, find: find, deadline: now.Add(wait),
	}
}

// remaining returns how long the waiter may still wait.
func (w *waiter) remaining(now time.Time) time.Duration { return w.deadline.Sub(now) }

// isOverdue reports whether the wait ends before another round can serve the waiter.
func (w *waiter) isOverdue(now time.Time) bool { return w.remaining(now) <= pollInterval }
