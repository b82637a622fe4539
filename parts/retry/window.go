package retry

import (
	"sync"
	"time"
)

// WindowBudget is a retry budget that limits retries to a share of the requests in a
// sliding window, plus a fixed number. The limit applies to all entry hosts together:
// each counts only its own requests and uses its part of the fixed number, so the sum
// stays within the limit without coordination. It is safe for concurrent use.
type WindowBudget struct {
	// Ratio is how many retries each request adds to the budget.
	Ratio float64
	// MinRetries returns how many retries are allowed in one window beyond Ratio.
	MinRetries func() float64
	// Window is the length of the sliding window.
	Window time.Duration

	mu    sync.Mutex
	start time.Time
	slots [windowSlots]windowSlot
}

// windowSlots is the number of slots that the window is divided into.
const windowSlots = 20

type windowSlot struct {
	tick              int64
	requests, retries int
}

// Record records a request, which adds Ratio retries to the budget.
func (b *WindowBudget) Record(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now).requests++
}

// Withdraw spends one retry, and reports whether the budget allowed it.
func (b *WindowBudget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.slot(now)
	requests, retries := 0, 0
	for _, s := range b.slots {
		if slot.tick-s.tick < windowSlots {
			requests += s.requests
			retries += s.retries
		}
	}
	if float64(retries+1) > b.Ratio*float64(requests)+b.MinRetries() {
		return false
	}
	slot.retries++
	return true
}

func (b *WindowBudget) slot(now time.Time) *windowSlot {
	if b.start.IsZero() {
		b.start = now
	}
	tick := int64(now.Sub(b.start) / (b.Window / windowSlots))
	s := &b.slots[tick%windowSlots]
	if s.tick != tick {
		*s = windowSlot{tick: tick}
	}
	return s
}
