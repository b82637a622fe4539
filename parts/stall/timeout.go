package stall

import (
	"context"
	"sync"
	"time"
)

// WithTimeout returns a context that ends after a wait for someone else that was in vain:
// only the time in which this process ran counts, and what has arrived is read before. The
// cause is then the given one, or context.DeadlineExceeded if it is nil. A nil Clock gives
// a context with a deadline, to which neither [Restart] nor [Stop] applies.
func (c *Clock) WithTimeout(parent context.Context, timeout time.Duration, cause error) (context.Context, context.CancelFunc) {
	return c.withWait(parent, &wait{timeout: timeout}, cause)
}

// WithIdleTimeout is like WithTimeout, but the timeout starts anew at each [Restart].
func (c *Clock) WithIdleTimeout(parent context.Context, timeout time.Duration, cause error) (context.Context, context.CancelFunc) {
	return c.withWait(parent, &wait{timeout: timeout, idle: true}, cause)
}

// withWait returns the context of a wait.
func (c *Clock) withWait(parent context.Context, w *wait, cause error) (context.Context, context.CancelFunc) {
	if cause == nil {
		cause = context.DeadlineExceeded
	}
	if c == nil {
		return context.WithTimeoutCause(parent, w.timeout, cause)
	}
	ctx, cancel := context.WithCancelCause(parent)
	w.clock, w.expire = c, func() { cancel(cause) }
	w.restart()
	return context.WithValue(ctx, waitKey{}, w), func() {
		w.stop()
		cancel(context.Canceled)
	}
}

// waitKey is the key of the wait of a context.
type waitKey struct{}

// Restart makes the timeout of a context of [Clock.WithIdleTimeout] start anew, since this
// process has finished a step of its own, and the wait for others begins only now.
func Restart(ctx context.Context) {
	if w, _ := ctx.Value(waitKey{}).(*wait); w != nil && w.idle {
		w.restart()
	}
}

// Stop ends the wait of a context of [Clock.WithTimeout] or [Clock.WithIdleTimeout], which
// is then no longer limited by the timeout.
func Stop(ctx context.Context) {
	if w, _ := ctx.Value(waitKey{}).(*wait); w != nil {
		w.stop()
	}
}

// wait is a wait for someone else.
type wait struct {
	clock   *Clock
	timeout time.Duration
	// idle says that Restart applies to the wait.
	idle   bool
	expire func()

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
