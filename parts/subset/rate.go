package subset

import (
	"math"
	"time"
)

// rateWindow is the time over which the rate of requests is measured.
const rateWindow = 10 * time.Second

// rate is a moving average of requests per second, with exponentially decreasing weights.
type rate struct {
	perSecond float64
	updated   time.Time
}

// add counts a request.
func (r *rate) add(now time.Time) {
	r.perSecond = r.at(now) + 1/rateWindow.Seconds()
	r.updated = now
}

// at returns the rate now.
func (r *rate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(0, now.Sub(r.updated).Seconds())/rateWindow.Seconds())
}
