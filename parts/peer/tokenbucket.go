package peer

import "time"

// tokenBucket is a token bucket that takes the time as an argument. It gains
// one token per interval, up to burst.
type tokenBucket struct {
	tokens   float64
	burst    float64
	interval time.Duration
	last     time.Time
}

func newTokenBucket(burst float64, interval time.Duration) *tokenBucket {
	return &tokenBucket{tokens: burst, burst: burst, interval: interval}
}

// allow takes a token and reports whether there was one.
func (b *tokenBucket) allow(now time.Time) bool {
	if !b.last.IsZero() {
		b.tokens = min(b.burst, b.tokens+float64(now.Sub(b.last))/float64(b.interval))
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
