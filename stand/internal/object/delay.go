package object

import (
	"sync"
	"time"
)

// delayQueue applies changes in order, each after the same delay. It makes the
// host list lag behind.
type delayQueue struct {
	delay time.Duration

	mu      sync.Mutex
	pending []func()
}

// do applies a change after the delay.
func (q *delayQueue) do(change func()) {
	if q.delay <= 0 {
		change()
		return
	}
	q.mu.Lock()
	q.pending = append(q.pending, change)
	q.mu.Unlock()
	time.AfterFunc(q.delay, q.next)
}

// next applies the oldest change. Timers of equal length may fire out of order;
// the queue keeps the order of the changes.
func (q *delayQueue) next() {
	q.mu.Lock()
	defer q.mu.Unlock()
	change := q.pending[0]
	q.pending = q.pending[1:]
	change()
}
