package fair

import (
	"slices"
	"sort"
)

// lane lists flows whose first waiters differ only in start tag and arrival, in
// order.
type lane []slot

// slot is the place of a flow in a lane. It holds copies of what decides for
// nearly all flows whether its waiters go before a request, so that scans read
// little memory.
type slot struct {
	flow *flow
	// start and end are the start tags of the first and the last waiter.
	start, end float64
	// waiting is the number of waiters, endPrecedence the precedence of the
	// last one.
	waiting, endPrecedence int32
}

// The lanes of a rank in order: those of teams with credit, then those of the
// others, each by precedence.
const (
	lanesByCredit = 3
	numLanes      = 2 * lanesByCredit
)

// before reports whether the first waiter of a flow goes before a request of the
// same lane.
func (s slot) before(k key) bool {
	if s.start != k.start {
		return s.start < k.start
	}
	return s.flow.waiters[0].precedes(k.waiter)
}

// search returns how many flows have a first waiter before a request of the same
// lane.
func (s lane) search(k key) int {
	return sort.Search(len(s), func(i int) bool { return !s[i].before(k) })
}

// insert adds a flow with waiters, of which the first has the given key.
func (s *lane) insert(f *flow, k key) {
	last := f.waiters[len(f.waiters)-1]
	*s = slices.Insert(*s, s.search(k), slot{
		flow: f, start: k.start, end: last.start,
		waiting: int32(len(f.waiters)), endPrecedence: int32(last.precedence()),
	})
}

// remove removes a flow.
func (s *lane) remove(f *flow) {
	i := slices.IndexFunc(*s, func(other slot) bool { return other.flow == f })
	*s = slices.Delete(*s, i, i+1)
}

// below returns how many flows have start tags below a limit.
func (s lane) below(limit float64) int {
	return sort.Search(len(s), func(i int) bool { return s[i].start >= limit })
}
