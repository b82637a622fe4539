package retry

import (
	"sync"
	"time"
)

// WindowBudget bounds repeats to a share of the requests of the last seconds, and a
// fixed number beyond. The bound is meant for all entry hosts together: each
// counts its own requests and spends its part of the fixed number, so the sum
// keeps to the bound without a word between them.
type WindowBudget struct {
	// Ratio is how many repeats a request earns.
	Ratio float64
	// MinRetries returns how many repeats may come on top in one window.
	MinRetries func() float64
	// Window is the length of the window.
	Window time.Duration

	mu     sync.Mutex
	start  time.Time
	counts [shareSlots]shareCount
}

// shareSlots is how finely the window is divided.
const shareSlots = 20

type shareCount struct {
	tick              int64
	requests, repeats int
}

// Record counts a request.
func (s *WindowBudget) Record(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slot(now).requests++
}

// Withdraw spends a repeat, and reports whether there was one.
func (s *WindowBudget) Withdraw(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.slot(now)
	requests, repeats := 0, 0
	for _, c := range s.counts {
		if slot.tick-c.tick < shareSlots {
			requests += c.requests
			repeats += c.repeats
		}
	}
	if float64(repeats+1) > s.Ratio*float64(requests)+s.MinRetries() {
		return false
	}
	slot.repeats++
	return true
}

func (s *WindowBudget) slot(now time.Time) *shareCount {
	if s.start.IsZero() {
		s.start = now
	}
	tick := int64(now.Sub(s.start) / (s.Window / shareSlots))
	c := &s.counts[tick%shareSlots]
	if c.tick != tick {
		*c = shareCount{tick: tick}
	}
	return c
}
