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
// safe for concurrent use without locks.
type Trend struct {
	fast, slow average
	count      atomic.Int64
}

// Observe adds one measurement to the averages.
func (t *Trend) Observe(d time.Duration) {
	value := float64(d)
	n := t.count.Load()
	if n < minSamples {
		n = t.count.Add(1)
	}
	t.fast.add(value, fastWeight)
	switch {
	case n < minSamples:
		t.slow.add(value, fastWeight)
	case value < t.slow.value():
		t.slow.add(value, downWeight)
	default:
		t.slow.add(value, slowWeight)
	}
}

// average is a moving average of durations in nanoseconds. It holds the bits of a
// float64 plus one, so that the zero value means that there is no measurement.
type average struct{ bits atomic.Uint64 }

// add adds a measurement with a weight. The first one becomes the average.
func (a *average) add(value, weight float64) {
	for {
		bits := a.bits.Load()
		next := value
		if bits != 0 {
			old := math.Float64frombits(bits - 1)
			next = old + weight*(value-old)
		}
		if a.bits.CompareAndSwap(bits, math.Float64bits(next)+1) {
			return
		}
	}
}

// value returns the average; zero if there is no measurement.
func (a *average) value() float64 {
	bits := a.bits.Load()
	if bits == 0 {
		return 0
	}
	return math.Float64frombits(bits - 1)
}

// Current returns the average of the latest measurements; zero if there are
// none.
func (t *Trend) Current() time.Duration {
	return time.Duration(t.fast.value())
}

// Baseline returns the long-term average that Current is compared with.
func (t *Trend) Baseline() time.Duration {
	return time.Duration(t.slow.value())
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
	t.fast.bits.Store(t.slow.bits.Load())
}
