package place

import (
	"cmp"
	"slices"

	"fuchsiashelf.dev/parts/fleet"
)

// A server that took over the layers of a failed one has little capacity for requests,
// which limits its whole failure domain: requests are refused while most of the memory
// is free. Ranges are therefore rebalanced one layer at a time, without a gap: a
// neighbour with more capacity loads the adjacent layer, and the overloaded server
// gives it up afterwards.

const (
	// minGain is the minimum ratio of the capacity of the neighbour, once it holds the
	// layer, to that of the overloaded server now. Without it two similar servers
	// would pass a layer back and forth.
	minGain = 1.15
	// lowCapacity is the share of the target capacity below which servers that have
	// just started are used at once, and a layer may be passed along several servers.
	// Each of these reroutes requests, so it is done only where the capacity would
	// hardly suffice for an ordinary evening.
	lowCapacity = 0.65
	// maxReserved is the share of a server's capacity that the requests in flight may
	// take if it is to hold more layers. When its memory is exceeded, the engine
	// preempts the newest requests in the middle of their responses.
	maxReserved = 0.85
)

// rebalance lets neighbours of overloaded servers take a layer from them. Each server
// takes part in only one such change at a time.
func (g *group) rebalance() {
	if g.missing() > 0 {
		return
	}
	changed := map[string]bool{}
	for _, s := range g.overloaded() {
		if changed[s.ID] {
			continue
		}
		changed[s.ID] = true
		above, below := g.recipients(s, true, changed), g.recipients(s, false, changed)
		list, up := above, true
		if above == nil || below != nil && len(below) < len(above) {
			list, up = below, false
		}
		if len(list) > 1 && capacity(g.engine, s, g.held[s.ID].len()) > lowCapacity*g.targetTokens {
			continue
		}
		for _, n := range list {
			g.takeLayer(n, up)
			changed[n.ID] = true
		}
	}
}

// hasLowCapacity reports whether some layer has little capacity for requests.
func (g *group) hasLowCapacity() bool {
	return slices.Min(g.capacities) < lowCapacity*g.targetTokens
}

// overloaded returns the servers that hold more than their target number of layers,
// ordered by rising capacity.
func (g *group) overloaded() []*fleet.Server {
	var list []*fleet.Server
	for _, s := range g.servers {
		if s.LayerCount() > 0 && g.held[s.ID].len() > g.targetLayers(s) {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *fleet.Server) int {
		return cmp.Compare(capacity(g.engine, a, g.held[a.ID].len()), capacity(g.engine, b, g.held[b.ID].len()))
	})
	return list
}

// recipients returns the servers along which a layer is passed, upwards from the last
// layer of an overloaded server (with up) or downwards from its first one. Each takes
// one layer from the previous server. The last recipient either has more capacity with
// it than the overloaded server has now, or can give up a layer because another server
// holds it too. The result is nil if there is no such server.
func (g *group) recipients(s *fleet.Server, up bool, changed map[string]bool) []*fleet.Server {
	need := minGain * capacity(g.engine, s, g.held[s.ID].len())
	var list []*fleet.Server
	for at := s; len(list) < len(g.servers); {
		n := g.neighbour(at, up, changed)
		if n == nil {
			return nil
		}
		list = append(list, n)
		if capacity(g.engine, n, g.held[n.ID].len()+1) >= need || g.holders[g.farLayer(n, up)] > 1 {
			return list
		}
		at = n
	}
	return nil
}

// neighbour returns the adjacent server, above or below, that has the most capacity
// after taking a layer.
func (g *group) neighbour(s *fleet.Server, up bool, changed map[string]bool) *fleet.Server {
	r := g.held[s.ID]
	var best *fleet.Server
	var bestCapacity float64
	for _, n := range g.servers {
		held := g.held[n.ID]
		isAdjacent := up && held.first == r.end || !up && held.end == r.first
		if changed[n.ID] || !isAdjacent || held.len() == 0 || n.LayerCount() == 0 || held.len() >= maxLayersOf(g.engine, n) {
			continue
		}
		if remaining := capacity(g.engine, n, held.len()+1); remaining > bestCapacity && g.fits(n, held.len()+1) {
			best, bestCapacity = n, remaining
		}
	}
	return best
}

// fits reports whether the requests in flight still fit into a server's memory if it
// holds the given number of layers.
func (g *group) fits(s *fleet.Server, layers int) bool {
	return g.reserved(s.ID) <= maxReserved*capacity(g.engine, s, layers)*float64(layers)
}

// takeLayer adds to a server's range the adjacent layer of the overloaded server below
// it (with up) or above it.
func (g *group) takeLayer(n *fleet.Server, up bool) {
	held := g.held[n.ID]
	if up {
		g.set(n, span{held.first - 1, held.end})
		return
	}
	g.set(n, span{held.first, held.end + 1})
}

// trim makes overloaded servers give up replicated layers above their target number,
// one at a time from the server of the lowest capacity.
func (g *group) trim() {
	if g.missing() > 0 {
		return
	}
	for slices.ContainsFunc(g.overloaded(), g.giveUpLayer) {
	}
}

// giveUpLayer takes the first or the last layer from a server if another one holds it
// too, and reports whether it did.
func (g *group) giveUpLayer(s *fleet.Server) bool {
	r := g.held[s.ID]
	first, last := g.holders[r.first] > 1, g.holders[r.end-1] > 1
	switch {
	case first && (!last || g.relief(s, false) >= g.relief(s, true)):
		r.first++
	case last:
		r.end--
	default:
		return false
	}
	g.set(s, r)
	return true
}

// relief returns the highest capacity among the servers that can keep a layer which a
// server gives up, its last one with up or its first one otherwise. If the only other
// holder can give up a layer at its far end in turn, the servers beyond it count too.
// Layers that are passed along several servers are thereby given up in the direction
// in which they were taken.
func (g *group) relief(s *fleet.Server, up bool) float64 {
	var highest float64
	for range g.servers {
		l := g.farLayer(s, up)
		if g.holders[l] != 2 {
			return max(highest, g.capacities[l]-capacity(g.engine, s, g.held[s.ID].len()))
		}
		s = g.otherHolder(s, l)
		highest = max(highest, capacity(g.engine, s, g.held[s.ID].len()))
		if g.holders[g.farLayer(s, up)] < 2 {
			return highest
		}
	}
	return highest
}
