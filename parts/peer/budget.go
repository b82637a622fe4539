package peer

import "time"

// budget is a token bucket over times given as arguments.
type budget struct {
	left  float64
	burst float64
	every time.Duration
	last  time.Time
}

func newBudget(burst float64, every time.Duration) *budget {
	return &budget{left: burst, burst: burst, every: every}
}

// take reports whether one more fits.
func (b *budget) take(now time.Time) bool {
	if !b.last.IsZero() {
		b.left = min(b.burst, b.left+float64(now.Sub(b.last))/float64(b.every))
	}
	b.last = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
