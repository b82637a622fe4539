package admit

import "time"

// pace measures how long requests run, as moving averages. The zero value
// has seen none.
type pace struct {
	// took is the mean time of one request, perCost that of one unit of its
	// cost, in seconds.
	took, perCost float64
}

// paceWeight is the weight of one new observation. A sixteenth follows a
// change within some tens of answers and smooths their different lengths.
const paceWeight = 1.0 / 16

func (p *pace) add(took time.Duration, cost float64) {
	seconds := took.Seconds()
	if p.took == 0 {
		p.took, p.perCost = seconds, seconds/cost
		return
	}
	p.took += paceWeight * (seconds - p.took)
	p.perCost += paceWeight * (seconds/cost - p.perCost)
}

// wait returns the expected wait behind requests of the given cost, in a
// line that gets the given share of what the running requests free. It is
// zero while nothing is known.
func (p *pace) wait(ahead, share float64, running int) time.Duration {
	seconds := (p.took + p.perCost*ahead/share) / float64(max(running, 1))
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// maxWait stands for any wait beyond what a caller could mean.
const maxWait = 24 * time.Hour
