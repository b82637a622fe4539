// Package prio is a bounded priority queue for requests that find no capacity on the
// backend servers.
//
// It handles overload, such as after the loss of a failure domain, when requests
// arrive faster than capacity becomes free. The queue length is bounded by the maximum
// wait times the measured service rate; requests beyond the bound are refused at once,
// while their callers can still retry elsewhere.
//
// It is a pure state machine: times are arguments.
package prio

import (
	"slices"
	"sync"
	"time"
)

const (
	// minLength is the minimum bound of the length, for when the service rate is
	// unknown.
	minLength = 3
	// headSize is how many requests at the head may look for capacity at the same
	// time, so that a large one does not block the others.
	headSize = 3
	// intervalWeight is the weight of the latest interval in the mean interval between
	// served requests.
	intervalWeight = 0.1
	// maxInterval bounds each interval between served requests.
	maxInterval = time.Second
)

// Waiter is a request in the queue.
type Waiter struct {
	priority int
}

// Queue holds the waiting requests. It is safe for concurrent use, and the zero value
// is ready.
type Queue struct {
	mu      sync.Mutex
	waiting []*Waiter
	// interval is the mean interval between served requests. lastServed is the time of
	// the latest one.
	interval   time.Duration
	lastServed time.Time
}

// Enqueue adds a request behind all of the same priority; a lower value is more
// urgent. If the queue is full it returns nil and when to retry.
func (q *Queue) Enqueue(priority int, maxWait time.Duration) (waiter *Waiter, retryAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.maxLength(maxWait) {
		return nil, time.Duration(len(q.waiting)) * max(q.interval, time.Millisecond)
	}
	waiter = &Waiter{priority: priority}
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority > priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, waiter)
	return waiter, 0
}

// maxLength returns the bound of the queue length for a maximum wait. The mutex is
// held.
func (q *Queue) maxLength(maxWait time.Duration) int {
	if q.interval <= 0 {
		return minLength
	}
	return max(minLength, int(maxWait/q.interval))
}

// HasWaiters reports whether requests wait, which are served before new ones.
func (q *Queue) HasWaiters() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0
}

// AtHead reports whether a request is close enough to the head to look for capacity.
func (q *Queue) AtHead(waiter *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Contains(q.waiting[:min(headSize, len(q.waiting))], waiter)
}

// Remove removes a request. Served says that it found capacity, which updates the
// service rate.
func (q *Queue) Remove(waiter *Waiter, served bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := slices.Index(q.waiting, waiter); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	if !served {
		return
	}
	if !q.lastServed.IsZero() {
		interval := min(now.Sub(q.lastServed), maxInterval)
		q.interval += time.Duration(intervalWeight * float64(interval-q.interval))
	}
	q.lastServed = now
}
