package admit

import (
	"sync/atomic"
	"time"
)

// Peers is what one entry host knows of the entry hosts when it divides the
// rate limit of a team.
type Peers struct {
	// Listed is the number of entry hosts in the host list, including this one.
	Listed int
	// Alive is the number of entry hosts that are known to be alive, including
	// this one.
	Alive int
	// Rate returns the requests per second of a team at the other entry hosts,
	// as they reported them; nil if there are no reports.
	Rate func(team string) float64
}

// idleDemand is the fraction of an even share that is added to the demand of
// each entry host, so that an entry host without demand admits the first
// requests before the others know of them.
const idleDemand = 0.1

// LocalRate returns the part of a team's rate limit that one entry host
// applies, in requests per second. Own and others are the demand at this entry
// host and at all other reachable ones, including refused requests.
//
// The platform's load balancer may send most requests of a team to a few entry
// hosts. If the limit were divided evenly, requests would be refused there
// while the team is far below its limit. So the limit is divided in proportion
// to the demand; the parts of entry hosts with the same information add up to
// the limit. Unreachable entry hosts keep their even part, so that the two
// sides of a partition together stay within the limit.
func LocalRate(limit, own, others float64, alive, listed int) float64 {
	listed = max(listed, 1)
	alive = min(max(alive, 1), listed)
	even := limit / float64(listed)
	minDemand := idleDemand * even
	localDemand := own + minDemand
	remoteDemand := others + minDemand*float64(alive-1)
	return even * float64(alive) * localDemand / (localDemand + remoteDemand)
}

// demand measures the rate at which a team sends requests, including refused
// ones. The request path only increments the count; the first call after
// demandInterval updates the rate from it.
type demand struct {
	count atomic.Int64
	state atomic.Pointer[demandState]
}

// demandState is the rate as of one update.
type demandState struct {
	at   time.Time
	rate float64
}

// The parameters of the moving average of a demand. The interval is that of
// gossip rounds between entry hosts, and the weight follows a change within
// about three of them.
const (
	demandInterval = time.Second
	demandWeight   = 0.5
)

// update updates the rate if it is due, and reports whether this call did so.
func (d *demand) update(now time.Time) bool {
	old := d.state.Load()
	if old == nil {
		return d.state.CompareAndSwap(nil, &demandState{at: now})
	}
	elapsed := now.Sub(old.at)
	if elapsed < demandInterval {
		return false
	}
	next := &demandState{at: now, rate: old.rate}
	if !d.state.CompareAndSwap(old, next) {
		return false
	}
	observed := float64(d.count.Swap(0)) / elapsed.Seconds()
	updated := &demandState{at: now, rate: old.rate + demandWeight*(observed-old.rate)}
	d.state.CompareAndSwap(next, updated)
	return true
}

// rate returns the rate of the last update, in requests per second.
func (d *demand) rate() float64 {
	if s := d.state.Load(); s != nil {
		return s.rate
	}
	return 0
}
