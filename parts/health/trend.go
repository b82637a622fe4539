// Package health detects servers and links that fail or have become slower than
// they used to be, and decides which of them get no requests.
//
// Accelerators differ several times in speed and links a hundredfold, so no
// fixed limit distinguishes a degraded one from a slow one. A [Trend] keeps a
// fast and a slow moving average of the same measurement; what has become much
// slower than its baseline is degraded.
package health

import (
	"math"
	"sync/atomic"
	"time"
)

// The weights of one measurement in the averages. The fast average follows a
// change within about ten tokens and still smooths a single slow one. The slow
// average takes tens of thousands of tokens, so that a degraded link does not
// soon become the baseline.
const (
	fastWeight = 1.0 / 8
	slowWeight = 1.0 / 65536
	// downWeight is the weight in the slow average of a measurement below it.
	// It is higher, since the baseline is meant to reflect times without a
	// fault.
	downWeight = 1.0 / 64
)

// minSamples is the number of measurements from which on the baseline is used.
const minSamples = 32

// Trend keeps the averages of one measurement. The zero value has none. It is
// safe for concurrent use without locks: a measurement that is lost in a race
// does not matter in an average.
type Trend struct {
	fast, slow atomic.Uint64
	count      atomic.Int64
}

// Observe adds one measurement to the averages.
func (t *Trend) Observe(d time.Duration) {
	value := float64(d)
	n := t.count.Load()
	if n < minSamples {
		n = t.count.Add(1)
	}
	if n == 1 {
		t.fast.Store(math.Float64bits(value))
		t.slow.Store(math.Float64bits(value))
		return
	}
	updateAverage(&t.fast, value, fastWeight)
	baseline := math.Float64frombits(t.slow.Load())
	switch {
	case n < minSamples:
		updateAverage(&t.slow, value, fastWeight)
	case value < baseline:
		updateAverage(&t.slow, value, downWeight)
	default:
		updateAverage(&t.slow, value, slowWeight)
	}
}

// updateAverage adds a value with a weight to a moving average.
func updateAverage(average *atomic.Uint64, value, weight float64) {
	old := math.Float64frombits(average.Load())
	average.Store(math.Float64bits(old + weight*(value-old)))
}

// Current returns the average of the latest measurements; zero if there are
// none.
func (t *Trend) Current() time.Duration {
	return time.Duration(math.Float64frombits(t.fast.Load()))
}

// Baseline returns the long-term average that Current is compared with.
func (t *Trend) Baseline() time.Duration {
	return time.Duration(math.Float64frombits(t.slow.Load()))
}

// The smallest change that counts as degraded, as a factor of the baseline and
// as an absolute difference. A busy host alone causes changes below a few
// milliseconds.
const (
	degradedFactor = 4
	degradedMargin = 2 * time.Millisecond
)

// Degraded reports whether the current average is far above the baseline.
func (t *Trend) Degraded() bool {
	if t.count.Load() < minSamples {
		return false
	}
	current, baseline := t.Current(), t.Baseline()
	return current > degradedFactor*baseline && current > baseline+degradedMargin
}

// Reset sets the current average to the baseline. A degraded server or link is
// then used again until new measurements show that it is still degraded.
func (t *Trend) Reset() {
	t.fast.Store(t.slow.Load())
}
