package limit

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// tickLength is the interval at which demand is measured.
	tickLength = 500 * time.Millisecond
	// demandTicks is the number of ticks over which demand is averaged.
	demandTicks = 4
	// confirmTicks is the number of ticks for which a demand must have been reported
	// before it counts for this entry host: by then the reports have reached the
	// others, which count it too.
	confirmTicks = 4
	// minDemandShare is the least demand that counts, as a fraction of the rate. Where
	// no host has any demand, all have equal shares.
	minDemandShare = 0.01
	// hostsPerRate is the number of entry hosts that share a rate of one request per
	// second. If there are more, those with the least demand have no share: each share
	// allows one request at once, and many hosts could send theirs at the same time.
	hostsPerRate = 1
)

// ticker counts ticks.
type ticker struct {
	next time.Time
}

// advance returns the number of ticks that ended since the last call.
func (t *ticker) advance(now time.Time) int {
	if t.next.IsZero() {
		t.next = now.Add(tickLength)
		return 0
	}
	n := 0
	for ; !now.Before(t.next) && n < demandTicks+confirmTicks; n++ {
		t.next = t.next.Add(tickLength)
	}
	if !now.Before(t.next) {
		// The process was paused; older ticks do not matter.
		t.next = now.Add(tickLength)
	}
	return n
}

// meter measures the demand of this entry host for a server.
type meter struct {
	// count is the number of requests in the current tick.
	count float64
	// counts holds the last demandTicks counts, and rates the last confirmTicks rates.
	counts [demandTicks]float64
	rates  [confirmTicks]float64
	at     int
}

// advance ends ticks.
func (m *meter) advance(ticks int) {
	for range ticks {
		m.at++
		m.counts[m.at%demandTicks] = m.count
		m.count = 0
		sum := 0.0
		for _, n := range m.counts {
			sum += n
		}
		m.rates[m.at%confirmTicks] = sum / (demandTicks * tickLength.Seconds())
	}
}

// rate returns the current demand in requests per second.
func (m *meter) rate() float64 {
	return m.rates[m.at%confirmTicks]
}

// confirmed returns the demand that has been reported for confirmTicks.
func (m *meter) confirmed() float64 {
	return slices.Min(m.rates[:])
}

// idle reports whether there was no demand lately.
func (m *meter) idle() bool {
	return m.count == 0 && slices.Max(m.rates[:]) == 0
}

// demand is the demand of another entry host, in requests per second, as of a time.
type demand struct {
	rate float64
	at   time.Time
}

// hostDemand is the demand that counts for a host.
type hostDemand struct {
	host string
	rate float64
}

// updateShare computes this entry host's share of a server's rate. The mutex is held.
func (t *Tracker) updateShare(s *server) {
	hosts, complete := t.Hosts()
	if !complete {
		s.share = 0
		return
	}
	rate := max(s.rate, minRate)
	counted := func(demand float64) float64 { return min(max(demand, rate*minDemandShare), rate) }
	list := []hostDemand{{t.Self, counted(s.own.confirmed())}}
	for _, host := range hosts {
		known, reported := s.demands[host]
		if !reported {
			known.rate = rate
		}
		list = append(list, hostDemand{host, counted(known.rate)})
	}
	s.share = rate * share(list, t.Self, max(1, int(rate*hostsPerRate)))
}

// share returns the share of a host in the demands of at most n hosts, those with the
// highest ones.
func share(list []hostDemand, self string, n int) float64 {
	slices.SortFunc(list, func(a, b hostDemand) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), strings.Compare(a.host, b.host))
	})
	sum, own := 0.0, 0.0
	for _, d := range list[:min(n, len(list))] {
		sum += d.rate
		if d.host == self {
			own = d.rate
		}
	}
	return own / sum
}
