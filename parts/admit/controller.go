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
// Decisions are made under one mutex for each pool. A request locks it twice,
// for well under a microsecond each time (see BenchmarkController), while the
// rest of the request takes hundreds of microseconds.
type Controller struct {
	Limits Limits
	// Limiter adapts how many requests run concurrently.
	Limiter Limiter
	// MeasureWait returns the mean wait of the latest tokens, in units of
	// their run time, and false if there are none. If it is nil, the limit
	// stays constant.
	MeasureWait  func(now time.Time) (float64, bool)
	mu           sync.Mutex
	once         sync.Once
	queue        Queue
	measuredAt   time.Time
	measuredWait float64
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
	entry      *Entry
}

// Release returns the slot once the request has ended.
func (g Grant) Release() {
	if g.controller != nil {
		g.controller.release(g.entry)
	}
}

// Credit reports whether the request's team had credit left, that is, used
// less than its share.
func (g Grant) Credit() bool {
	return g.entry != nil && g.entry.Credit
}

// Admit waits until the request may run. The caller releases the grant when the
// request has ended. The verdict of an error is always NotRun: the request was
// never started.
func (c *Controller) Admit(ctx context.Context, req Request) (Grant, *fault.Error) {
	req.RunTime = time.Duration(math.Float64frombits(c.tokenGap.Load()) * req.Cost)
	c.mu.Lock()
	c.once.Do(c.initQueue)
	entry, e := c.queue.Submit(time.Now(), req)
	if e != nil {
		c.mu.Unlock()
		return Grant{}, e
	}
	if entry.Running {
		c.mu.Unlock()
		return Grant{c, entry}, nil
	}
	entry.wake = make(chan struct{})
	c.mu.Unlock()
	return c.await(ctx, entry)
}

// gapWeight is the weight of one response in the mean token gap.
const gapWeight = 1.0 / 16

// ObserveGap records the mean gap between the tokens of one response. The run
// time of later requests is estimated from it, so that a request that can't
// end before its deadline is refused on arrival.
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

// maxWaitFactor is the ratio of the maximum wait to the maximum expected wait.
// Teams below their share go before those above it, so a request may wait
// longer than expected on arrival. Its caller still gets a definite response.
const maxWaitFactor = 3

// await waits until a queued request may run.
func (c *Controller) await(ctx context.Context, entry *Entry) (Grant, *fault.Error) {
	timer := time.NewTimer(min(time.Until(entry.Deadline), maxWaitFactor*c.Limits.MaxWait))
	defer timer.Stop()
	e := &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "the caller left while it waited"}
	select {
	case <-entry.wake:
		return Grant{c, entry}, nil
	case <-ctx.Done():
	case <-timer.C:
		e = deadlineExceeded("waited longer than was to be expected", 0)
	}
	c.mu.Lock()
	var next []*Entry
	if !c.queue.Cancel(entry) {
		// It was started in the same moment, and ends without running.
		next = c.queue.Abort(time.Now(), entry)
	}
	c.mu.Unlock()
	wake(next)
	return Grant{}, e
}

// wake resumes requests that may run now.
func wake(entries []*Entry) {
	for _, entry := range entries {
		close(entry.wake)
	}
}

// release records the end of a request and wakes those that may run now.
func (c *Controller) release(entry *Entry) {
	now := time.Now()
	c.mu.Lock()
	c.adaptLimit(now)
	next := c.queue.Done(now, entry)
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
	c.measuredWait = wait
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
	return Stats{Limit: c.queue.Limit, Running: c.queue.Running(), Waiting: c.queue.Waiting(), Wait: c.measuredWait}
}
