package health

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// A link of 300 us degrades twentyfold without any error. Callers would see
// slow answers for as long as requests go over it.
func TestDegradedLinkIsSeen(t *testing.T) {
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
	c.Assert(n < 10, quicktest.IsTrue, quicktest.Commentf("seen after %d figures", n))
	for range 2000 {
		link.Observe(6 * time.Millisecond)
	}
	c.Assert(link.Degraded(), quicktest.IsTrue, quicktest.Commentf("a long degradation became usual"))
	link.Reset()
	c.Assert(link.Degraded(), quicktest.IsFalse)
}

// A link that has always been slow is healthy: without it a far failure
// domain would be left out for good.
func TestSlowIsNotDegraded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Int64Range(1, 1_000_000).Draw(t, "usual")
		var link Trend
		for _, part := range rapid.SliceOfN(rapid.Int64Range(50, 150), 100, 200).Draw(t, "parts") {
			link.Observe(time.Duration(base*part/100) * time.Microsecond)
			if link.Degraded() {
				t.Fatalf("a link of %d us that varies by half counts as degraded", base)
			}
		}
	})
}

func TestAvoidDoubles(t *testing.T) {
	c := quicktest.New(t)
	for failures, want := range []time.Duration{
		avoidBase, avoidBase, 2 * avoidBase, 4 * avoidBase, 8 * avoidBase,
	} {
		c.Check(SuspectFor(int64(failures)), quicktest.Equals, want)
	}
	c.Assert(SuspectFor(1000), quicktest.Equals, avoidMost)
}

// A whole stage becomes slow at once, for example since its switch is. Were
// all its servers ejected, the pool would serve nobody.
func TestEjectKeepsHalf(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range []struct{ degraded, size, want int }{
		{0, 4, 0}, {1, 4, 1}, {4, 4, 2}, {3, 3, 1}, {1, 1, 0},
	} {
		got := Eject(make([]int, test.degraded), test.size)
		c.Check(got, quicktest.HasLen, test.want)
	}
}
