package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/admit"
	_ "fuchsiashelf.dev/parts/seed"
)

// tokenWait models the wait of a token: half a step up to the capacity of the
// pool, and more with each further request.
func tokenWait(running, capacity float64) float64 {
	return 0.5 + max(0, running/capacity-1)
}

func TestLimiterConvergesToCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(4, 400).Draw(t, "capacity")
		l := &admit.Limiter{Target: 1.5, Min: 1, Max: 1e4, Value: rapid.Float64Range(1, 1000).Draw(t, "start")}
		now := start
		for range 400 {
			now = now.Add(admit.MinAdaptInterval)
			l.Adapt(now, tokenWait(l.Value, capacity), int(l.Value))
		}
		got := tokenWait(l.Value, capacity)
		if got < 1.25 || got > 1.75 {
			t.Fatalf("limit %v, capacity %v, wait %v", l.Value, capacity, got)
		}
	})
}

// Guards against a limit that changes while the pool is idle. If it grew, the
// first burst after a quiet night would be admitted all at once; if it shrank,
// requests would be refused despite free capacity.
func TestLimitOfIdlePoolStays(t *testing.T) {
	c := qt.New(t)
	l := &admit.Limiter{Target: 1.5, Min: 1, Max: 100, Value: 50}
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		c.Assert(l.Adapt(now, float64(i%4)*0.5, 10), qt.IsFalse)
	}
	c.Assert(l.Value, qt.Equals, 50.0)
}

// Guards against a limit that stays above the capacity of the pool, as a new
// entry host may start with: the requests never reach the limit, and all of
// them are slow until it decreases to a value that holds the pool at its
// target.
func TestLimitAboveCapacityDecreases(t *testing.T) {
	c := qt.New(t)
	l := &admit.Limiter{Target: 1.5, Min: 1, Max: 1000, Value: 1000}
	const demand, capacity = 100, 20
	now := start
	for range 100 {
		now = now.Add(admit.MinAdaptInterval)
		running := min(int(l.Value), demand)
		l.Adapt(now, tokenWait(float64(running), capacity), running)
	}
	c.Assert(l.Value > 30 && l.Value < 50, qt.IsTrue, qt.Commentf("%v", l.Value))
}

// Guards against a limit that falls far below the capacity: after a decrease,
// the requests that already run keep the pool overloaded for a while, and
// their reports must not decrease the limit again.
func TestLimitDecreasesOnceForTheSameRequests(t *testing.T) {
	c := qt.New(t)
	l := &admit.Limiter{Target: 1.5, Min: 1, Max: 1000, Value: 100}
	for i := range 50 {
		l.Adapt(start.Add(time.Duration(i+1)*time.Second), 3, 100)
	}
	c.Assert(l.Value, qt.Equals, 50.0)
}
