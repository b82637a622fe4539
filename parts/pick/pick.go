// Package pick chooses a backend server for each stage of a chain.
//
// The shipped policy draws two servers of a stage, in proportion to their
// measured capacity, and takes the one with the lower cost: the wait to
// expect there, the time of a step, and the delay of the link from the
// server before. Two choices spread load almost as well as comparing all of
// them, cost little, and do not send every entry host to the server that
// looked idle in an old report.
package pick

import (
	"time"

	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/link"
	"fuchsiashelf.dev/parts/server"
)

// Hop is one stage of a chosen chain, with the meters that its figures go to.
type Hop struct {
	chain.Hop
	// Meter holds the figures of the server.
	Meter *server.Meter
	// Link holds the figures of the link to the next server; nil at the last.
	Link *link.Meter
}

// ChainPicker chooses chains. It may be shared by several threads if Rand may.
type ChainPicker struct {
	// Policy is how to choose; nil means Cost.
	Policy Policy
	// Rand returns 64 random bits.
	Rand func() uint64
	// Now is the time of the choice, in Unix nanoseconds.
	Now int64
	// Avoid holds servers that are used only if there is no other, with the
	// time until which that is so.
	Avoid map[string]time.Time
}

// Pick chooses a server for each stage, from the first layer to the last,
// and appends them to hops.
func (c *ChainPicker) Pick(t *Table, hops []Hop) []Hop {
	var before *choice
	for at := 0; at != chain.Last; {
		s := &t.stages[at]
		i := c.one(s, before)
		if before != nil {
			hops[len(hops)-1].Link = before.links[i]
		}
		before = &s.choices[i]
		hops = append(hops, Hop{Hop: before.hop, Meter: before.meter})
		at = before.hop.Next
	}
	return hops
}

// one returns the index of the choice for a stage.
func (c *ChainPicker) one(s *stage, before *choice) int {
	if len(s.choices) == 1 {
		return 0
	}
	i := c.draw(s, before)
	if len(c.Avoid) > 0 && c.avoided(&s.choices[i]) || c.shuns(before, i) {
		// Few servers and links fail at a time; only then is it worth a look
		// at all. Two draws alone may both meet what is to be avoided.
		return c.scan(s, before)
	}
	return i
}

func (c *ChainPicker) draw(s *stage, before *choice) int {
	n := uint64(len(s.choices))
	switch p := c.Policy.(type) {
	case Random:
		return int(c.Rand() % n)
	case *RoundRobin:
		return int(p.turn(s.at) % n)
	case LeastRequests:
		return c.least(s)
	}
	bits := c.Rand()
	i, j := s.odds.draw(uint32(bits)), s.odds.draw(uint32(bits>>32))
	if i == j || c.cost(s, i, before) <= c.cost(s, j, before) {
		return i
	}
	return j
}

// least returns the choice with the fewest requests in flight, from a random
// one on, so that entry hosts without load do not all begin with the first.
func (c *ChainPicker) least(s *stage) int {
	n := len(s.choices)
	best := int(c.Rand() % uint64(n))
	from := best
	for k := 1; k < n; k++ {
		i := (from + k) % n
		if s.choices[i].meter.InFlight.Load() < s.choices[best].meter.InFlight.Load() {
			best = i
		}
	}
	return best
}

// scan returns the cheapest choice that is not avoided, or the cheapest of
// all if there is none.
func (c *ChainPicker) scan(s *stage, before *choice) int {
	best, bestCost := 0, 0.0
	for i := range s.choices {
		cost := c.cost(s, i, before)
		if c.avoided(&s.choices[i]) {
			// Of servers to be avoided, the one that is to be for the shortest
			// time comes first.
			cost += shunned + float64(c.Avoid[s.choices[i].name].UnixNano()-c.Now)
		}
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (c *ChainPicker) avoided(o *choice) bool {
	until, found := c.Avoid[o.name]
	return found && c.Now < until.UnixNano()
}

// shuns reports whether the link from the server before is to be avoided.
func (c *ChainPicker) shuns(before *choice, i int) bool {
	return before != nil && before.links[i].AvoidUntil.Load() > c.Now
}

// shunned is added to the cost of what is used only if there is no other, in
// nanoseconds: more than any delay.
const shunned = 1e15

// The ages at which a figure counts half, in nanoseconds. An old report says
// little about the load of now, and a wait that was measured on one's own
// requests is fresher and worth more.
const (
	halfReport = 250e6
	halfWait   = 500e6
)

// cost is the time to expect for a token, in nanoseconds: the step, the wait
// before it, and the link from the server before.
func (c *ChainPicker) cost(s *stage, i int, before *choice) float64 {
	m := s.choices[i].meter
	step := float64(m.Step.Current())
	share := step / max(float64(m.Capacity.Load()), 1)
	cost := step + float64(m.InFlight.Load()+1)*share + c.queue(m, share)
	if before != nil {
		cost += float64(before.links[i].Delay.Current())
		if c.shuns(before, i) {
			cost += shunned / 2
		}
	}
	return cost
}

// queue is the wait that others cause: as measured on own requests, or as
// reported, whichever is longer after its age is taken off.
func (c *ChainPicker) queue(m *server.Meter, share float64) float64 {
	measured, at := m.Wait()
	wait := float64(measured) * halfWait / (halfWait + float64(c.Now-at))
	waiting := float64(m.Waiting.Load()) * share
	reported := waiting * halfReport / (halfReport + float64(c.Now-m.ReportedAt.Load()))
	return max(wait, reported)
}
