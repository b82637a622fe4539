package place

import (
	"cmp"
	"slices"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// group is the servers that hold the layers together.
type group struct {
	engine  *route.Engine
	servers []*fleet.Server
	// cards are the kinds of accelerators that the servers have, by name.
	cards map[string]*card
	// tokens is the room for requests that each server should have.
	tokens float64
	// taken returns how many tokens x layers are promised of a server's memory.
	taken func(id string) float64
	// held is the range that each server holds or is about to, by its ID.
	held map[string]span
	// count is how many servers hold a layer, and rooms the tokens that they
	// have room for together.
	count []int
	rooms []float64
	// edges is how many ranges begin or end at a boundary.
	edges []int
}

type span struct{ first, end int }

func (r span) len() int { return r.end - r.first }

func newGroup(e *route.Engine, servers []*fleet.Server) *group {
	g := &group{
		engine: e, servers: slices.Clone(servers), held: map[string]span{},
		count: make([]int, e.Layers), rooms: make([]float64, e.Layers), edges: make([]int, e.Layers+1),
	}
	g.cards = cardsOf(e, servers)
	slices.SortFunc(g.servers, func(a, b *fleet.Server) int {
		x, y := g.cards[a.Accelerator], g.cards[b.Accelerator]
		return cmp.Or(cmp.Compare(x.time, y.time), cmp.Compare(y.MemoryMB, x.MemoryMB), cmp.Compare(a.ID, b.ID))
	})
	g.tokens = g.balanced()
	for _, s := range g.servers {
		if s.LayerCount() > 0 {
			g.set(s, span{max(0, s.First), min(s.End, e.Layers)})
		}
	}
	return g
}

// usual returns how many layers a server should hold.
func (g *group) usual(s *fleet.Server) int {
	return size(g.engine, g.cards[s.Accelerator].MemoryMB, g.tokens)
}

// set replaces what a server holds.
func (g *group) set(s *fleet.Server, r span) {
	if old, known := g.held[s.ID]; known {
		g.add(s, old, -1)
	}
	g.held[s.ID] = r
	g.add(s, r, 1)
}

// add counts a range, or takes it away.
func (g *group) add(s *fleet.Server, r span, by int) {
	tokens := room(g.engine, s, r.len()) * float64(by)
	for l := r.first; l < r.end; l++ {
		g.count[l] += by
		g.rooms[l] += tokens
	}
	if r.len() > 0 {
		g.edges[r.first] += by
		g.edges[r.end] += by
	}
}

// gap returns the first range of missing layers.
func (g *group) gap() span {
	first := slices.IndexFunc(g.count, func(n int) bool { return n <= 0 })
	end := first
	for end < len(g.count) && g.count[end] <= 0 {
		end++
	}
	return span{first, end}
}

// doubled reports whether others hold all layers of a range.
func (g *group) doubled(r span) bool {
	for l := r.first; l < r.end; l++ {
		if g.count[l] < 2 {
			return false
		}
	}
	return true
}

// missing counts the layers without a holder.
func (g *group) missing() int {
	n := 0
	for _, c := range g.count {
		if c <= 0 {
			n++
		}
	}
	return n
}

// best returns the range of so many layers that is worth most.
func (g *group) best(n int) span {
	n = min(n, g.engine.Layers)
	best := span{0, n}
	alone := g.alone()
	var bestWorth float64
	for at := 0; at+n <= g.engine.Layers; at++ {
		r := span{at, at + n}
		if w := g.worth(r, alone); w > bestWorth {
			best, bestWorth = r, w
		}
	}
	return best
}

// alone returns, for each server with layers that are not replicated, the range from
// the first to the last of them.
func (g *group) alone() []span {
	if !slices.Contains(g.count, 1) {
		return nil
	}
	var list []span
	for _, s := range g.servers {
		r := g.held[s.ID]
		for r.len() > 0 && g.count[r.first] > 1 {
			r.first++
		}
		for r.len() > 0 && g.count[r.end-1] > 1 {
			r.end--
		}
		if r.len() > 0 {
			list = append(list, r)
		}
	}
	return list
}

// worth returns the value of holding a range, given the ranges that are not
// replicated.
func (g *group) worth(r span, alone []span) float64 {
	var sum float64
	for l := r.first; l < r.end; l++ {
		if g.count[l] <= 0 {
			sum += worthMissing
			continue
		}
		sum += max(g.tokens, 1) / max(g.rooms[l], 1)
	}
	for _, a := range alone {
		if r.first <= a.first && a.end <= r.end {
			sum += worthSpared
		}
	}
	// Counted, not looked for among all ranges: with 1,000 servers in a failure
	// domain a decision would take longer than the time between two.
	return sum + worthAligned*float64(g.edges[r.first]+g.edges[r.end])
}
