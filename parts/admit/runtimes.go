package admit

import "time"

// runTimes holds moving averages of the run times of requests. The zero value
// has no observations.
type runTimes struct {
	// mean is the mean run time of a request, perCost that of one unit of its
	// cost, in seconds.
	mean, perCost float64
}

// runTimeWeight is the weight of one observation. A sixteenth follows a change
// within some tens of responses and smooths their different lengths.
const runTimeWeight = 1.0 / 16

// observe adds the run time of one request to the averages.
func (r *runTimes) observe(took time.Duration, cost float64) {
	seconds := took.Seconds()
	if r.mean == 0 {
		r.mean, r.perCost = seconds, seconds/cost
		return
	}
	r.mean += runTimeWeight * (seconds - r.mean)
	r.perCost += runTimeWeight * (seconds/cost - r.perCost)
}

// expectedWait returns the expected wait behind requests of the given total
// cost. It is zero while nothing is known.
func (r *runTimes) expectedWait(ahead float64, running int) time.Duration {
	seconds := (r.mean + r.perCost*ahead) / float64(max(running, 1))
	return time.Duration(min(seconds, expectedWaitCap.Seconds()) * float64(time.Second))
}

// expectedWaitCap caps the expected wait. It is longer than any deadline of a
// caller.
const expectedWaitCap = 24 * time.Hour
