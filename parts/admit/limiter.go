package admit

import "time"

// Limiter adapts the number of concurrent requests of a pool to what the
// engines report for each token.
//
// An engine works in steps. A token that arrives at an engine below its
// capacity waits half a step on average for the current one to end. When more
// tokens wait than fit into a step, each waits for whole steps, and more
// concurrent requests make all of them slower without using the hardware
// better. So the wait of a token in units of its run time shows how loaded the
// pool is, whatever the speed of its servers and the delay of its links.
type Limiter struct {
	// Target is the wait to aim for, in units of the run time.
	Target float64
	// Min and Max bound the limit.
	Min, Max float64
	// Value is the current limit; set it to the initial one.
	Value float64

	changedAt time.Time
}

// The parameters of the limit. It grows slowly near the target, since the wait
// shows the effect of a new request only after its first tokens, and faster
// far below it. It shrinks by at most a fifth at a time, since running
// requests are not aborted and a single burst should not lower it far.
const (
	growthFactor      = 1.05
	fastGrowthFactor  = 1.25
	minDecreaseFactor = 0.8
	bindingFraction   = 0.9
	deadBand          = 0.1
	fastGrowthBelow   = 0.6
)

// MinAdaptInterval is the shortest time between two changes of the limit.
const MinAdaptInterval = 250 * time.Millisecond

// Adapt adapts the limit to the mean wait of the latest tokens, in units of
// their run time, and to the number of running requests. It reports whether the
// limit has changed.
func (l *Limiter) Adapt(now time.Time, wait float64, running int) bool {
	if now.Sub(l.changedAt) < MinAdaptInterval {
		return false
	}
	next := l.Value
	switch {
	case wait > l.Target*(1+deadBand):
		next = l.decrease(wait, float64(running))
	case wait < l.Target*(1-deadBand) && l.binding(running):
		step := growthFactor
		if wait < l.Target*fastGrowthBelow {
			step = fastGrowthFactor
		}
		next = max(next*step, next+1)
	}
	next = min(max(next, l.Min), l.Max)
	if next == l.Value {
		return false
	}
	l.Value, l.changedAt = next, now
	return true
}

// decrease returns the limit of an overloaded pool. The running requests cause
// the wait, so the limit moves towards the number of requests that would meet
// the target. A limit that is already lower has not taken effect yet, and
// stays.
func (l *Limiter) decrease(wait, running float64) float64 {
	fits := running * l.Target / wait
	return min(l.Value, max(fits, minDecreaseFactor*l.Value))
}

// binding reports whether the limit holds requests back, or nearly does. A
// small limit is binding once there is at most one free slot.
func (l *Limiter) binding(running int) bool {
	return float64(running) >= min(bindingFraction*l.Value, l.Value-1)
}
