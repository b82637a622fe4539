package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/retry"
)

// All servers refuse, and every request asks for a second one. Without a bound
// the servers would get twice the load just when they have no room.
func TestShareBoundsRepeats(t *testing.T) {
	s := &retry.WindowBudget{Ratio: 0.1, MinRetries: func() float64 { return 2 }, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	granted := 0
	for range 100 {
		s.Record(now)
		if s.Withdraw(now) {
			granted++
		}
		now = now.Add(10 * time.Millisecond)
	}
	qt.Assert(t, granted, qt.Equals, 12)
	// A window later the requests are forgotten, and the slack is there again.
	now = now.Add(11 * time.Second)
	qt.Assert(t, s.Withdraw(now), qt.IsTrue)
	qt.Assert(t, s.Withdraw(now), qt.IsTrue)
	qt.Assert(t, s.Withdraw(now), qt.IsFalse)
}
