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
	"cmp"
	"math"
	"slices"
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
	// smoothing is the time over which the demand of the others is averaged, and the level. Both
	// come from a sample of the others; without the average only 0.85 of the capacity was used at a
	// demand of 1.5 times as much, half of it at one host.
	smoothing = 500 * time.Millisecond
	// burstTime is how long the unused share of a host accumulates, to burstCalls calls at most:
	// calls arrive at random, and with a credit of two calls 13 in 100 were refused at a demand
	// equal to the capacity. The credit of a host with a large share is bounded by that for
	// minBurst, which covers the interval at which waiting calls are looked at: bursts of more
	// fill the queues of the servers.
	burstTime  = time.Second
	burstCalls = 8
	minBurst   = 50 * time.Millisecond
	// minBurstCalls is the least number of calls that accumulate, where a host may send less than
	// one in burstTime. With one, calls of 150 ms used 0.6 of the capacity at a demand of 1.5 times
	// as much, and with three the servers rejected 5 in 100.
	minBurstCalls = 2
	// maxWait bounds the time until the next call that Take returns.
	maxWait = 5 * time.Second
)

// Demand is the demand for a service, in slots.
type Demand struct {
	// Own is the demand at this entry host, and Others that at the others.
	Own    float64
	Others []HostDemand
	// Age is the age of the latest report of another host.
	Age time.Duration
	// Hosts is the number of entry hosts, including this one.
	Hosts int
}

// HostDemand is the demand at some entry hosts, each of which has the same.
type HostDemand struct {
	// Demand is the demand at each, in slots, and Hosts their number. It is a fraction where the
	// hosts are extrapolated from a sample.
	Demand, Hosts float64
}

// Total returns the demand at all entry hosts.
func (d Demand) Total() float64 {
	total := max(0, d.Own)
	for _, o := range d.Others {
		total += max(0, o.Demand) * o.Hosts
	}
	return total
}

// Stale reports whether the reports are too old to determine the share.
func (d Demand) Stale() bool { return d.Age > freshFor }

// Limiter limits the calls of one service at this entry host. Set the exported fields before use.
type Limiter struct {
	// Work is the work of a call, in slot-seconds. It may be changed between calls; zero is
	// unknown, and permits all calls.
	Work float64

	// capacity is the number of slots of the healthy servers, zero if it is unknown, and all that
	// of the suspected ones too.
	capacity, all float64
	hosts         int
	// share is the part of the capacity that this host may use.
	share float64
	// others is the demand of the other hosts, and level the max-min fair level, both smoothed, as
	// of updatedAt.
	others, level float64
	updatedAt     time.Time
	// limited says that calls need credit, and neededAt when the demand last required that.
	limited  bool
	neededAt time.Time
	// credit is the work that may be sent now, as of creditAt.
	credit   float64
	creditAt time.Time
}

// Capacity sets the capacity from the servers of the service. It is unknown, and calls are not
// limited, if one of them states no slots.
func (l *Limiter) Capacity(servers []*fleet.Server) {
	slots, all := 0, 0
	for _, s := range servers {
		if s.Leaving {
			continue
		}
		all += s.Slots
		if s.Suspected {
			continue
		}
		if s.Slots <= 0 {
			slots = 0
			break
		}
		slots += s.Slots
	}
	l.all = float64(all)
	// Until the next update the share changes with the capacity.
	if l.capacity > 0 {
		l.share *= float64(slots) / l.capacity
		l.level *= float64(slots) / l.capacity
	} else {
		l.share = float64(slots) / float64(max(l.hosts, 1))
	}
	l.capacity = float64(slots)
}

// Slots returns the capacity that was set last, in slots.
func (l *Limiter) Slots() int { return int(l.capacity) }

// Active reports whether the service has fewer slots than there are entry hosts, those of suspected
// servers included: a crash does not change how a small deployment handles calls. Without healthy
// slots there is nothing to divide.
func (l *Limiter) Active() bool { return l.capacity > 0 && float64(l.hosts) > l.all }

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
		l.smooth(d, now)
		l.share = max(l.capacity/float64(l.hosts), l.level, l.capacity-l.others)
		l.setLimited(d.Total() >= limitedFrom*l.capacity, now)
	case d.Age <= keepFor && l.share > 0:
		// The last share holds.
	default:
		l.share = l.capacity / float64(l.hosts)
		l.setLimited(d.Own >= limitedFrom*l.share, now)
	}
	l.credit = min(l.credit, l.burst())
}

// smooth updates the demand of the other hosts and the level. Of the level it averages the
// reciprocal: the level is about the capacity over the number of hosts whose demand exceeds it, and
// of that number the sample gives an unbiased estimate.
func (l *Limiter) smooth(d Demand, now time.Time) {
	weight := 1.0
	if !l.updatedAt.IsZero() {
		weight -= math.Exp(-max(0, now.Sub(l.updatedAt).Seconds()) / smoothing.Seconds())
	}
	l.updatedAt = now
	l.others += weight * (d.Total() - max(0, d.Own) - l.others)
	level := l.fairLevel(d)
	if l.level > 0 && level > 0 {
		level = 1 / ((1-weight)/l.level + weight/level)
	}
	l.level = level
}

// fairLevel returns the max-min fair level: the demands, each limited to it, add up to the capacity.
// If they do not reach the capacity, it is what the others leave of it.
func (l *Limiter) fairLevel(d Demand) float64 {
	own, total := max(0, d.Own), d.Total()
	if total <= l.capacity {
		return l.capacity - (total - own)
	}
	demands := append([]HostDemand{{Demand: own, Hosts: 1}}, d.Others...)
	slices.SortFunc(demands, func(a, b HostDemand) int { return cmp.Compare(a.Demand, b.Demand) })
	left, hosts := l.capacity, 0.0
	for _, o := range demands {
		hosts += o.Hosts
	}
	// Hosts with less demand than the level leave the rest of it to the others.
	for _, o := range demands {
		if o.Hosts > 0 && o.Demand*hosts >= left {
			return left / hosts
		}
		left -= max(0, o.Demand) * o.Hosts
		hosts -= o.Hosts
	}
	// Only rounding errors lead here: the total exceeds the capacity.
	return demands[len(demands)-1].Demand
}

// setLimited begins the limit at once and ends it after a while.
func (l *Limiter) setLimited(needed bool, now time.Time) {
	if needed && l.capacity > 0 {
		if !l.limited {
			l.limited, l.credit, l.creditAt = true, l.Work, now
		}
		l.neededAt = now
	}
	l.limited = l.limited && now.Sub(l.neededAt) < limitedFor
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
	return max(minBurstCalls*l.Work, share*minBurst.Seconds(), min(share*burstTime.Seconds(), burstCalls*l.Work))
}
