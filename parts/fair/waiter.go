package fair

import (
	"math"
	"time"
)

// Return says whether a request returned after a refusal.
type Return uint8

const (
	// New is a request that was not refused before.
	New Return = iota
	// OnTime is a request that was refused and returned when it was told to.
	OnTime
	// Early is a request that was refused and returned before that time.
	Early
)

// Waiter is a request. Set the exported fields before Push.
type Waiter struct {
	// Team is the team that sends the request.
	Team string
	// Rank is the urgency of the request, from 0, the most urgent, to 9.
	// Another value counts as 9.
	Rank int
	// Weight is the weight of the team; at least 1.
	Weight float64
	// Cost is the work of the request; at least 1.
	Cost float64
	// Return says whether the request returned after a refusal.
	Return Return
	// Arrived is when the request arrived.
	Arrived time.Time

	// flow is nil unless the request waits.
	flow *flow
	// start is the start tag while the request waits.
	start float64
	// sequence orders waiters that arrived at the same time.
	sequence uint64
	// served reports a charge that was not refunded.
	served bool
}

// maxWork bounds the cost and the weight of a request. Tags that are much
// larger could no longer represent the cost of small requests.
const maxWork = 1e9

// atLeastOne returns 1 for a value below 1 or not a number.
func atLeastOne(value float64) float64 {
	if value >= 1 {
		return min(value, maxWork)
	}
	return 1
}

// numRanks is the number of ranks. It bounds the state that requests with
// invalid ranks can create.
const numRanks = 10

// validRank returns the least urgent rank for one out of range.
func validRank(rank int) int {
	if rank < 0 || rank >= numRanks {
		return numRanks - 1
	}
	return rank
}

// rank returns the valid rank.
func (w *Waiter) rank() int { return validRank(w.Rank) }

// cost returns the valid cost.
func (w *Waiter) cost() float64 { return atLeastOne(w.Cost) }

// work returns the cost for each unit of the weight.
func (w *Waiter) work() float64 { return w.cost() / atLeastOne(w.Weight) }

// precedence returns the position of a request among those that differ in
// Return; lower is earlier.
func (w *Waiter) precedence() int {
	switch w.Return {
	case OnTime:
		return 0
	case Early:
		return 2
	}
	return 1
}

// precedes reports whether w goes before another request of the same team.
func (w *Waiter) precedes(other *Waiter) bool {
	if x, y := w.precedence(), other.precedence(); x != y {
		return x < y
	}
	if !w.Arrived.Equal(other.Arrived) {
		return w.Arrived.Before(other.Arrived)
	}
	return w.order() < other.order()
}

// order returns the sequence number; a request that does not wait goes after
// those that do.
func (w *Waiter) order() uint64 {
	if w.flow == nil {
		return math.MaxUint64
	}
	return w.sequence
}
