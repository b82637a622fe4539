// Package turns decides in which order requests that find no room for them
// get it, and which are refused at once.
//
// It answers the load of an evening on which a failure domain is lost and the
// others are full: room comes free some twenty times a second at each entry
// host, and more requests come than that. A caller that waits a second is
// served late, which is worth more to it than being refused and coming back
// to the same; one that would wait in vain is told at once, while it can still
// go elsewhere. So the queue is as long as what is expected to be served in
// the time that a request may wait, and no longer.
//
// It is a pure state machine: times are arguments.
package turns

import (
	"slices"
	"sync"
	"time"
)

const (
	// leastQueue may wait whatever the rate is: room may have just run out.
	leastQueue = 3
	// tries is how many of those first in line may look for room. The first
	// one may need more than there is; the next ones need not wait for it.
	tries = 3
	// learn is the part of a new interval in the mean time between two
	// services: some ten services tell of a change.
	learn = 0.1
	// slowest bounds the mean time between two services that is believed.
	slowest = time.Second
)

// Ticket is one request's place.
type Ticket struct {
	priority int
}

// Queue holds the requests that wait. The zero value is ready.
type Queue struct {
	mu      sync.Mutex
	waiting []*Ticket
	// gap is the mean time between two services, last the time of the newest.
	gap  time.Duration
	last time.Time
}

// Join takes a place behind all that are as urgent; a lower priority is more
// urgent. It returns nil, and when to come back, if the queue is as long as
// what will be served in the longest time that the request may wait.
func (q *Queue) Join(priority int, longest time.Duration) (place *Ticket, comeBack time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.most(longest) {
		return nil, time.Duration(len(q.waiting)) * max(q.gap, time.Millisecond)
	}
	place = &Ticket{priority: priority}
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority > priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, place)
	return place, 0
}

// most returns how many requests may wait that long at most. The mutex is held.
func (q *Queue) most(longest time.Duration) int {
	if q.gap <= 0 {
		return leastQueue
	}
	return max(leastQueue, int(longest/q.gap))
}

// Busy reports whether others wait, whose turn comes before that of a request
// that has just come.
func (q *Queue) Busy() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0
}

// Mine reports whether a request may look for room.
func (q *Queue) Mine(place *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Contains(q.waiting[:min(tries, len(q.waiting))], place)
}

// Leave gives a place up. Served says that its request found room.
func (q *Queue) Leave(place *Ticket, served bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := slices.Index(q.waiting, place); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	if !served {
		return
	}
	if !q.last.IsZero() {
		gap := min(now.Sub(q.last), slowest)
		q.gap += time.Duration(learn * float64(gap-q.gap))
	}
	q.last = now
}
