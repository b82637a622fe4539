package front

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/route"
)

const (
	// maxHeld is how many requests are held at once.
	maxHeld = 64
	// maxHoldTime limits how long a request is held.
	maxHoldTime = time.Second
	// maxHoldShare limits the time that a request is held to a share of its caller's time. The
	// rest is enough for a response, or for an attempt at another entry host.
	maxHoldShare = 1.0 / 3
	// holdRetrySpread spreads the callers that are refused at the same time.
	holdRetrySpread = 500 * time.Millisecond
	// releaseInterval is the interval between held requests that go on. Hosts that start at the
	// same time know nothing of each other's load, and all choose the same servers until they
	// have exchanged messages.
	releaseInterval = 12 * time.Millisecond
	// maxReleaseTime limits the time after which the last of them goes on.
	maxReleaseTime = 500 * time.Millisecond
)

// Hold keeps requests that arrive before the first configuration is in force. Set the exported
// fields before use.
type Hold struct {
	// Introduction is how long other entry hosts have to tell what is in force, from Started.
	Introduction time.Duration
	Started      time.Time
	Log          *slog.Logger
	Meter        *Meter

	mu sync.Mutex
	// held is the number of requests held now, total that since the last time it was zero, and
	// longest the longest time of those.
	held, total int
	longest     time.Duration
	// released is the number of requests that went on once the configuration was in force.
	released int
	// stopping is closed by Stop; nil until it is used.
	stopping chan struct{}
	stopOnce sync.Once
}

// arrival describes a request that arrives before the first configuration is in force.
type arrival struct {
	// age is the time since the introduction began.
	age time.Duration
	// timeout is how long the caller waits; zero if not given.
	timeout time.Duration
	// held is the number of requests held already.
	held int
}

// holdTime returns how long to hold a request: for the rest of the introduction and once its length
// after that. Zero means that it is refused at once.
func holdTime(a arrival, introduction time.Duration) time.Duration {
	if a.held >= maxHeld {
		return 0
	}
	wait := min(2*introduction-a.age, maxHoldTime)
	if a.timeout > 0 {
		wait = min(wait, time.Duration(maxHoldShare*float64(a.timeout)))
	}
	return max(wait, 0)
}

// holdRetryAfter returns when the caller of a request that is refused at the given age of the
// introduction should retry. If the configuration is late, it is not known when it comes. random is
// from [0, 1).
func holdRetryAfter(age, introduction time.Duration, random float64) time.Duration {
	rest := introduction - age
	if rest <= 0 {
		rest = introduction
	}
	return rest + time.Duration(random*float64(holdRetrySpread))
}

// releaseDelay returns how long after the configuration came into force a held request goes on, if
// the given number have done so before and its caller has the given time left; zero if not given.
func releaseDelay(before int, remaining time.Duration) time.Duration {
	delay := min(time.Duration(before)*releaseInterval, maxReleaseTime)
	if remaining > 0 {
		delay = min(delay, time.Duration(maxHoldShare*float64(remaining)))
	}
	return delay
}

// release waits until a held request may go on, or its context ends.
func (h *Hold) release(ctx context.Context, remaining time.Duration) {
	h.mu.Lock()
	before := h.released
	h.released++
	h.mu.Unlock()
	if delay := releaseDelay(before, remaining); delay > 0 {
		h.await(ctx, nil, delay)
	}
}

// Stop refuses the requests that are held, and later ones. Those that wait for their turn after the
// configuration came into force go on at once.
func (h *Hold) Stop() {
	h.stopOnce.Do(func() { close(h.stopped()) })
}

// stopped returns a channel that is closed by Stop.
func (h *Hold) stopped() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping == nil {
		h.stopping = make(chan struct{})
	}
	return h.stopping
}

// enter returns how long to hold a request. It counts the request if that is not zero; the caller
// then calls leave.
func (h *Hold) enter(timeout time.Duration, now time.Time) time.Duration {
	if h.isStopped() {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := holdTime(arrival{age: now.Sub(h.Started), timeout: timeout, held: h.held}, h.Introduction)
	if wait > 0 {
		h.held++
		h.total++
		h.Meter.Count("front.held")
	}
	return wait
}

// leave records that a request is no longer held. The last one logs how many there were.
func (h *Hold) leave(held time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held--
	h.longest = max(h.longest, held)
	if h.held == 0 {
		h.Log.Info("front: held", "requests", h.total, "longest", h.longest)
		h.total, h.longest = 0, 0
	}
}

// isStopped reports whether Stop was called.
func (h *Hold) isStopped() bool {
	select {
	case <-h.stopped():
		return true
	default:
		return false
	}
}

// await waits until ready is closed, the context ends, the process stops, or the time is over.
func (h *Hold) await(ctx context.Context, ready <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ready:
	case <-ctx.Done():
	case <-h.stopped():
	case <-timer.C:
	}
}

// awaitTable holds a request until the first configuration is in force, and returns it.
func (h *Handler) awaitTable(w http.ResponseWriter, r *http.Request, timeout time.Duration) (*route.Table, error) {
	start := time.Now()
	wait := h.Hold.enter(timeout, start)
	if wait == 0 {
		return nil, h.refuseHeld()
	}
	defer func() { h.Hold.leave(time.Since(start)) }()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	body := readEarly(r, cancel)
	h.Hold.await(ctx, h.State.Configured(), wait)
	if h.State.Table() != nil {
		h.Hold.release(ctx, remaining(timeout, time.Since(start)))
	}
	// Abandoning the body ends the context as well.
	ended := context.Cause(ctx)
	if table := h.State.Table(); table != nil && ended == nil {
		return table, nil
	}
	body.abandon(w)
	if ended != nil {
		return nil, heldEnded(ended)
	}
	return nil, h.refuseHeld()
}

// remaining returns what is left of a caller's timeout; zero if it gave none.
func remaining(timeout, elapsed time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	return max(timeout-elapsed, 1)
}

// refuseHeld returns the error for a request that is held no longer, or not at all.
func (h *Handler) refuseHeld() error {
	h.Meter.Count("front.held.refused")
	if h.Hold.isStopped() {
		return h.draining()
	}
	return &fault.Error{
		Code: fault.NoServer, Verdict: fault.NotRun, Message: "no configuration is known yet",
		RetryAfter: holdRetryAfter(time.Since(h.Hold.Started), h.Hold.Introduction, rand.Float64()),
	}
}

// heldEnded returns the error for a request whose caller left, or whose body could not be read, while
// it was held.
func heldEnded(cause error) *fault.Error {
	if errors.Is(cause, context.Canceled) {
		return &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "ended while it waited for a configuration"}
	}
	return &fault.Error{Code: fault.BadRequest, Verdict: fault.NotRun, Message: "the body could not be read", Cause: cause}
}
