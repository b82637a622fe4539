// Package turns is a bounded priority queue for requests that find no room on
// the backend servers.
//
// It answers overload, such as the loss of a failure domain: more requests arrive
// than room becomes free. The queue length is bounded by the expected service
// rate over the maximum wait; requests beyond it are refused at once, while their
// callers can still go elsewhere.
//
// It is a pure state machine: times are arguments.
package prio

import (
	"slices"
	"sync"
	"time"
)

const (
	// leastQueue is the minimum length, for when the service rate is unknown.
	leastQueue = 3
	// tries is how many requests at the head may look for room, so that a large
	// one does not block the others.
	tries = 3
	// learn is the weight of a new interval in the mean time between services.
	learn = 0.1
	// slowest bounds the mean time between services.
	slowest = time.Second
)

// Waiter is one request's place.
type Waiter struct {
	priority int
}

// Queue holds the requests that wait. The zero value is ready.
type Queue struct {
	mu      sync.Mutex
	waiting []*Waiter
	// gap is the mean time between two services, last the time of the newest.
	gap  time.Duration
	last time.Time
}

// Enqueue enqueues a request behind all of the same priority; a lower value is more
// urgent. If the queue is full it returns nil and when to retry.
func (q *Queue) Enqueue(priority int, longest time.Duration) (place *Waiter, comeBack time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.most(longest) {
		return nil, time.Duration(len(q.waiting)) * max(q.gap, time.Millisecond)
	}
	place = &Waiter{priority: priority}
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority > priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, place)
	return place, 0
}

// most returns the maximum length for the longest wait. The mutex is held.
func (q *Queue) most(longest time.Duration) int {
	if q.gap <= 0 {
		return leastQueue
	}
	return max(leastQueue, int(longest/q.gap))
}

// HasWaiters reports whether requests wait, which go before new ones.
func (q *Queue) HasWaiters() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0
}

// AtHead reports whether a request may look for room.
func (q *Queue) AtHead(place *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Contains(q.waiting[:min(tries, len(q.waiting))], place)
}

// Remove removes a request. Served says that it found room.
func (q *Queue) Remove(place *Waiter, served bool, now time.Time) {
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
