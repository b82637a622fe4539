package claim

import (
	"fmt"
	"time"
)

// ExpiryFactor is how many times longer a claim lives than the longest deadline of
// a call that it covers.
const ExpiryFactor = 1000

// Timing are the times that claims rest on.
type Timing struct {
	// MaxDeadline is the longest deadline of a call that may not be repeated.
	MaxDeadline time.Duration
	// Expiry is how long a claim lives.
	Expiry time.Duration
}

// Check returns an error if claims could expire under a call that still
// runs.
func (t Timing) Check() error {
	if t.MaxDeadline <= 0 {
		return fmt.Errorf("claim: longest deadline %s is not above 0", t.MaxDeadline)
	}
	if t.Expiry/ExpiryFactor < t.MaxDeadline {
		return fmt.Errorf("claim: expiry %s is below %d times the longest deadline %s",
			t.Expiry, ExpiryFactor, t.MaxDeadline)
	}
	return nil
}

// Until returns when a claim made at the given time expires, in Unix
// milliseconds.
func (t Timing) Until(now time.Time) int64 {
	return now.Add(t.Expiry).UnixMilli()
}

// Age returns how long ago a time was, on the monotonic or on the wall clock,
// whichever says longer. A host that was suspended has a monotonic clock that
// stood still; one whose wall clock was set back has a wall clock that did.
func Age(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// Fresh reports whether a call that was claimed at the given time may still
// be sent. A holder that was paused past the claim's expiry would otherwise
// run a call that a resend has claimed anew; it would be noticed as a call
// that ran twice. The deadline is far below the expiry, so a holder that
// still finds its claim fresh is far from it.
func Fresh(claimed, now time.Time, deadline time.Duration) bool {
	return Age(claimed, now) < deadline
}
