package place

import (
	"cmp"
	"slices"

	"fuchsiashelf.dev/parts/fleet"
)

// A server that took over the layers of a dead one has little room for requests, which
// limits its whole failure domain: requests are refused while most of the memory is
// free. Ranges are therefore rebalanced, a layer at a time and without a gap: a
// neighbour with more room loads a layer next to its own, and the crowded server gives
// it up after that.

const (
	// levelFrom is by how much more room the neighbour must have with the layer
	// than the crowded server has now. Without it two servers alike would pass a
	// layer to and fro.
	levelFrom = 1.15
	// scarceRoom is the share of the usual room below which new servers are put
	// to use at once, and a layer is passed along several servers. Each of them
	// has requests that must go another way, so it is done only where the room
	// would hardly last for an ordinary evening.
	scarceRoom = 0.65
	// fullest is the share of a server's room that the requests under way may
	// take once it holds more layers. Beyond its memory the engine throws out
	// the newest, in the midst of their answers.
	fullest = 0.85
)

// level lets neighbours of crowded servers take a layer from them. Each server
// takes part in one such change at a time.
func (g *group) level() {
	if g.missing() > 0 {
		return
	}
	moved := map[string]bool{}
	for _, s := range g.crowded() {
		if moved[s.ID] {
			continue
		}
		moved[s.ID] = true
		after, before := g.takers(s, true, moved), g.takers(s, false, moved)
		list, last := after, true
		if after == nil || before != nil && len(before) < len(after) {
			list, last = before, false
		}
		if len(list) > 1 && room(g.engine, s, g.held[s.ID].len()) > scarceRoom*g.tokens {
			continue
		}
		for _, n := range list {
			g.take(n, last)
			moved[n.ID] = true
		}
	}
}

// scarce reports whether some layer has little room for requests.
func (g *group) scarce() bool {
	return slices.Min(g.rooms) < scarceRoom*g.tokens
}

// crowded lists the servers that hold more than their usual number of layers,
// those with the least room first.
func (g *group) crowded() []*fleet.Server {
	var list []*fleet.Server
	for _, s := range g.servers {
		if s.LayerCount() > 0 && g.held[s.ID].len() > g.usual(s) {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *fleet.Server) int {
		return cmp.Compare(room(g.engine, a, g.held[a.ID].len()), room(g.engine, b, g.held[b.ID].len()))
	})
	return list
}

// takers returns the servers that a layer is passed along to, from the last
// layer of a crowded server upwards or from its first one downwards: each takes
// one from the server before, until one is reached that has more room with it
// than the crowded one has now, or that can give one up since another server
// holds it too.
func (g *group) takers(s *fleet.Server, last bool, moved map[string]bool) []*fleet.Server {
	need := levelFrom * room(g.engine, s, g.held[s.ID].len())
	var list []*fleet.Server
	for at := s; len(list) < len(g.servers); {
		n := g.neighbour(at, last, moved)
		if n == nil {
			return nil
		}
		list = append(list, n)
		r := g.held[n.ID]
		far := r.end - 1
		if !last {
			far = r.first
		}
		if room(g.engine, n, r.len()+1) >= need || g.count[far] > 1 {
			return list
		}
		at = n
	}
	return nil
}

// neighbour returns the server beside one that has the most room to take a
// layer of it.
func (g *group) neighbour(s *fleet.Server, last bool, moved map[string]bool) *fleet.Server {
	r := g.held[s.ID]
	var best *fleet.Server
	var bestRoom float64
	for _, n := range g.servers {
		o := g.held[n.ID]
		beside := last && o.first == r.end || !last && o.end == r.first
		if moved[n.ID] || !beside || o.len() == 0 || n.LayerCount() == 0 || o.len() >= largest(g.engine, n) {
			continue
		}
		if left := room(g.engine, n, o.len()+1); left > bestRoom && g.fits(n, o.len()+1) {
			best, bestRoom = n, left
		}
	}
	return best
}

// fits reports whether the requests under way still fit into a server's memory
// if it holds so many layers.
func (g *group) fits(s *fleet.Server, layers int) bool {
	return g.taken(s.ID) <= fullest*room(g.engine, s, layers)*float64(layers)
}

// take gives a server the layer of its crowded neighbour that is beside its
// own.
func (g *group) take(n *fleet.Server, last bool) {
	o := g.held[n.ID]
	if last {
		g.set(n, span{o.first - 1, o.end})
		return
	}
	g.set(n, span{o.first, o.end + 1})
}

// trim makes servers give up layers beyond their usual number that others hold
// as well, those with the least room first.
func (g *group) trim() {
	if g.missing() > 0 {
		return
	}
	for _, s := range g.crowded() {
		usual := g.usual(s)
		for r := g.held[s.ID]; r.len() > usual; {
			switch {
			case g.count[r.first] > 1 && (g.count[r.end-1] < 2 || g.rooms[r.first] >= g.rooms[r.end-1]):
				r.first++
			case g.count[r.end-1] > 1:
				r.end--
			default:
				usual = r.len()
				continue
			}
			g.set(s, r)
		}
	}
}
