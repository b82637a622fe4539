// Package fair orders requests that wait for capacity: by rank, then by
// weighted fair queueing among teams, then by arrival.
//
// It is a pure state machine.
package fair

import (
	"slices"
	"time"
)

// Return says whether a request returned after a refusal.
type Return uint8

const (
	// OnTime is a request that was refused and returned as told.
	OnTime Return = iota + 1
	// Early is a request that was refused and returned before it was told to.
	Early
	// New is a request that was not refused before.
	New Return = 0
)

// Waiter is a request. Set the exported fields before Push.
type Waiter struct {
	// Team is the team that sends the request.
	Team string
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Weight is the weight of the team; at least 1.
	Weight float64
	// Cost is the work of the request; at least 1.
	Cost float64
	// Return says whether the request returned after a refusal.
	Return Return
	// Arrived is when the request arrived.
	Arrived time.Time
}

// Queue orders requests that wait for capacity. It is not safe for concurrent
// use.
type Queue struct {
	// MaxCredit and MaxDebt bound how far the tags of a team may be behind and
	// ahead of the virtual time, in work per unit of weight.
	MaxCredit, MaxDebt float64

	waiters     []*Waiter
	tags        map[class]float64
	virtualTime float64
}

// class is a team and rank.
type class struct {
	team string
	rank int
}

// Push adds a waiter.
func (q *Queue) Push(w *Waiter) { q.waiters = append(q.waiters, w) }

// Remove removes a waiter that was not served, and reports whether it waited.
func (q *Queue) Remove(w *Waiter) bool {
	i := slices.Index(q.waiters, w)
	if i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
	return i >= 0
}

// Serve records that w, waiting or not, takes capacity now.
func (q *Queue) Serve(w *Waiter) {
	q.Remove(w)
	q.virtualTime = max(q.virtualTime, q.tag(w.Team, w.Rank))
	q.add(w.Team, w.Rank, w.Cost/max(w.Weight, 1))
}

// Charge records work that other hosts served.
func (q *Queue) Charge(team string, rank int, weight, work float64) {
	q.add(team, rank, min(work/max(weight, 1), q.MaxDebt))
}

// Refund records that w was served but not sent.
func (q *Queue) Refund(w *Waiter) { q.add(w.Team, w.Rank, -w.Cost/max(w.Weight, 1)) }

// add adds work to the tag of a team.
func (q *Queue) add(team string, rank int, work float64) {
	if q.tags == nil {
		q.tags = map[class]float64{}
	}
	q.tags[class{team, rank}] = q.tag(team, rank) + work
}

// tag returns the start tag of the next request of a team.
func (q *Queue) tag(team string, rank int) float64 {
	tag, found := q.tags[class{team, rank}]
	if !found {
		return q.virtualTime - q.MaxCredit
	}
	return max(tag, q.virtualTime-q.MaxCredit)
}

// Ahead returns how many waiters would be served before w, which waits or not.
func (q *Queue) Ahead(w *Waiter) int {
	n := 0
	for _, other := range q.waiters {
		if other != w && q.Before(other, w) {
			n++
		}
	}
	return n
}

// Head returns the next n waiters in order. The slice is valid until the next
// call.
func (q *Queue) Head(n int) []*Waiter {
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int {
		switch {
		case q.Before(a, b):
			return -1
		case q.Before(b, a):
			return 1
		}
		return 0
	})
	return slices.Clone(q.waiters[:min(n, len(q.waiters))])
}

// Last returns the waiter that would be served last, or nil if none waits.
func (q *Queue) Last() *Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.Head(len(q.waiters))[len(q.waiters)-1]
}

// Before reports whether a is served before b.
func (q *Queue) Before(a, b *Waiter) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if x, y := q.tag(a.Team, a.Rank), q.tag(b.Team, b.Rank); x != y {
		return x < y
	}
	return a.Arrived.Before(b.Arrived)
}

// HasCredit reports whether a team has used less than its share in a rank.
func (q *Queue) HasCredit(team string, rank int) bool { return q.tag(team, rank) < q.virtualTime }

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiters) }
