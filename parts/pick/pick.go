// Package pick picks a backend server for each stage of a chain.
//
// The default policy draws two servers of a stage at random, weighted by their
// measured capacity, and picks the one with the lower cost: the expected wait,
// the step time, and the delay of the link from the previous server. Two
// choices balance load almost as well as comparing all servers and cost
// little. They also keep the entry hosts from all sending their requests to
// the one server that looked idle in an old report.
package pick

import (
	"time"

	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/link"
	"fuchsiashelf.dev/parts/server"
)

// Hop is one stage of a picked chain, with the meters that record its
// measurements.
type Hop struct {
	chain.Hop
	// Meter holds the measurements of the server.
	Meter *server.Meter
	// Link holds the measurements of the link to the next server; nil at the
	// last one.
	Link *link.Meter
}

// ChainPicker picks chains. It is safe for concurrent use if Rand is.
type ChainPicker struct {
	// Policy is the balancing policy; nil means LeastCost.
	Policy Policy
	// Rand returns 64 random bits.
	Rand func() uint64
	// Now is the current time, in Unix nanoseconds.
	Now int64
	// Avoid holds servers that are used only if there is no other, with the
	// time until which they are avoided.
	Avoid map[string]time.Time
}

// Pick picks a server for each stage, from the first layer to the last, and
// appends them to hops.
func (c *ChainPicker) Pick(t *Table, hops []Hop) []Hop {
	var prev *candidate
	for at := 0; at != chain.Last; {
		s := &t.stages[at]
		i := c.pickStage(s, prev)
		if prev != nil {
			hops[len(hops)-1].Link = prev.links[i]
		}
		prev = &s.candidates[i]
		hops = append(hops, Hop{Hop: prev.hop, Meter: prev.meter})
		at = prev.hop.Next
	}
	return hops
}

// pickStage returns the index of the candidate to use for a stage.
func (c *ChainPicker) pickStage(s *stage, prev *candidate) int {
	if len(s.candidates) == 1 {
		return 0
	}
	i := c.draw(s, prev)
	if len(c.Avoid) > 0 && c.avoided(&s.candidates[i]) || c.avoidsLink(prev, i) {
		// All candidates are compared only in this case, since servers and
		// links rarely fail. Both drawn candidates may be avoided ones.
		return c.cheapest(s, prev)
	}
	return i
}

// draw returns the index of a candidate drawn by the policy.
func (c *ChainPicker) draw(s *stage, prev *candidate) int {
	n := uint64(len(s.candidates))
	switch p := c.Policy.(type) {
	case Random:
		return int(c.Rand() % n)
	case *RoundRobin:
		return int(p.nextCount(s.boundary) % n)
	case LeastRequests:
		return c.leastRequests(s)
	}
	bits := c.Rand()
	i, j := s.sampler.sample(uint32(bits)), s.sampler.sample(uint32(bits>>32))
	if i == j || c.cost(s, i, prev) <= c.cost(s, j, prev) {
		return i
	}
	return j
}

// leastRequests returns the candidate with the fewest requests in flight. It
// starts at a random one, so that idle entry hosts do not all pick the first.
func (c *ChainPicker) leastRequests(s *stage) int {
	n := len(s.candidates)
	best := int(c.Rand() % uint64(n))
	from := best
	for k := 1; k < n; k++ {
		i := (from + k) % n
		if s.candidates[i].meter.InFlight.Load() < s.candidates[best].meter.InFlight.Load() {
			best = i
		}
	}
	return best
}

// cheapest returns the cheapest candidate that is not avoided, or the cheapest
// of all if there is none.
func (c *ChainPicker) cheapest(s *stage, prev *candidate) int {
	best, bestCost := 0, 0.0
	for i := range s.candidates {
		cost := c.cost(s, i, prev)
		if c.avoided(&s.candidates[i]) {
			// Among avoided servers, the one that is avoided for the shortest
			// time is the cheapest.
			cost += avoidPenalty + float64(c.Avoid[s.candidates[i].name].UnixNano()-c.Now)
		}
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// avoided reports whether a server is to be avoided.
func (c *ChainPicker) avoided(cand *candidate) bool {
	until, found := c.Avoid[cand.name]
	return found && c.Now < until.UnixNano()
}

// avoidsLink reports whether the link from the previous server to a candidate
// is to be avoided.
func (c *ChainPicker) avoidsLink(prev *candidate, i int) bool {
	return prev != nil && prev.links[i].AvoidUntil.Load() > c.Now
}

// avoidPenalty is the cost, in nanoseconds, that is added to servers and links
// that are to be used only if there is no other. It exceeds any delay.
const avoidPenalty = 1e15

// The ages at which the weight of a measurement is half, in nanoseconds. An
// old report says little about the current load; waits of local requests are more
// recent and count longer.
const (
	reportHalfLife = 250e6
	waitHalfLife   = 500e6
)

// cost returns the expected time of a token at a candidate, in nanoseconds: the
// step, the wait before it, and the link from the previous server.
func (c *ChainPicker) cost(s *stage, i int, prev *candidate) float64 {
	m := s.candidates[i].meter
	step := float64(m.Step.Current())
	perRequest := step / max(float64(m.Capacity.Load()), 1)
	cost := step + float64(m.InFlight.Load()+1)*perRequest + c.queueWait(m, perRequest)
	if prev != nil {
		cost += float64(prev.links[i].Delay.Current())
		if c.avoidsLink(prev, i) {
			cost += avoidPenalty / 2
		}
	}
	return cost
}

// queueWait returns the wait that the requests of other entry hosts cause: as
// measured on local requests or as reported, whichever is longer after
// discounting by age. perRequest is the time that each waiting request adds.
func (c *ChainPicker) queueWait(m *server.Meter, perRequest float64) float64 {
	measured, at := m.Wait()
	wait := float64(measured) * waitHalfLife / (waitHalfLife + float64(c.Now-at))
	waiting := float64(m.Waiting.Load()) * perRequest
	reported := waiting * reportHalfLife / (reportHalfLife + float64(c.Now-m.ReportedAt.Load()))
	return max(wait, reported)
}
