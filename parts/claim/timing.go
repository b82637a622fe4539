package claim

import (
	"fmt"
	"time"
)

// ExpiryFactor is the minimum ratio of the expiry of a claim to the longest
// deadline of a call that it covers.
const ExpiryFactor = 1000

// Timing holds the durations that claims depend on.
type Timing struct {
	// MaxDeadline is the longest deadline of a call that is not idempotent.
	MaxDeadline time.Duration
	// Expiry is the lifetime of a claim.
	Expiry time.Duration
}

// Check returns an error if a claim could expire while its call still runs.
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

// Until returns the expiry time of a claim made at the given time, in Unix
// milliseconds.
func (t Timing) Until(now time.Time) int64 {
	return now.Add(t.Expiry).UnixMilli()
}

// Age returns the time since then, by the monotonic or the wall clock,
// whichever gives more. The monotonic clock stands still while a host is
// suspended, and a wall clock that was set back gives too little.
func Age(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// Fresh reports whether a call that was claimed at the given time may still
// be sent. A holder that was paused past the expiry of its claim must not
// send the call, since a resend may have claimed it again and the call would
// run twice. The deadline is far below the expiry, so a fresh claim is far
// from expiring.
func Fresh(claimed, now time.Time, deadline time.Duration) bool {
	return Age(claimed, now) < deadline
}
