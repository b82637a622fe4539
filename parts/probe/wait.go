package probe

import "time"

const (
	// MinTimeout is the shortest time that a question is waited for, and LongWait
	// the longest. An answer takes one to three milliseconds.
	MinTimeout = 40 * time.Millisecond
	MaxTimeout = 300 * time.Millisecond
	// learnMean and learnSpread are the parts of a new answer in the mean time
	// that answers take and in how far they are from it, and spreads how many
	// times that far an answer may be.
	learnMean   = 0.125
	learnSpread = 0.25
	spreads     = 4
	// held is how much later than due a timer fires where the process itself was
	// held up: what came meanwhile lay unread.
	held = 25 * time.Millisecond
)

// Timeout learns how long an answer may take until it counts as none. An entry host
// that is short of processor time, or whose link is slow, gets answers late from
// servers that are well; taken for dead, they would lose all their streams. The
// zero value is ready. It is not safe for concurrent use.
type Timeout struct {
	mean, spread time.Duration
}

// Current returns how long the next question is waited for.
func (w *Timeout) Current() time.Duration {
	return min(max(MinTimeout, w.mean+spreads*w.spread), MaxTimeout)
}

// Record notes how long an answer took. One that came only to a later question
// counts as twice the bound.
func (w *Timeout) Record(took time.Duration, first bool) {
	if !first {
		took = max(took, 2*w.Current())
	}
	off := took - w.mean
	w.mean += time.Duration(learnMean * float64(off))
	w.spread += time.Duration(learnSpread * float64(max(off, -off)-w.spread))
}

// Stalled reports whether a question that was to end after some time ended so late
// that the process was held up: then nothing follows from it.
func Stalled(due, took time.Duration) bool {
	return took > due+held
}
