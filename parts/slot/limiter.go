// Package slot decides which calls an entry host sends to a plain service that has fewer slots
// than there are entry hosts, so that the servers reject few of them.
//
// A [Limiter] holds the host's share of the service's capacity. Capacity and demand are in slots:
// slot-seconds of work per second. While the demand of all hosts is below a threshold, calls are
// not limited. Above it each host may use the max-min fair level by demand, the largest amount
// such that the demands, each limited to it, fit into the capacity.
//
// A [Duration] estimates the work of a call, and [Marks] holds the servers that rejected calls
// lately. Nothing here reads a clock, and nothing is safe for concurrent use.
package slot

import (
	"math"
	"time"

	"fuchsiashelf.dev/parts/fleet"
)

const (
	// limitedFrom is the share of the capacity from which the demand limits the hosts.
	limitedFrom = 0.8
	// limitedFor is how long the hosts stay limited after the demand has fallen below that, so
	// that a demand near it does not switch the limit at each update.
	limitedFor = time.Second
	// freshFor is the age up to which the latest report determines the share. An entry host of
	// 143 hears from some seven others in that time.
	freshFor = time.Second
	// keepFor is the age of the latest report from which the capacity is divided evenly.
	keepFor = 3 * time.Second
	// smoothing is the time over which the demand of the others is averaged. It comes from a
	// sample of them; without the average only 0.85 of the capacity was used at a demand of 1.5
	// times as much, half of it at one host.
	smoothing = 500 * time.Millisecond
	// burstTime is how long the unused share of a host accumulates, to burstCalls calls at most:
	// calls arrive at random, and with a credit of two calls 13 in 100 were refused at a demand
	// equal to the capacity. The credit of a host with a large share is bounded by that for
	// minBurst, which covers the interval at which waiting calls are looked at: bursts of more
	// fill the queues of the servers.
	burstTime  = time.Second
	burstCalls = 8
	minBurst   = 50 * time.Millisecond
	// maxWait bounds the time until the next call that Take returns.
	maxWait = 5 * time.Second
)

// Demand is the demand for a service, in slots.
type Demand struct {
	// Own is the demand at this entry host, and Total that at all.
	Own, Total float64
	// Age is the age of the latest report of another host.
	Age time.Duration
	// Hosts is the number of entry hosts, including this one.
	Hosts int
}

// Stale reports whether the reports are too old to determine the share.
func (d Demand) Stale() bool { return d.Age > freshFor }

// Limiter limits the calls of one service at this entry host. Set the exported fields before use.
type Limiter struct {
	// Work is the work of a call, in slot-seconds. It may be changed between calls; zero is
	// unknown, and permits all calls.
	Work float64

	// capacity is the number of slots of the healthy servers.
	capacity float64
	hosts    int
	// share is the part of the capacity that this host may use.
	share float64
	// others is the demand of the other hosts, smoothed, as of updatedAt.
	others    float64
	updatedAt time.Time
	// limited says that calls need credit, and crowdedAt when the demand last required that.
	limited   bool
	crowdedAt time.Time
	// credit is the work that may be sent now, as of creditAt.
	credit   float64
	creditAt time.Time
}

// Capacity sets the capacity from the servers of the service.
func (l *Limiter) Capacity(servers []*fleet.Server) {
	slots := 0
	for _, s := range servers {
		if !s.Leaving && !s.Suspected {
			slots += s.Slots
		}
	}
	// Until the next update the share changes with the capacity.
	if l.capacity > 0 {
		l.share *= float64(slots) / l.capacity
	} else {
		l.share = float64(slots) / float64(max(l.hosts, 1))
	}
	l.capacity = float64(slots)
}

// Slots returns the capacity that was set last, in slots.
func (l *Limiter) Slots() int { return int(l.capacity) }

// Active reports whether the service has fewer slots than there are entry hosts. Without slots
// there is nothing to divide.
func (l *Limiter) Active() bool { return l.capacity > 0 && float64(l.hosts) > l.capacity }

// Limited reports whether calls need credit.
func (l *Limiter) Limited() bool { return l.limited && l.Active() }

// Share returns the part of the capacity that this host may use while it is limited, in slots.
func (l *Limiter) Share() float64 { return min(l.share, l.capacity) }

// Update computes the share of this host.
func (l *Limiter) Update(d Demand, now time.Time) {
	l.refill(now)
	l.hosts = max(d.Hosts, 1)
	switch {
	case !d.Stale():
		l.smooth(d.Total-d.Own, now)
		l.share = l.level(d.Own)
		l.setLimited(d.Total >= limitedFrom*l.capacity, now)
	case d.Age <= keepFor && l.share > 0:
		// The last share holds.
	default:
		l.share = l.capacity / float64(l.hosts)
		l.setLimited(d.Own >= limitedFrom*l.share, now)
	}
	l.credit = min(l.credit, l.burst())
}

// smooth updates the demand of the other hosts.
func (l *Limiter) smooth(others float64, now time.Time) {
	weight := 1.0
	if !l.updatedAt.IsZero() {
		weight -= math.Exp(-max(0, now.Sub(l.updatedAt).Seconds()) / smoothing.Seconds())
	}
	l.others += weight * (max(0, others) - l.others)
	l.updatedAt = now
}

// level returns the max-min fair level for this host. Of the demand of the others only the sum is
// known: they count as equal. The level is at least an even part of the capacity.
func (l *Limiter) level(own float64) float64 {
	hosts := float64(l.hosts)
	even := l.capacity / hosts
	if own < even && own+l.others > l.capacity {
		return max(even, (l.capacity-own)/(hosts-1))
	}
	return max(even, l.capacity-l.others)
}

// setLimited begins the limit at once and ends it after a while.
func (l *Limiter) setLimited(crowded bool, now time.Time) {
	if crowded {
		if !l.limited {
			l.limited, l.credit, l.creditAt = true, l.Work, now
		}
		l.crowdedAt = now
	}
	l.limited = l.limited && now.Sub(l.crowdedAt) < limitedFor
}

// Take reports whether a call may be sent now, and counts it. Otherwise it returns the time until
// one may.
func (l *Limiter) Take(now time.Time) (ok bool, wait time.Duration) {
	if !l.Limited() {
		return true, 0
	}
	l.refill(now)
	if l.credit >= l.Work {
		l.credit -= l.Work
		return true, 0
	}
	missing, share := l.Work-l.credit, l.Share()
	if missing >= share*maxWait.Seconds() {
		return false, maxWait
	}
	return false, time.Duration(missing / share * float64(time.Second))
}

// Return takes back a call that Take permitted and that did not run.
func (l *Limiter) Return() {
	l.credit = min(l.credit+l.Work, l.burst())
}

// refill adds the work that has become permitted since the last call.
func (l *Limiter) refill(now time.Time) {
	if elapsed := now.Sub(l.creditAt).Seconds(); elapsed > 0 {
		l.credit = min(l.credit+elapsed*l.Share(), l.burst())
		l.creditAt = now
	}
}

// burst returns the work that may be sent at once.
func (l *Limiter) burst() float64 {
	share := l.Share()
	return max(l.Work, share*minBurst.Seconds(), min(share*burstTime.Seconds(), burstCalls*l.Work))
}
