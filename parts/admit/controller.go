package admit

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// Controller is the admission controller of one pool. Set the exported fields
// before first use. It is safe for concurrent use.
//
// Decisions are made under one mutex for each pool: a request locks it twice,
// for well under a microsecond each time (see BenchmarkController), compared to
// hundreds of microseconds for the rest of the request.
type Controller struct {
	Limits Limits
	// Limiter adapts how many requests run concurrently.
	Limiter Limiter
	// MeasureWait returns the mean wait of the latest tokens, in units of their
	// run time, and false if there are none. The limit follows it, or stays
	// constant if it is nil.
	MeasureWait func(now time.Time) (float64, bool)
	mu          sync.Mutex
	once        sync.Once
	queue       Queue
	measuredAt  time.Time
	wait        float64
	// tokenGap is the mean time between two tokens in nanoseconds, as the bits
	// of a float64; zero while it is not known.
	tokenGap atomic.Uint64
}

// initQueue creates the queue on first use.
func (c *Controller) initQueue() {
	c.queue = Queue{Limits: c.Limits, Limit: c.Limiter.Value}
}

// Grant is the permission to run a request. The zero value holds no slot.
type Grant struct {
	controller *Controller
	item       *Entry
}

// Release returns the slot once the request has ended.
func (g Grant) Release() {
	if g.controller != nil {
		g.controller.release(g.item)
	}
}

// Credit reports whether the request's team had credit left, that is, uses less
// than its share.
func (g Grant) Credit() bool {
	return g.item != nil && g.item.Credit
}

// Admit waits until the request may run. The caller releases the grant when the
// request has ended. The verdict of an error is always NotRun: the request was
// never started.
func (c *Controller) Admit(ctx context.Context, req Request) (Grant, *fault.Error) {
	req.RunTime = time.Duration(math.Float64frombits(c.tokenGap.Load()) * req.Cost)
	c.mu.Lock()
	c.once.Do(c.initQueue)
	item, e := c.queue.Submit(time.Now(), req)
	if e != nil {
		c.mu.Unlock()
		return Grant{}, e
	}
	if item.Running {
		c.mu.Unlock()
		return Grant{c, item}, nil
	}
	item.wake = make(chan struct{})
	c.mu.Unlock()
	return c.await(ctx, item)
}

// gapWeight is the weight of one response in the mean token gap.
const gapWeight = 1.0 / 16

// ObserveGap records the mean gap between the tokens of one response. From it
// the run time of later requests is estimated, so that a request that can't end
// before its deadline is refused on arrival.
func (c *Controller) ObserveGap(gap time.Duration) {
	for {
		old := c.tokenGap.Load()
		next := math.Float64frombits(old)
		if old == 0 {
			next = float64(gap)
		}
		next += gapWeight * (float64(gap) - next)
		if c.tokenGap.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// maxWaitFactor is the ratio of the longest actual wait to the longest expected
// wait. Teams below their share go before those above it, so a request may wait
// longer than expected on arrival; its caller still gets a definite response.
const maxWaitFactor = 3

// await waits for the turn of a queued request.
func (c *Controller) await(ctx context.Context, item *Entry) (Grant, *fault.Error) {
	timer := time.NewTimer(min(time.Until(item.Deadline), maxWaitFactor*c.Limits.MaxWait))
	defer timer.Stop()
	e := &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "the caller left while it waited"}
	select {
	case <-item.wake:
		return Grant{c, item}, nil
	case <-ctx.Done():
	case <-timer.C:
		e = deadlineExceeded("waited longer than was to be expected", 0)
	}
	c.mu.Lock()
	var next []*Entry
	if !c.queue.Cancel(item) {
		// It was started at the same moment, and ends without running.
		next = c.queue.Abort(time.Now(), item)
	}
	c.mu.Unlock()
	wake(next)
	return Grant{}, e
}

// wake resumes requests that may run now.
func wake(items []*Entry) {
	for _, item := range items {
		close(item.wake)
	}
}

// release records the end of a request and wakes those that may run now.
func (c *Controller) release(item *Entry) {
	now := time.Now()
	c.mu.Lock()
	c.adaptLimit(now)
	next := c.queue.Done(now, item)
	c.mu.Unlock()
	wake(next)
}

// adaptLimit adapts the limit to the measured wait. It measures no more often
// than the limit may change.
func (c *Controller) adaptLimit(now time.Time) {
	if c.MeasureWait == nil || now.Sub(c.measuredAt) < MinAdaptInterval {
		return
	}
	c.measuredAt = now
	wait, known := c.MeasureWait(now)
	c.wait = wait
	if known && c.Limiter.Adapt(now, wait, c.queue.Running()) {
		c.queue.Limit = c.Limiter.Value
	}
}

// Stats is the state of a controller.
type Stats struct {
	// Limit is the maximum number of requests that run concurrently.
	Limit            float64
	Running, Waiting int
	// Wait is the last measured mean wait of tokens, in units of their run
	// time.
	Wait float64
}

// Stats returns the current state.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.once.Do(c.initQueue)
	return Stats{Limit: c.queue.Limit, Running: c.queue.Running(), Waiting: c.queue.Waiting(), Wait: c.wait}
}
