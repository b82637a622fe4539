// Package admit decides which requests of a pool run now, which wait, and
// which are refused.
//
// A [Queue] lets as many requests run at once as its limit says. Beyond it
// they wait, each team in a line of its own, and the lines are served by
// weighted fair queueing: a team's share of the pool is its weight among the
// teams that want to run, however many requests it sends. A request that
// would wait too long, or could not meet its deadline, is refused on arrival.
// So a refusal costs the caller no time, and a refused request has never left
// for a backend server.
//
// A [Limiter] follows what the engines report on each token: how long it waited
// for its turn against how long it ran.
//
// Queue and Limit are pure state machines that get the time as an argument; a
// [Controller] is the shell that the request path calls.
package admit

import (
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// Request is a request that asks to run.
type Request struct {
	// Team is who asks.
	Team string
	// Weight is the team's share when the pool is full; at least 1.
	Weight float64
	// Cost is the work that the request asks for, in tokens; at least 1.
	Cost float64
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// RunTime is how long the request runs by current figures, or zero if that
	// is not known.
	RunTime time.Duration
}

// Limits are the bounds of one queue. The zero value bounds nothing and lets
// no request wait.
type Limits struct {
	// MaxWait is the longest time that a request is let wait for its turn.
	MaxWait time.Duration
	// MaxRequests is the most requests that wait.
	MaxRequests int
	// MaxBytes is the most memory that waiting requests hold.
	MaxBytes int
	// Headroom is the room above the limit, as a part of it, for teams with
	// credit left. Without it they would wait until a request of a team that
	// uses more than its share comes to its end.
	Headroom float64
	// MaxCredit is how much work a team may save up for each unit of its weight
	// while it uses less than its share. Requests come in bursts; without
	// credit a team that keeps to its share on average waits behind one that
	// always sends too much.
	MaxCredit float64
}

// retryFloor is the least time after which a refused caller may come back.
// Sooner, a crowd of refused callers would itself be the load.
const retryFloor = 200 * time.Millisecond

func overloaded(message string, wait time.Duration) *fault.Error {
	return &fault.Error{
		Code: fault.Overloaded, Verdict: fault.NotRun, Message: message,
		RetryAfter: max(wait, retryFloor),
	}
}

func tooLate(message string, wait time.Duration) *fault.Error {
	e := overloaded(message, wait)
	e.Code = fault.Deadline
	return e
}
