package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/admit"
)

// pool is what a limit meets: up to full requests the wait is half a step,
// and beyond it each further one adds to the wait of all.
func waitAt(running, full float64) float64 {
	return 0.5 + max(0, running/full-1)
}

func TestLimitFindsTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := rapid.Float64Range(4, 400).Draw(t, "full")
		l := &admit.Limiter{Target: 1.5, Min: 1, Max: 1e4, Value: rapid.Float64Range(1, 1000).Draw(t, "start")}
		now := start
		for range 400 {
			now = now.Add(admit.MinAdaptInterval)
			l.Adapt(now, waitAt(l.Value, full), int(l.Value))
		}
		got := waitAt(l.Value, full)
		if got < 1.25 || got > 1.75 {
			t.Fatalf("limit %v of %v, wait %v", l.Value, full, got)
		}
	})
}

// Callers that send little keep the pool idle. If that made the limit grow,
// the first crowd after a quiet night would all be let in at once; if it made
// the limit shrink, they would be refused while there is room.
func TestLimitOfAnIdlePoolStays(t *testing.T) {
	c := qt.New(t)
	l := &admit.Limiter{Target: 1.5, Min: 1, Max: 100, Value: 50}
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		c.Assert(l.Adapt(now, float64(i%4)*0.5, 10), qt.IsFalse)
	}
	c.Assert(l.Value, qt.Equals, 50.0)
}

// A new entry host starts with a limit above what the pool carries. Its
// callers never reach the limit, and all of them get slow answers, until it
// comes down to where it holds the pool at its target.
func TestLimitAboveTheCapacityComesDown(t *testing.T) {
	c := qt.New(t)
	l := &admit.Limiter{Target: 1.5, Min: 1, Max: 1000, Value: 1000}
	const demand, full = 100, 20
	now := start
	for range 100 {
		now = now.Add(admit.MinAdaptInterval)
		running := min(int(l.Value), demand)
		l.Adapt(now, waitAt(float64(running), full), running)
	}
	c.Assert(l.Value > 30 && l.Value < 50, qt.IsTrue, qt.Commentf("%v", l.Value))
}

// After a cut, requests that run already still hold the pool for a while. If
// each report of them cut again, the limit would fall far below the capacity.
func TestLimitIsCutOnceForTheSameRequests(t *testing.T) {
	c := qt.New(t)
	l := &admit.Limiter{Target: 1.5, Min: 1, Max: 1000, Value: 100}
	for i := range 50 {
		l.Adapt(start.Add(time.Duration(i+1)*time.Second), 3, 100)
	}
	c.Assert(l.Value, qt.Equals, 50.0)
}
