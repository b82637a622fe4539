package probe

import "time"

const (
	// MinTimeout and MaxTimeout bound the timeout of a probe. An answer
	// usually takes one to three milliseconds.
	MinTimeout = 40 * time.Millisecond
	MaxTimeout = 300 * time.Millisecond
	// meanWeight and deviationWeight are the weights of a new answer in the
	// moving averages of the response time and of its deviation. The timeout is
	// the mean plus maxDeviations deviations.
	meanWeight      = 0.125
	deviationWeight = 0.25
	maxDeviations   = 4
)

// Timeout adapts the timeout of probes to the measured response times. An
// entry host that is short of processor time, or whose link is slow, gets late
// answers from healthy servers; if it considered them failed, they would lose
// all their streams. The zero value is ready to use. It is not safe for
// concurrent use.
type Timeout struct {
	mean, deviation time.Duration
}

// Current returns the timeout of the next probe.
func (t *Timeout) Current() time.Duration {
	return min(max(MinTimeout, t.mean+maxDeviations*t.deviation), MaxTimeout)
}

// Record records how long an answer took. First is false if only a later probe
// was answered in time; the answer then counts as at least twice the current
// timeout.
func (t *Timeout) Record(took time.Duration, first bool) {
	if !first {
		took = max(took, 2*t.Current())
	}
	diff := took - t.mean
	t.mean += time.Duration(meanWeight * float64(diff))
	t.deviation += time.Duration(deviationWeight * float64(max(diff, -diff)-t.deviation))
}
