package place

import (
	"maps"
	"slices"

	"fuchsiashelf.dev/parts/fleet"
)

// move closes gaps by servers whose layers others hold as well, if they may.
// The smallest goes first: it is loaded soonest.
func (g *group) move(may func(id string) bool) {
	for i := len(g.servers) - 1; i >= 0 && g.missing() > 0; i-- {
		s := g.servers[i]
		old, known := g.held[s.ID]
		if !known || old.len() == 0 || !g.doubled(old) || !may(s.ID) {
			continue
		}
		before := g.missing()
		g.set(s, span{})
		g.set(s, g.best(max(1, g.usual(s))))
		if g.missing() >= before {
			g.set(s, old)
		}
	}
}

// shift closes the gaps that are left by pushing ranges along: the server
// beside a gap takes it and gives up as much at its other end as it cannot
// hold, which the next one takes. Each has some room above its usual number, so
// the gap shrinks on its way. It is tried towards the last layer, then towards
// the first, and left if neither closes all gaps.
func (g *group) shift() {
	held := maps.Clone(g.held)
	for _, up := range []bool{true, false} {
		for range g.servers {
			if g.missing() == 0 || !g.push(up) {
				break
			}
		}
		if g.missing() == 0 {
			return
		}
		for _, s := range g.servers {
			if r, known := held[s.ID]; known {
				g.set(s, r)
			}
		}
	}
}

// push closes the first gap in one direction by the server behind it. It
// reports whether there was one.
func (g *group) push(up bool) bool {
	gap := g.gap()
	at := gap.end
	if !up {
		at = gap.first
	}
	s, _ := g.behind(at, up)
	if s == nil {
		return false
	}
	r, most := g.held[s.ID], g.most(s)
	if up {
		g.set(s, span{gap.first, min(r.end, gap.first+most)})
	} else {
		g.set(s, span{max(r.first, gap.end-most), gap.end})
	}
	return true
}

// most returns how many layers a server can hold besides the requests in
// flight: no fewer than it holds now.
func (g *group) most(s *fleet.Server) int {
	n := largest(g.engine, s)
	for n > max(1, g.held[s.ID].len()) && !g.fits(s, n) {
		n--
	}
	return n
}

// behind returns the server that begins or ends at a boundary and has most to
// give: the larger its range can be, the more a gap shrinks.
func (g *group) behind(at int, up bool) (*fleet.Server, int) {
	var best *fleet.Server
	slack := 0
	for _, s := range g.servers {
		r, known := g.held[s.ID]
		touches := known && r.len() > 0 && (up && r.first == at || !up && r.end == at)
		if !touches {
			continue
		}
		if n := g.most(s) - r.len(); best == nil || n > slack {
			best, slack = s, n
		}
	}
	return best, slack
}

// relieveFrom is the minimum ratio between the values of a new range and of the one
// that an idle server holds. Layers whose holder is left with a third of its target
// room are worth six times those with two holders.
const relieveFrom = 2

// relieve moves idle servers, whose layers others hold as well, to layers whose
// holders have little room for requests because they took some over.
func (g *group) relieve(idle func(id string) bool) {
	for _, s := range slices.Backward(g.servers) {
		old, known := g.held[s.ID]
		if !known || old.len() == 0 || !g.doubled(old) || !idle(s.ID) {
			continue
		}
		g.set(s, span{})
		best := g.best(old.len())
		alone := g.alone()
		if g.worth(best, alone) < relieveFrom*g.worth(old, alone) {
			best = old
		}
		g.set(s, best)
	}
}
