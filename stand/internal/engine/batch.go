package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/wait"
)

// batch runs tokens in steps. The zero value works.
type batch struct {
	mu      sync.Mutex
	queue   []*turn
	running bool
}

// turn is one token's place in a step.
type turn struct {
	// extra is time that the token adds to its step, for reading a prompt.
	extra time.Duration
	// priority is that of the request; a step takes the highest first.
	priority int
	// began is when the step began, set before done is closed.
	began time.Time
	done  chan struct{}
	gone  bool
}

// run waits for a step, spends it, and returns when it began.
func (b *batch) run(ctx context.Context, capacity int, t *turn, step func() time.Duration) (time.Time, error) {
	t.done = make(chan struct{})
	b.mu.Lock()
	b.join(t)
	if !b.running {
		b.running = true
		go b.steps(max(capacity, 1), step)
	}
	b.mu.Unlock()
	select {
	case <-t.done:
		return t.began, nil
	case <-ctx.Done():
		b.mu.Lock()
		t.gone = true
		b.mu.Unlock()
		return time.Time{}, ctx.Err()
	}
}

// join puts a turn behind all of its priority.
func (b *batch) join(t *turn) {
	at := len(b.queue)
	for at > 0 && b.queue[at-1].priority < t.priority {
		at--
	}
	b.queue = slices.Insert(b.queue, at, t)
}

// steps runs steps until nothing waits. A step begins when the one before it
// was due to end, not when its timer woke up: timers wake late, by up to a
// millisecond, and the sum would take a fifth off the rate of a fast engine.
func (b *batch) steps(capacity int, step func() time.Duration) {
	began := time.Now()
	for {
		turns := b.next(capacity)
		if len(turns) == 0 {
			return
		}
		length := step()
		for _, t := range turns {
			length += t.extra
		}
		wait.For(context.Background(), time.Until(began.Add(length)))
		for _, t := range turns {
			t.began = began
			close(t.done)
		}
		began = began.Add(length)
		if now := time.Now(); now.Sub(began) > length {
			// The process stood still; what was missed is not caught up on.
			began = now
		}
	}
}

// next takes the tokens of the next step out of the queue, leaving out those
// whose reader left. With none it marks the batch as idle.
func (b *batch) next(capacity int) []*turn {
	b.mu.Lock()
	defer b.mu.Unlock()
	var turns []*turn
	taken := 0
	for _, t := range b.queue {
		if len(turns) == capacity {
			break
		}
		taken++
		if !t.gone {
			turns = append(turns, t)
		}
	}
	b.queue = b.queue[taken:]
	if len(turns) == 0 {
		b.running = false
	}
	return turns
}

// waiting returns how many tokens wait for a step.
func (b *batch) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}
