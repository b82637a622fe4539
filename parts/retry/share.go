package retry

import (
	"sync"
	"time"
)

// Share bounds repeats to a share of the requests of the last seconds, and a
// fixed number beyond. The bound is meant for all entry hosts together: each
// counts its own requests and spends its part of the fixed number, so the sum
// keeps to the bound without a word between them.
type Share struct {
	// Ratio is how many repeats a request earns.
	Ratio float64
	// Slack returns how many repeats may come on top in one window.
	Slack func() float64
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

// Note counts a request.
func (s *Share) Note(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slot(now).requests++
}

// Take spends a repeat, and reports whether there was one.
func (s *Share) Take(now time.Time) bool {
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
	if float64(repeats+1) > s.Ratio*float64(requests)+s.Slack() {
		return false
	}
	slot.repeats++
	return true
}

func (s *Share) slot(now time.Time) *shareCount {
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
