package health

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against a full share of requests for a server that fails two in five
// of them and is healthy otherwise. About ten outcomes show it, and the rate
// decays while the server gets no requests.
func TestFailureRate(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_000_000, 0)
	rate := &FailureRate{Weight: 0.25}
	c.Assert(rate.At(now), quicktest.Equals, 0.0)
	for i := range 20 {
		now = now.Add(100 * time.Millisecond)
		rate.Record(i%5 < 2, now)
	}
	c.Assert(rate.At(now) > 0.15 && rate.At(now) < 0.65, quicktest.IsTrue, quicktest.Commentf("%v", rate.At(now)))
	decayed := rate.At(now.Add(6 * time.Second))
	c.Assert(decayed < 0.3*rate.At(now), quicktest.IsTrue, quicktest.Commentf("%v", decayed))
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		rate.Record(false, now)
	}
	c.Assert(rate.At(now) < 0.01, quicktest.IsTrue)
}
