package stall

import (
	"context"
	"sync"
	"time"
)

// WithTimeout returns a context that ends after a wait for someone else that was in vain:
// only the time in which this process ran counts, and what has arrived is read before. The
// cause is then the given one, or context.DeadlineExceeded if it is nil. A nil Clock gives
// a context with a deadline.
func (c *Clock) WithTimeout(parent context.Context, timeout time.Duration, cause error) (context.Context, context.CancelFunc) {
	ctx, _, cancel := c.withWait(parent, timeout, cause)
	return ctx, cancel
}

// WithIdleTimeout is like WithTimeout, but the timeout starts anew at each [Restart].
func (c *Clock) WithIdleTimeout(parent context.Context, timeout time.Duration, cause error) (context.Context, context.CancelFunc) {
	ctx, w, cancel := c.withWait(parent, timeout, cause)
	return context.WithValue(ctx, waitKey{}, w), cancel
}

// withWait returns the context of a wait, which is nil if the clock is.

func (c *Clock) withWait(parent context.Context, timeout time.Duration, cause error) (context.Context, *wait, context.CancelFunc) {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	if c == nil {
		ctx, cancel := context.WithTimeoutCause(parent, timeout, cause)
		return ctx, nil, cancel
	}
	ctx, cancel := context.WithCancelCause(parent)
	w := &wait{clock: c, timeout: timeout, expire: func() { cancel(cause) }}
	w.restart()
	return ctx, w, func() {
		w.stop()
		cancel(context.Canceled)
	}
}

// waitKey is the key of the wait of a context.
type waitKey struct{}

// Restart makes the timeout of a context of [Clock.WithIdleTimeout] start anew, since this
// process has finished a step of its own, and the wait for others begins only now.
func Restart(ctx context.Context) {
	if w, _ := ctx.Value(waitKey{}).(*wait); w != nil {
		w.restart()
	}
}

// wait is a wait for someone else.
type wait struct {
	clock   *Clock
	timeout time.Duration
	expire  func()

	mu      sync.Mutex
	start   Mark
	timer   *time.Timer
	stopped bool
}

func (w *wait) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start = w.clock.Mark()
	w.arm(w.timeout)
}

// arm starts the timer. The mutex is held.
func (w *wait) arm(d time.Duration) {
	if w.stopped {
		return
	}
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.check)
		return
	}
	w.timer.Reset(d)
}

func (w *wait) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// isOver reports whether the timeout is over. If it is not, the timer is started for the
// rest.
func (w *wait) isOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := w.timeout - w.clock.Since(w.start)
	if left > 0 {
		w.arm(left)
	}
	return left <= 0 && !w.stopped
}

// check runs when the timer fires.
func (w *wait) check() {
	if !w.isOver() {
		return
	}
	w.clock.AfterReads(func() {
		if w.isOver() {
			w.expire()
		}
	})
}
