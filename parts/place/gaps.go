package place

import (
	"maps"
	"slices"

	"fuchsiashelf.dev/parts/fleet"
)

// closeGaps assigns missing layers to servers whose own layers are replicated, if
// allowed returns true for them. The smallest servers come first, since they load
// soonest.
func (g *group) closeGaps(allowed func(id string) bool) {
	for i := len(g.servers) - 1; i >= 0 && g.missing() > 0; i-- {
		s := g.servers[i]
		old, known := g.held[s.ID]
		if !known || old.len() == 0 || s.Silent || !g.replicated(old) || !allowed(s.ID) {
			continue
		}
		before := g.missing()
		g.set(s, span{})
		g.set(s, g.best(max(1, g.targetLayers(s))))
		if g.missing() >= before {
			g.set(s, old)
		}
	}
}

// shift closes the remaining gaps by shifting ranges: the server next to a gap takes
// the missing layers and gives up at its other end those that it cannot hold, which
// the next server takes. Each server can hold some layers above its target, so the gap
// shrinks with each step. The gap is moved towards the last layer first, then towards
// the first one. If neither closes all gaps without leaving further layers to silent
// servers alone, nothing changes.
func (g *group) shift() {
	held, heldBySilent := maps.Clone(g.held), g.heldBySilent()
	for _, up := range []bool{true, false} {
		for range g.servers {
			if g.missing() == 0 || !g.shiftOnce(up) {
				break
			}
		}
		if g.missing() == 0 && g.heldBySilent() <= heldBySilent {
			return
		}
		for _, s := range g.servers {
			if r, known := held[s.ID]; known {
				g.set(s, r)
			}
		}
	}
}

// shiftOnce closes the first gap with the server next to it, in the direction of the
// last layer if up is set. It reports whether there was such a server.
func (g *group) shiftOnce(up bool) bool {
	gap := g.gap()
	at := gap.end
	if !up {
		at = gap.first
	}
	s, _ := g.adjacent(at, up)
	if s == nil {
		return false
	}
	r, maxLayers := g.held[s.ID], g.maxLayers(s)
	if up {
		g.set(s, span{gap.first, min(r.end, gap.first+maxLayers)})
	} else {
		g.set(s, span{max(r.first, gap.end-maxLayers), gap.end})
	}
	return true
}

// maxLayers returns the maximum number of layers that a server can hold besides the
// requests in flight. It is at least what the server holds now.
func (g *group) maxLayers(s *fleet.Server) int {
	n := maxLayersOf(g.engine, s)
	for n > max(1, g.held[s.ID].len()) && !g.fits(s, n) {
		n--
	}
	return n
}

// adjacent returns the server that can grow the most among those whose range begins
// (with up) or ends at a boundary, and by how many layers. The more it can grow, the
// more a gap shrinks.
func (g *group) adjacent(at int, up bool) (*fleet.Server, int) {
	var best *fleet.Server
	growth := 0
	for _, s := range g.servers {
		r, known := g.held[s.ID]
		isAdjacent := known && r.len() > 0 && !s.Silent && (up && r.first == at || !up && r.end == at)
		if !isAdjacent {
			continue
		}
		if n := g.maxLayers(s) - r.len(); best == nil || n > growth {
			best, growth = s, n
		}
	}
	return best, growth
}

// minRelief is the minimum ratio of the value of a new range to that of the range that
// an idle server holds. Layers whose holder has a third of its target capacity are
// worth six times as much as those with two holders.
const minRelief = 2

// relieve moves idle servers whose layers are replicated to layers whose holders have
// little capacity left because they took over the layers of others.
func (g *group) relieve(idle func(id string) bool) {
	for _, s := range slices.Backward(g.servers) {
		old, known := g.held[s.ID]
		if !known || old.len() == 0 || !g.replicated(old) || !idle(s.ID) {
			continue
		}
		g.set(s, span{})
		best := g.best(old.len())
		unreplicated := g.unreplicated()
		if g.value(best, unreplicated) < minRelief*g.value(old, unreplicated) {
			best = old
		}
		g.set(s, best)
	}
}
