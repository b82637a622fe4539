// Package health follows how a server or a link does, compared with its own
// past, and decides which to keep requests off.
//
// Kinds of accelerators differ several times in speed and links a
// hundredfold, so no fixed limit tells a degraded one from a slow one. A
// [Trend] holds a fast and a slow moving average of the same figure; what has
// become much slower than it used to be is degraded.
package health

import (
	"math"
	"sync/atomic"
	"time"
)

// The weights of one new figure in the averages. The fast one follows a
// change within some ten tokens and still smooths a single slow one. The slow
// one needs ten thousands, so that a degraded link does not soon count as usual.
const (
	fastWeight = 1.0 / 8
	slowWeight = 1.0 / 65536
	// downWeight is the slow average's weight for a figure below it: the past
	// to compare with is that of a good time.
	downWeight = 1.0 / 64
)

// warmUp is the number of figures until there is a past to compare with.
const warmUp = 32

// Trend holds the averages of one figure. The zero value has none. Threads
// may use it together without locks; a figure that is lost in a race between
// two is not missed in an average.
type Trend struct {
	fast, slow atomic.Uint64
	count      atomic.Int64
}

// Observe folds one figure into the averages.
func (t *Trend) Observe(d time.Duration) {
	value := float64(d)
	n := t.count.Load()
	if n < warmUp {
		n = t.count.Add(1)
	}
	if n == 1 {
		t.fast.Store(math.Float64bits(value))
		t.slow.Store(math.Float64bits(value))
		return
	}
	fold(&t.fast, value, fastWeight)
	past := math.Float64frombits(t.slow.Load())
	switch {
	case n < warmUp:
		fold(&t.slow, value, fastWeight)
	case value < past:
		fold(&t.slow, value, downWeight)
	default:
		fold(&t.slow, value, slowWeight)
	}
}

func fold(average *atomic.Uint64, value, weight float64) {
	old := math.Float64frombits(average.Load())
	average.Store(math.Float64bits(old + weight*(value-old)))
}

// Current returns the average of the latest figures, zero without any.
func (t *Trend) Current() time.Duration {
	return time.Duration(math.Float64frombits(t.fast.Load()))
}

// Baseline returns the average that Now is compared with.
func (t *Trend) Baseline() time.Duration {
	return time.Duration(math.Float64frombits(t.slow.Load()))
}

// The least change that counts as degraded: this many times the past, and
// this much in absolute terms. Below a few milliseconds a busy host alone
// makes such a difference.
const (
	degradedTimes = 4
	degradedBy    = 2 * time.Millisecond
)

// Degraded reports whether the figure is much above its own past.
func (t *Trend) Degraded() bool {
	if t.count.Load() < warmUp {
		return false
	}
	now, past := t.Current(), t.Baseline()
	return now > degradedTimes*past && now > past+degradedBy
}

// Reset takes the past for the present, so that a degraded one is tried
// again and has to show itself degraded anew.
func (t *Trend) Reset() {
	t.fast.Store(t.slow.Load())
}
