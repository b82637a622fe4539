package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// Door is the queue of one pool for the request path. Set the exported fields
// before first use.
//
// Decisions are made under one short lock for each pool: a request takes it
// twice, for well under a microsecond each (see BenchmarkDoor), against the
// hundreds of microseconds that it costs otherwise.
type Door struct {
	Bounds Bounds
	// Limit adapts how many requests run at once.
	Limit Limit
	// Wait is told of each token; the limit follows it.
	Wait Wait
	// Gap is the mean time between two tokens, in nanoseconds; zero while it
	// is not known. The caller keeps it up to date.
	Gap atomic.Int64

	mu    sync.Mutex
	once  sync.Once
	queue Queue
}

func (d *Door) start() {
	d.queue = Queue{Bounds: d.Bounds, Limit: d.Limit.Value}
}

// Enter returns when the request may run, and the function that the caller
// calls when it has ended. The error is always NotRun: the request was never
// let run.
func (d *Door) Enter(ctx context.Context, ask Ask) (func(), *fault.Error) {
	ask.Needs = time.Duration(float64(d.Gap.Load()) * ask.Cost)
	d.mu.Lock()
	d.once.Do(d.start)
	item, e := d.queue.Arrive(time.Now(), ask)
	if e != nil {
		d.mu.Unlock()
		return nil, e
	}
	if item.Running {
		d.mu.Unlock()
		return func() { d.leave(item) }, nil
	}
	item.wake = make(chan struct{})
	d.mu.Unlock()
	return d.await(ctx, item)
}

// await waits for the turn of a request.
func (d *Door) await(ctx context.Context, item *Item) (func(), *fault.Error) {
	timer := time.NewTimer(time.Until(item.Deadline))
	defer timer.Stop()
	e := &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "the caller left while it waited"}
	select {
	case <-item.wake:
		return func() { d.leave(item) }, nil
	case <-ctx.Done():
	case <-timer.C:
		e = tooLate("waited until its deadline", 0)
	}
	d.mu.Lock()
	var next []*Item
	if !d.queue.Leave(item) {
		// It was let run at the same moment, and goes without running.
		next = d.queue.Drop(time.Now(), item)
	}
	d.mu.Unlock()
	wake(next)
	return nil, e
}

func wake(items []*Item) {
	for _, item := range items {
		close(item.wake)
	}
}

// leave notes the end of a request and wakes those that may run now.
func (d *Door) leave(item *Item) {
	now := time.Now()
	d.mu.Lock()
	if d.Limit.Adapt(now, d.Wait.Mean(), d.queue.Running()) {
		d.queue.Limit = d.Limit.Value
	}
	next := d.queue.Done(now, item)
	d.mu.Unlock()
	wake(next)
}

// Load is what a door holds.
type Load struct {
	// Limit is how many requests run at once at most.
	Limit            float64
	Running, Waiting int
}

// Load returns what the door holds now.
func (d *Door) Load() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.once.Do(d.start)
	return Load{Limit: d.queue.Limit, Running: d.queue.Running(), Waiting: d.queue.Waiting()}
}
