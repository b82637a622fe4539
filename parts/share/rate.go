package share

import (
	"math"
	"time"
)

// rate is a moving average of work per second, with exponentially decreasing weights.
type rate struct {
	perSecond float64
	updated   time.Time
}

// add counts work.
func (r *rate) add(work float64, window time.Duration, now time.Time) {
	r.perSecond = r.at(window, now) + work/window.Seconds()
	r.updated = now
}

// at returns the rate now.
func (r *rate) at(window time.Duration, now time.Time) float64 {
	return r.perSecond * decay(now.Sub(r.updated), window)
}

// decay returns the weight of a value of the given age.
func decay(age, window time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / window.Seconds())
}
