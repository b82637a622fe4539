package place

import (
	"cmp"
	"slices"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// group is a set of servers that together should hold all layers.
type group struct {
	engine  *route.Engine
	servers []*fleet.Server
	// accelerators are the kinds of accelerators that the servers have, by name.
	accelerators map[string]*accelerator
	// targetTokens is the target capacity of each server for requests.
	targetTokens float64
	// reserved returns how many tokens x layers of a server's memory are reserved.
	reserved func(id string) float64
	// held is the range of layers that each server holds or will hold, by server ID.
	held map[string]span
	// holders is the number of servers that hold each layer, and silent the number of
	// silent ones among them. capacities is the number of tokens that fit into the
	// holders together.
	holders    []int
	silent     []int
	capacities []float64
	// edges is the number of ranges that begin or end at each boundary.
	edges []int
}

type span struct{ first, end int }

func (r span) len() int { return r.end - r.first }

// spanOf returns the layers of the model that a server says it holds.
func spanOf(e *route.Engine, s *fleet.Server) span {
	first := min(max(0, s.First), e.Layers)
	return span{first, max(first, min(s.End, e.Layers))}
}

func newGroup(e *route.Engine, servers []*fleet.Server) *group {
	g := &group{
		engine: e, servers: slices.Clone(servers), held: map[string]span{},
		holders: make([]int, e.Layers), silent: make([]int, e.Layers), capacities: make([]float64, e.Layers), edges: make([]int, e.Layers+1),
	}
	g.accelerators = acceleratorsOf(e, servers)
	slices.SortFunc(g.servers, func(a, b *fleet.Server) int {
		x, y := g.accelerators[a.Accelerator], g.accelerators[b.Accelerator]
		return cmp.Or(cmp.Compare(x.layerSeconds, y.layerSeconds), cmp.Compare(y.MemoryMB, x.MemoryMB), cmp.Compare(a.ID, b.ID))
	})
	g.targetTokens = g.targetCapacity()
	for _, s := range g.servers {
		if s.LayerCount() > 0 {
			g.set(s, spanOf(e, s))
		}
	}
	return g
}

// targetLayers returns how many layers a server should hold.
func (g *group) targetLayers(s *fleet.Server) int {
	return maxLayersWithCapacity(g.engine, g.accelerators[s.Accelerator].MemoryMB, g.targetTokens)
}

// set replaces what a server holds.
func (g *group) set(s *fleet.Server, r span) {
	if old, known := g.held[s.ID]; known {
		g.add(s, old, -1)
	}
	g.held[s.ID] = r
	g.add(s, r, 1)
}

// add adds a range to the counts if by is 1, or removes it if by is -1.
func (g *group) add(s *fleet.Server, r span, by int) {
	tokens := capacity(g.engine, s, r.len()) * float64(by)
	for l := r.first; l < r.end; l++ {
		g.holders[l] += by
		if s.Silent {
			g.silent[l] += by
		}
		g.capacities[l] += tokens
	}
	if r.len() > 0 {
		g.edges[r.first] += by
		g.edges[r.end] += by
	}
}

// gap returns the first range of layers without a holder.
func (g *group) gap() span {
	first := slices.IndexFunc(g.holders, func(n int) bool { return n <= 0 })
	end := first
	for end < len(g.holders) && g.holders[end] <= 0 {
		end++
	}
	return span{first, end}
}

// farLayer returns the last layer that a server holds with up, or the first one
// otherwise.
func (g *group) farLayer(s *fleet.Server, up bool) int {
	if up {
		return g.held[s.ID].end - 1
	}
	return g.held[s.ID].first
}

// otherHolder returns another server that holds a layer.
func (g *group) otherHolder(s *fleet.Server, layer int) *fleet.Server {
	for _, other := range g.servers {
		if r := g.held[other.ID]; other != s && r.first <= layer && layer < r.end {
			return other
		}
	}
	return nil
}

// replicated reports whether other servers that are not silent hold all layers of a range.
func (g *group) replicated(r span) bool {
	for l := r.first; l < r.end; l++ {
		if g.holders[l]-g.silent[l] < 2 {
			return false
		}
	}
	return true
}

// missing returns the number of layers without a holder.
func (g *group) missing() int {
	n := 0
	for _, c := range g.holders {
		if c <= 0 {
			n++
		}
	}
	return n
}

// heldBySilent returns the number of layers that only silent servers hold.
func (g *group) heldBySilent() int {
	n := 0
	for l, c := range g.holders {
		if c > 0 && c == g.silent[l] {
			n++
		}
	}
	return n
}

// best returns the most valuable range of n layers.
func (g *group) best(n int) span {
	n = min(n, g.engine.Layers)
	best := span{0, n}
	unreplicated := g.unreplicated()
	var bestValue float64
	for at := 0; at+n <= g.engine.Layers; at++ {
		r := span{at, at + n}
		if v := g.value(r, unreplicated); v > bestValue {
			best, bestValue = r, v
		}
	}
	return best
}

// unreplicated returns, for each server that is the only holder of some layers, the
// range from the first to the last of them.
func (g *group) unreplicated() []span {
	if !slices.Contains(g.holders, 1) {
		return nil
	}
	var list []span
	for _, s := range g.servers {
		r := g.held[s.ID]
		for r.len() > 0 && g.holders[r.first] > 1 {
			r.first++
		}
		for r.len() > 0 && g.holders[r.end-1] > 1 {
			r.end--
		}
		if r.len() > 0 {
			list = append(list, r)
		}
	}
	return list
}

// value returns the value of holding a range, given the unreplicated ranges.
func (g *group) value(r span, unreplicated []span) float64 {
	var sum float64
	for l := r.first; l < r.end; l++ {
		if g.holders[l] <= 0 {
			sum += missingValue
			continue
		}
		sum += max(g.targetTokens, 1) / max(g.capacities[l], 1)
	}
	for _, a := range unreplicated {
		if r.first <= a.first && a.end <= r.end {
			sum += soleValue
		}
	}
	// A search through all ranges instead of the counts in edges would take longer
	// than the time between two decisions with 1,000 servers in a failure domain.
	return sum + alignedValue*float64(g.edges[r.first]+g.edges[r.end])
}
