package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/wait"
)

// batch runs queued tokens in steps, several tokens in each. The zero value is
// ready to use.
type batch struct {
	mu      sync.Mutex
	queue   []*batchItem
	running bool
}

// batchItem is one token that waits for a step.
type batchItem struct {
	// prefillTime is the time that the token adds to its step for the prefill of a
	// prompt.
	prefillTime time.Duration
	// priority is the priority of the request; a step takes the highest first.
	priority int
	// startedAt is the start of the step, set before done is closed.
	startedAt time.Time
	done      chan struct{}
	canceled  bool
}

// run waits until a step with the item has run and returns the start time of the
// step. step returns the duration of a step without prefill.
func (b *batch) run(ctx context.Context, capacity int, item *batchItem, step func() time.Duration) (time.Time, error) {
	item.done = make(chan struct{})
	b.mu.Lock()
	b.enqueue(item)
	if !b.running {
		b.running = true
		go b.runSteps(max(capacity, 1), step)
	}
	b.mu.Unlock()
	select {
	case <-item.done:
		return item.startedAt, nil
	case <-ctx.Done():
		b.mu.Lock()
		item.canceled = true
		b.mu.Unlock()
		return time.Time{}, ctx.Err()
	}
}

// enqueue inserts an item behind all items of its priority or a higher one. The
// caller holds the mutex.
func (b *batch) enqueue(item *batchItem) {
	i := len(b.queue)
	for i > 0 && b.queue[i-1].priority < item.priority {
		i--
	}
	b.queue = slices.Insert(b.queue, i, item)
}

// runSteps runs steps until the queue is empty. A step starts when the previous
// one was due to end, not when its timer fired: timers fire up to a millisecond
// late, which would cost a fast engine up to a fifth of its rate.
func (b *batch) runSteps(capacity int, step func() time.Duration) {
	startedAt := time.Now()
	for {
		items := b.dequeue(capacity)
		if len(items) == 0 {
			return
		}
		duration := step()
		for _, item := range items {
			duration += item.prefillTime
		}
		wait.For(context.Background(), time.Until(startedAt.Add(duration)))
		for _, item := range items {
			item.startedAt = startedAt
			close(item.done)
		}
		startedAt = startedAt.Add(duration)
		if now := time.Now(); now.Sub(startedAt) > duration {
			// The process was paused; missed steps are skipped.
			startedAt = now
		}
	}
}

// dequeue removes up to capacity items from the queue and returns them without the
// canceled ones. If it returns none, the batch is idle.
func (b *batch) dequeue(capacity int) []*batchItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	var items []*batchItem
	removed := 0
	for _, item := range b.queue {
		if len(items) == capacity {
			break
		}
		removed++
		if !item.canceled {
			items = append(items, item)
		}
	}
	b.queue = b.queue[removed:]
	if len(items) == 0 {
		b.running = false
	}
	return items
}

// queued returns the number of tokens that wait for a step.
func (b *batch) queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}
