package health

import (
	"math"
	"time"
)

// rateHalfLife is the time in which a failure rate decays to half. A failing
// server gets no requests, so nothing else would show that it has recovered.
const rateHalfLife = 3 * time.Second

// FailureRate is the moving average of the share of requests that a server
// failed. A server may answer every probe and still fail some or all of its
// requests, which only its responses show. Set Weight before use. It is not
// safe for concurrent use.
type FailureRate struct {
	// Weight is the weight of one outcome in the average.
	Weight float64

	rate      float64
	updatedAt time.Time
}

// Record records the outcome of a request.
func (r *FailureRate) Record(failed bool, now time.Time) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	r.rate = r.At(now)
	r.rate += r.Weight * (outcome - r.rate)
	r.updatedAt = now
}

// At returns the failure rate, from 0 to 1, with its decay since the last
// outcome.
func (r *FailureRate) At(now time.Time) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * math.Exp2(-now.Sub(r.updatedAt).Seconds()/rateHalfLife.Seconds())
}
