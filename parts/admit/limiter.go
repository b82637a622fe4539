package admit

import "time"

// Limiter adapts how many requests of a pool run at once to what the engines
// report on each token.
//
// An engine works in steps; a token that finds the engine below its capacity
// waits on average half a step for the running one to end. When more tokens
// wait than a step takes, each waits for whole steps, and more requests at
// once make all of them slower and none of the hardware faster. So the wait
// of a token in units of its run time tells how full the pool is, whatever
// the speeds of its servers and the delays of its links.
type Limiter struct {
	// Target is the wait to aim at, in units of the run time.
	Target float64
	// Min and Max bound the limit.
	Min, Max float64
	// Value is the limit; it starts where it is set.
	Value float64

	settled time.Time
}

// The steps of the limit. It grows slowly near the target, since the wait
// shows the effect of a new request only after its first tokens, and faster
// far below it. It shrinks at most by a fifth at a time, since what runs
// already isn't cut, and so that one burst doesn't take it far down.
const (
	growth      = 1.05
	fastGrowth  = 1.25
	deepest     = 0.8
	nearBinding = 0.9
	deadBand    = 0.1
	farBelow    = 0.6
)

// MinAdaptInterval is the least time between two changes of the limit.
const MinAdaptInterval = 250 * time.Millisecond

// Adapt changes the limit by the mean wait of the latest tokens, in units of
// their run time, and by how many requests run. It reports whether the limit
// has changed.
func (l *Limiter) Adapt(now time.Time, wait float64, running int) bool {
	if now.Sub(l.settled) < MinAdaptInterval {
		return false
	}
	next := l.Value
	switch {
	case wait > l.Target*(1+deadBand):
		next = l.cut(wait, float64(running))
	case wait < l.Target*(1-deadBand) && l.binds(running):
		step := growth
		if wait < l.Target*farBelow {
			step = fastGrowth
		}
		next = max(next*step, next+1)
	}
	next = min(max(next, l.Min), l.Max)
	if next == l.Value {
		return false
	}
	l.Value, l.settled = next, now
	return true
}

// cut returns the limit of a pool that is too full. What runs now makes the
// wait, so the limit goes towards the part of it that would make the target;
// a limit below that has not taken effect yet, and stays.
func (l *Limiter) cut(wait, running float64) float64 {
	fits := running * l.Target / wait
	return min(l.Value, max(fits, deepest*l.Value))
}

// binds reports whether the limit holds requests back, or nearly so. A limit
// of a few requests does as soon as one less than it runs.
func (l *Limiter) binds(running int) bool {
	return float64(running) >= min(nearBinding*l.Value, l.Value-1)
}
