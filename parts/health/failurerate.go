package health

import (
	"math"
	"time"
)

// shareLife is the time in which half of a share of failures is forgotten. A
// server that fails is passed by, so nothing else would tell that it has
// recovered.
const shareLife = 3 * time.Second

// FailureRate is the share of requests that a server failed lately. A server may
// fail some of its requests, or all, while it answers every other question
// well, and only its answers tell so. Set Learn before use.
type FailureRate struct {
	// Weight is the part of a new outcome in the share.
	Weight float64

	failed float64
	last   time.Time
}

// Record takes the outcome of a request.
func (s *FailureRate) Record(failed bool, now time.Time) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failed = s.At(now)
	s.failed += s.Weight * (outcome - s.failed)
	s.last = now
}

// At returns the share as far as it is remembered, between 0 and 1.
func (s *FailureRate) At(now time.Time) float64 {
	if s.failed == 0 {
		return 0
	}
	return s.failed * math.Exp2(-now.Sub(s.last).Seconds()/shareLife.Seconds())
}
