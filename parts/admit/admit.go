// Package admit implements admission control for a pool: it decides which
// requests run now, which wait, and which are refused.
//
// A [Queue] runs as many requests concurrently as its limit allows. Further
// requests wait in the order of package fair: a team's share of the pool is its
// weight among the teams with waiting requests, however many requests it sends.
// A request that would wait too long, or could not meet its deadline, is refused
// on arrival. So a refusal costs the caller no time, and a refused request was
// never sent to a backend server.
//
// A [Limiter] adapts the limit to what the engines report for each token: how
// long it waited for its step compared to how long the step took.
//
// Queue and Limiter are pure state machines that take the time as an argument;
// a [Controller] makes them safe for concurrent use on the request path.
package admit

import (
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// Request describes a request to admit.
type Request struct {
	// Team is the team that sends the request.
	Team string
	// Weight is the team's weight in the fair queueing; at least 1.
	Weight float64
	// Cost is the estimated work of the request, in tokens; at least 1.
	Cost float64
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// RunTime is the estimated run time of the request; zero if it is not
	// known.
	RunTime time.Duration
}

// Limits are the limits of one queue. With the zero value no request may wait.
type Limits struct {
	// MaxWait is the maximum expected wait of a request that is queued.
	MaxWait time.Duration
	// MaxRequests is the maximum number of waiting requests.
	MaxRequests int
	// MaxBytes is the maximum memory that waiting requests hold.
	MaxBytes int
	// Headroom is the capacity above the limit, as a fraction of it, that only
	// teams with credit may use. Without it they would wait until a request of
	// a team above its share ends.
	Headroom float64
	// MaxCredit is how much work a team may save up for each unit of its
	// weight while it uses less than its share. Requests come in bursts;
	// without credit a team that stays within its share on average would wait
	// behind one that constantly exceeds its own share.
	MaxCredit float64
}

// minRetryAfter is the minimum time after which a refused caller should retry.
// With a shorter one, the retries of many refused callers would overload the
// entry host.
const minRetryAfter = 200 * time.Millisecond

// overloaded returns the error for a request that is refused for lack of
// capacity.
func overloaded(message string, wait time.Duration) *fault.Error {
	return &fault.Error{
		Code: fault.Overloaded, Verdict: fault.NotRun, Message: message,
		RetryAfter: max(wait, minRetryAfter),
	}
}

// deadlineExceeded returns the error of a request that can't meet its deadline.
func deadlineExceeded(message string, wait time.Duration) *fault.Error {
	e := overloaded(message, wait)
	e.Code = fault.Deadline
	return e
}
