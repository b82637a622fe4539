package pick

import (
	"math"
	"time"

	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/health"
	"fuchsiashelf.dev/parts/link"
	"fuchsiashelf.dev/parts/server"
)

// Table is a graph prepared for picking: each hop with its meters, and the
// weights by which hops are drawn. It is immutable; a new one is made when the
// graph changes, and periodically to follow the measured speeds.
type Table struct {
	// Graph is the graph that the table was made from.
	Graph  *chain.Graph
	stages []stage
}

// stage holds the hops that start at one layer boundary.
type stage struct {
	// boundary is the index of the layer boundary.
	boundary   int
	candidates []candidate
	sampler    aliasSampler
}

// candidate is one hop with the measurements that determine its cost.
type candidate struct {
	hop   chain.Hop
	name  string
	meter *server.Meter
	// links holds the links to the candidates of the next stage.
	links []*link.Meter
}

// ejectionTime is how long a degraded server or link is ejected before it is
// tried again.
const ejectionTime = 10 * time.Second

// NewTable returns a table for a graph. Every server of the graph must have a
// meter. Servers and links that have degraded are marked in their meters and
// ejected for a while.
func NewTable(g *chain.Graph, meters map[string]*server.Meter, now time.Time) *Table {
	t := &Table{Graph: g, stages: make([]stage, len(g.Hops))}
	for i, hops := range g.Hops {
		all := make([]candidate, len(hops))
		for n, h := range hops {
			name := g.Servers[h.Server].Name
			all[n] = candidate{hop: h, name: name, meter: meters[name]}
		}
		t.stages[i].boundary, t.stages[i].candidates = i, eject(all, now)
	}
	for i := range t.stages {
		t.stages[i].sampler = newSampler(t.stages[i].candidates)
		for n := range t.stages[i].candidates {
			t.resolveLinks(&t.stages[i].candidates[n], now)
		}
	}
	return t
}

// eject removes degraded servers, at most half of the stage.
func eject(all []candidate, now time.Time) []candidate {
	var degraded []int
	for i := range all {
		m := all[i].meter
		if m.Step.Degraded() {
			m.Step.Reset()
			m.EjectedUntil.Store(now.Add(ejectionTime).UnixNano())
		}
		if m.EjectedUntil.Load() > now.UnixNano() {
			degraded = append(degraded, i)
		}
	}
	ejected := map[int]bool{}
	for _, i := range health.Eject(degraded, len(all)) {
		ejected[i] = true
	}
	var kept []candidate
	for i := range all {
		if !ejected[i] {
			kept = append(kept, all[i])
		}
	}
	return kept
}

// resolveLinks sets the links from a candidate to those of the next stage, and
// marks the degraded ones to be avoided, at most half of them.
func (t *Table) resolveLinks(c *candidate, now time.Time) {
	if c.hop.Next == chain.Last {
		return
	}
	next := t.stages[c.hop.Next].candidates
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
		c.links[i].Avoid(now.Add(ejectionTime))
	}
}

// aliasSampler draws a candidate in proportion to its weight in constant time
// (alias method): a slot is drawn uniformly, and yields either its own index
// or its alias.
type aliasSampler struct {
	threshold []float32
	alias     []int32
}

// newSampler returns a sampler weighted by the measured capacities. A server
// without measurements gets the mean weight of the others, so that it is used
// and measured.
func newSampler(candidates []candidate) aliasSampler {
	weights := make([]float64, len(candidates))
	sum, known := 0.0, 0.0
	for i := range candidates {
		if weights[i] = tokenRate(candidates[i].meter); weights[i] > 0 {
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
	return newAliasSampler(weights, sum)
}

// tokenRate returns the maximum tokens per nanosecond of a server; zero if
// unknown.
func tokenRate(m *server.Meter) float64 {
	step := float64(m.Step.Current())
	if step <= 0 {
		return 0
	}
	return math.Max(float64(m.Capacity.Load()), 1) / step
}

// newAliasSampler returns a sampler for weights with the given sum.
func newAliasSampler(weights []float64, sum float64) aliasSampler {
	n := len(weights)
	sampler := aliasSampler{threshold: make([]float32, n), alias: make([]int32, n)}
	scaled := make([]float64, n)
	var small, large []int
	for i, w := range weights {
		scaled[i] = w / sum * float64(n)
		if scaled[i] < 1 {
			small = append(small, i)
		} else {
			large = append(large, i)
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		sampler.threshold[s], sampler.alias[s] = float32(scaled[s]), int32(l)
		if scaled[l] -= 1 - scaled[s]; scaled[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, i := range append(small, large...) {
		sampler.threshold[i], sampler.alias[i] = 1, int32(i)
	}
	return sampler
}

// sample maps 32 random bits to an index.
func (s *aliasSampler) sample(bits uint32) int {
	n := uint64(len(s.threshold))
	product := uint64(bits) * n
	slot := int(product >> 32)
	if float32(uint32(product))/(1<<32) < s.threshold[slot] {
		return slot
	}
	return int(s.alias[slot])
}
