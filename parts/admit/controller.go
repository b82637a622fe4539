package admit

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// Controller is the queue of one pool for the request path. Set the exported fields
// before first use.
//
// Decisions are made under one short lock for each pool: a request takes it
// twice, for well under a microsecond each (see BenchmarkDoor), against the
// hundreds of microseconds that it costs otherwise.
type Controller struct {
	Limits Limits
	// Limiter adapts how many requests run at once.
	Limiter Limiter
	// MeasureWait returns the mean wait of the latest tokens, in units of their
	// run time, and false if there are none. The limit follows it. Without it
	// the limit stays.
	MeasureWait func(now time.Time) (float64, bool)
	mu          sync.Mutex
	once        sync.Once
	queue       Queue
	measured    time.Time
	wait        float64
	// gap is the mean time between two tokens in nanoseconds, as a float's
	// bits; zero while it is not known.
	gap atomic.Uint64
}

func (d *Controller) start() {
	d.queue = Queue{Limits: d.Limits, Limit: d.Limiter.Value}
}

// Grant is the leave to run. The zero value holds no place.
type Grant struct {
	door *Controller
	item *Item
}

// Release gives the place back, once the request has ended.
func (g Grant) Release() {
	if g.door != nil {
		g.door.leave(g.item)
	}
}

// Credit reports whether the request's team uses less than its share.
func (g Grant) Credit() bool {
	return g.item != nil && g.item.Credit
}

// Admit returns when the request may run. The caller leaves the grant when it
// has ended. The error is always NotRun: the request was never let run.
func (d *Controller) Admit(ctx context.Context, ask Request) (Grant, *fault.Error) {
	ask.RunTime = time.Duration(math.Float64frombits(d.gap.Load()) * ask.Cost)
	d.mu.Lock()
	d.once.Do(d.start)
	item, e := d.queue.Submit(time.Now(), ask)
	if e != nil {
		d.mu.Unlock()
		return Grant{}, e
	}
	if item.Running {
		d.mu.Unlock()
		return Grant{d, item}, nil
	}
	item.wake = make(chan struct{})
	d.mu.Unlock()
	return d.await(ctx, item)
}

// gapWeight is the weight of one answer in the mean gap.
const gapWeight = 1.0 / 16

// ObserveGap takes the mean gap between the tokens of one answer. With it, a
// request that can't end before its deadline is refused on arrival.
func (d *Controller) ObserveGap(gap time.Duration) {
	for {
		old := d.gap.Load()
		next := math.Float64frombits(old)
		if old == 0 {
			next = float64(gap)
		}
		next += gapWeight * (float64(gap) - next)
		if d.gap.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// patience is how much longer than the longest expected wait a request waits.
// Teams below their share go before those above it, so a wait may turn out
// longer than expected; the caller then gets its final answer all the same.
const patience = 3

// await waits for the turn of a request.
func (d *Controller) await(ctx context.Context, item *Item) (Grant, *fault.Error) {
	timer := time.NewTimer(min(time.Until(item.Deadline), patience*d.Limits.MaxWait))
	defer timer.Stop()
	e := &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "the caller left while it waited"}
	select {
	case <-item.wake:
		return Grant{d, item}, nil
	case <-ctx.Done():
	case <-timer.C:
		e = tooLate("waited longer than was to be expected", 0)
	}
	d.mu.Lock()
	var next []*Item
	if !d.queue.Cancel(item) {
		// It was let run at the same moment, and goes without running.
		next = d.queue.Abort(time.Now(), item)
	}
	d.mu.Unlock()
	wake(next)
	return Grant{}, e
}

func wake(items []*Item) {
	for _, item := range items {
		close(item.wake)
	}
}

// leave notes the end of a request and wakes those that may run now.
func (d *Controller) leave(item *Item) {
	now := time.Now()
	d.mu.Lock()
	d.adapt(now)
	next := d.queue.Done(now, item)
	d.mu.Unlock()
	wake(next)
}

// adapt lets the limit follow the pool. It measures no more often than the
// limit may change.
func (d *Controller) adapt(now time.Time) {
	if d.MeasureWait == nil || now.Sub(d.measured) < MinAdaptInterval {
		return
	}
	d.measured = now
	wait, known := d.MeasureWait(now)
	d.wait = wait
	if known && d.Limiter.Adapt(now, wait, d.queue.Running()) {
		d.queue.Limit = d.Limiter.Value
	}
}

// Stats is what a door holds.
type Stats struct {
	// Limit is how many requests run at once at most.
	Limit            float64
	Running, Waiting int
	// Wait is the mean wait of tokens when it was last measured, in units of
	// their run time.
	Wait float64
}

// Stats returns what the door holds now.
func (d *Controller) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.once.Do(d.start)
	return Stats{Limit: d.queue.Limit, Running: d.queue.Running(), Waiting: d.queue.Waiting(), Wait: d.wait}
}
