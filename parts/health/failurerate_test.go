package health

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// A server fails two in five of its requests and is well otherwise. It would
// get its full part of them for as long as it does; some ten outcomes show it,
// and once it is left alone it gets another chance.
func TestShareOfFailures(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_000_000, 0)
	s := &FailureRate{Weight: 0.25}
	c.Assert(s.At(now), quicktest.Equals, 0.0)
	for i := range 20 {
		now = now.Add(100 * time.Millisecond)
		s.Record(i%5 < 2, now)
	}
	c.Assert(s.At(now) > 0.15 && s.At(now) < 0.65, quicktest.IsTrue, quicktest.Commentf("%v", s.At(now)))
	later := s.At(now.Add(6 * time.Second))
	c.Assert(later < 0.3*s.At(now), quicktest.IsTrue, quicktest.Commentf("%v", later))
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		s.Record(false, now)
	}
	c.Assert(s.At(now) < 0.01, quicktest.IsTrue)
}
