package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/retry"
)

// Guards against retries that double the load of servers when all of them refuse
// requests for lack of capacity.
func TestWindowBudgetLimitsRetries(t *testing.T) {
	budget := &retry.WindowBudget{Ratio: 0.1, MinRetries: func() float64 { return 2 }, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	granted := 0
	for range 100 {
		budget.Record(now)
		if budget.Withdraw(now) {
			granted++
		}
		now = now.Add(10 * time.Millisecond)
	}
	qt.Assert(t, granted, qt.Equals, 12)
	// After one window the requests no longer count, and the fixed number is
	// available again.
	now = now.Add(11 * time.Second)
	qt.Assert(t, budget.Withdraw(now), qt.IsTrue)
	qt.Assert(t, budget.Withdraw(now), qt.IsTrue)
	qt.Assert(t, budget.Withdraw(now), qt.IsFalse)
}
