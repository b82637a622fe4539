package health

import (
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "fuchsiashelf.dev/parts/seed"
)

// Guards against slow responses over a link whose delay grows twentyfold from
// 300 us without any error.
func TestDegradedLinkIsDetected(t *testing.T) {
	c := quicktest.New(t)
	var link Trend
	for range 1000 {
		link.Observe(300 * time.Microsecond)
	}
	c.Assert(link.Degraded(), quicktest.IsFalse)
	n := 0
	for ; !link.Degraded() && n < 100; n++ {
		link.Observe(6 * time.Millisecond)
	}
	c.Assert(n < 10, quicktest.IsTrue, quicktest.Commentf("detected after %d measurements", n))
	for range 2000 {
		link.Observe(6 * time.Millisecond)
	}
	c.Assert(link.Degraded(), quicktest.IsTrue, quicktest.Commentf("a long degradation became the baseline"))
	link.Reset()
	c.Assert(link.Degraded(), quicktest.IsFalse)
}

// Guards against taking a link that has always been slow for degraded: a
// distant failure domain would never be used.
func TestSlowIsNotDegraded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Int64Range(1, 1_000_000).Draw(t, "usual")
		var link Trend
		for _, part := range rapid.SliceOfN(rapid.Int64Range(50, 150), 100, 200).Draw(t, "parts") {
			link.Observe(time.Duration(base*part/100) * time.Microsecond)
			if link.Degraded() {
				t.Fatalf("a link of %d us that varies by half is degraded", base)
			}
		}
	})
}

// Guards against a server that looks eight times as fast as it is because its first two
// measurements arrived at once.
func TestConcurrentFirstMeasurements(t *testing.T) {
	c := quicktest.New(t)
	const value = 900 * time.Microsecond
	trends := make([]Trend, 100_000)
	var observers sync.WaitGroup
	for range 4 {
		observers.Go(func() {
			for i := range trends {
				trends[i].Observe(value)
			}
		})
	}
	observers.Wait()
	wrong := 0
	for i := range trends {
		if trends[i].Current() != value || trends[i].Baseline() != value {
			wrong++
		}
	}
	c.Assert(wrong, quicktest.Equals, 0)
}

func TestSuspectForDoubles(t *testing.T) {
	c := quicktest.New(t)
	for failures, want := range []time.Duration{
		minSuspicion, minSuspicion, 2 * minSuspicion, 4 * minSuspicion, 8 * minSuspicion,
	} {
		c.Check(SuspectFor(int64(failures)), quicktest.Equals, want)
	}
	c.Assert(SuspectFor(1000), quicktest.Equals, maxSuspicion)
}

// Guards against ejecting all servers of a stage that become slow at once, for
// example because of their switch: the pool would serve no requests.
func TestEjectAtMostHalf(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range []struct{ degraded, size, want int }{
		{0, 4, 0}, {1, 4, 1}, {4, 4, 2}, {3, 3, 1}, {1, 1, 0},
	} {
		got := Eject(make([]int, test.degraded), test.size)
		c.Check(got, quicktest.HasLen, test.want)
	}
}
