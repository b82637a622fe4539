package admit

import (
	"sync/atomic"
	"time"
)

// Peers is what one entry host knows of the others when it divides a team's
// limit.
type Peers struct {
	// Listed is the number of entry hosts that the platform lists, this one
	// included.
	Listed int
	// Alive is how many of them are known to be alive, this one included.
	Alive int
	// Rate returns the requests per second of a team that the other entry
	// hosts have told of; nil if nothing is told.
	Rate func(team string) float64
}

// idleShare is the part of an even share that is added to what each entry host
// is asked for, so that one that was asked for nothing lets the first requests
// through before the others have heard of them.
const idleShare = 0.1

// LocalRate returns how much of a team's limit one entry host lets through, in
// requests per second. Own and others are what is asked for here and on all
// others that can be reached, refused requests included.
//
// The platform's balancer may send most of a team's requests to few entry
// hosts. With an even division they would be refused there while the team is
// far below its limit. So the limit is divided as the requests are; the parts
// of hosts that know the same add up to the limit. Hosts that can't be reached
// keep their even part, so that the two sides of a partition stay within the
// limit together.
func LocalRate(limit, own, others float64, reached, listed int) float64 {
	listed = max(listed, 1)
	reached = min(max(reached, 1), listed)
	even := limit / float64(listed)
	floor := idleShare * even
	mine := own + floor
	theirs := others + floor*float64(reached-1)
	return even * float64(reached) * mine / (mine + theirs)
}

// demand is the rate at which a team's requests come, refused ones included.
// The request path only counts; whoever comes first after demandStep folds
// the count into the rate.
type demand struct {
	count atomic.Int64
	state atomic.Pointer[demandState]
}

type demandState struct {
	at   time.Time
	rate float64
}

// The meter of a demand. The step is the time between two exchanges with
// other entry hosts, and the weight follows a change within some three.
const (
	demandStep   = time.Second
	demandWeight = 0.5
)

// fold brings the rate up to date, and reports whether this call did.
func (d *demand) fold(now time.Time) bool {
	old := d.state.Load()
	if old == nil {
		return d.state.CompareAndSwap(nil, &demandState{at: now})
	}
	passed := now.Sub(old.at)
	if passed < demandStep {
		return false
	}
	next := &demandState{at: now, rate: old.rate}
	if !d.state.CompareAndSwap(old, next) {
		return false
	}
	came := float64(d.count.Swap(0)) / passed.Seconds()
	folded := &demandState{at: now, rate: old.rate + demandWeight*(came-old.rate)}
	d.state.CompareAndSwap(next, folded)
	return true
}

// rate returns the rate as last folded, in requests per second.
func (d *demand) rate() float64 {
	if s := d.state.Load(); s != nil {
		return s.rate
	}
	return 0
}
