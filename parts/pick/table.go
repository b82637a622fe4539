package pick

import (
	"math"
	"time"

	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/health"
	"fuchsiashelf.dev/parts/link"
	"fuchsiashelf.dev/parts/server"
)

// Table is a graph made ready for choosing: each hop with its meters, and the
// odds by which hops are drawn. It is never changed; a new one is made when
// the graph changes, and from time to time to follow the measured speeds.
type Table struct {
	// Graph is what the table was made of.
	Graph  *chain.Graph
	stages []stage
}

// stage holds the hops that start at one boundary.
type stage struct {
	// at is the index of the boundary.
	at      int
	choices []choice
	odds    odds
}

// choice is one hop with the figures that it is judged by.
type choice struct {
	hop   chain.Hop
	name  string
	meter *server.Meter
	// links holds the links to the choices of the next boundary.
	links []*link.Meter
}

// ejectFor is how long a degraded server or link is left out before it is
// tried again.
const ejectFor = 10 * time.Second

// NewTable makes a table. Every server of the graph must have a meter. Servers and
// links that have become degraded are marked in their meters, so that they are
// left out for a while.
func NewTable(g *chain.Graph, meters map[string]*server.Meter, now time.Time) *Table {
	t := &Table{Graph: g, stages: make([]stage, len(g.Hops))}
	for i, hops := range g.Hops {
		all := make([]choice, len(hops))
		for n, h := range hops {
			name := g.Servers[h.Server].Name
			all[n] = choice{hop: h, name: name, meter: meters[name]}
		}
		t.stages[i].at, t.stages[i].choices = i, eject(all, now)
	}
	for i := range t.stages {
		t.stages[i].odds = deal(t.stages[i].choices)
		for n := range t.stages[i].choices {
			t.join(&t.stages[i].choices[n], now)
		}
	}
	return t
}

// eject leaves degraded servers out, at most half of the stage.
func eject(all []choice, now time.Time) []choice {
	var degraded []int
	for i := range all {
		m := all[i].meter
		if m.Step.Degraded() {
			m.Step.Reset()
			m.EjectedUntil.Store(now.Add(ejectFor).UnixNano())
		}
		if m.EjectedUntil.Load() > now.UnixNano() {
			degraded = append(degraded, i)
		}
	}
	out := map[int]bool{}
	for _, i := range health.Eject(degraded, len(all)) {
		out[i] = true
	}
	var kept []choice
	for i := range all {
		if !out[i] {
			kept = append(kept, all[i])
		}
	}
	return kept
}

// join finds the links from a choice to those of the next boundary, and marks
// the degraded ones, at most half of them.
func (t *Table) join(c *choice, now time.Time) {
	if c.hop.Next == chain.Last {
		return
	}
	next := t.stages[c.hop.Next].choices
	c.links = make([]*link.Meter, len(next))
	var degraded []int
	for i := range next {
		c.links[i] = c.meter.Link(next[i].name)
		if c.links[i].Delay.Degraded() {
			degraded = append(degraded, i)
		}
	}
	for _, i := range health.Eject(degraded, len(next)) {
		c.links[i].Delay.Reset()
		c.links[i].Avoid(now.Add(ejectFor))
	}
}

// odds draw a choice in proportion to its weight, in constant time (the alias
// method): a slot is drawn evenly, and stands for itself or for its alias.
type odds struct {
	own   []float32
	alias []int32
}

// quota works the odds out from the measured capacities. A server that has not
// been measured yet counts as the mean of the others, so that it is found.
func deal(choices []choice) odds {
	weights := make([]float64, len(choices))
	sum, known := 0.0, 0.0
	for i := range choices {
		if weights[i] = rate(choices[i].meter); weights[i] > 0 {
			sum += weights[i]
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / known
	}
	for i := range weights {
		if weights[i] == 0 {
			weights[i] = mean
			sum += mean
		}
	}
	return aliases(weights, sum)
}

// rate returns the tokens that a server runs in a nanosecond at most, zero if
// nothing is known.
func rate(m *server.Meter) float64 {
	step := float64(m.Step.Current())
	if step <= 0 {
		return 0
	}
	return math.Max(float64(m.Capacity.Load()), 1) / step
}

func aliases(weights []float64, sum float64) odds {
	n := len(weights)
	o := odds{own: make([]float32, n), alias: make([]int32, n)}
	part := make([]float64, n)
	var small, large []int
	for i, w := range weights {
		part[i] = w / sum * float64(n)
		if part[i] < 1 {
			small = append(small, i)
		} else {
			large = append(large, i)
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		o.own[s], o.alias[s] = float32(part[s]), int32(l)
		if part[l] -= 1 - part[s]; part[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, i := range append(small, large...) {
		o.own[i], o.alias[i] = 1, int32(i)
	}
	return o
}

// draw turns 32 random bits into an index.
func (o *odds) draw(bits uint32) int {
	n := uint64(len(o.own))
	scaled := uint64(bits) * n
	slot := int(scaled >> 32)
	if float32(uint32(scaled))/(1<<32) < o.own[slot] {
		return slot
	}
	return int(o.alias[slot])
}
