// Package place decides which layers each backend server holds.
//
// Each failure domain holds all layers, so that an answer need not cross to
// another one; what memory is left holds requests, and second copies of the
// layers whose holder is missed most. Domains too small for a copy of their
// own share one.
//
// [Decide] is a pure function of what is believed of the servers. What servers
// hold stays: only empty servers, and such whose layers others hold as well,
// get an order. So entry hosts that see the same come to the same orders, and
// one that takes over goes on where the last one stopped.
package place

import (
	"cmp"
	"slices"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// Order tells a server which layers to hold.
type Order struct {
	Server *fleet.Server
	// First and End bound the layers.
	First, End int
}

// The shares of a server's memory that layers may take.
const (
	// usualFill leaves a fifth for requests: some 70 requests of usual size on
	// each server, of which a failure domain of today runs 30 to 50 at once.
	usualFill = 0.80
	// highestFill is used where a domain cannot hold all layers otherwise.
	highestFill = 0.92
)

// The worth of holding a layer, by how many other servers hold it. A layer
// that nobody holds goes before any number of second copies, and a second copy
// before any number of third ones; a model has at most some hundred layers.
const (
	worthMissing = 1e6
	worthSecond  = 1e3
	worthThird   = 1
	// worthAligned prefers ranges that begin or end where others do, which
	// makes chains with fewer parts.
	worthAligned = 0.2
)

// Decide returns the orders that improve what the servers hold. Servers that
// are leaving or suspected count as holding nothing, and get no order.
func Decide(e *route.Engine, servers []*fleet.Server) []Order {
	var orders []Order
	for _, group := range groups(e, servers) {
		orders = append(orders, group.decide()...)
	}
	return orders
}

// group is the servers that hold the layers together.
type group struct {
	engine  *route.Engine
	servers []*fleet.Server
	fill    float64
	// held is the range that each server holds or is about to, by its ID.
	held map[string][2]int
	// count is how many servers hold a layer, and most is how many layers the
	// largest of them holds.
	count, most []int
}

// groups forms a group of each failure domain, and one of all those that are
// too small.
func groups(e *route.Engine, servers []*fleet.Server) []*group {
	byDomain := map[domain.Name][]*fleet.Server{}
	var names []domain.Name
	for _, s := range servers {
		if s.Leaving || s.Suspect || e.Cards[s.Card].MemoryMB <= 0 {
			continue
		}
		if byDomain[s.Domain] == nil {
			names = append(names, s.Domain)
		}
		byDomain[s.Domain] = append(byDomain[s.Domain], s)
	}
	slices.Sort(names)
	var list []*group
	var small []*fleet.Server
	for _, name := range names {
		if layersOf(e, byDomain[name], highestFill) < e.Layers {
			small = append(small, byDomain[name]...)
			continue
		}
		list = append(list, newGroup(e, byDomain[name]))
	}
	if len(small) > 0 {
		list = append(list, newGroup(e, small))
	}
	return list
}

// layersOf returns how many layers the servers hold at a fill.
func layersOf(e *route.Engine, servers []*fleet.Server, fill float64) int {
	sum := 0
	for _, s := range servers {
		sum += size(e, s, fill)
	}
	return sum
}

// size returns how many layers a server holds at a fill.
func size(e *route.Engine, s *fleet.Server, fill float64) int {
	n := int(e.Cards[s.Card].MemoryMB * fill / e.LayerMB)
	return min(n, e.Layers)
}

func newGroup(e *route.Engine, servers []*fleet.Server) *group {
	g := &group{
		engine: e, servers: slices.Clone(servers), fill: usualFill,
		held:  map[string][2]int{},
		count: make([]int, e.Layers), most: make([]int, e.Layers),
	}
	if layersOf(e, servers, usualFill) < e.Layers {
		g.fill = highestFill
	}
	slices.SortFunc(g.servers, func(a, b *fleet.Server) int {
		if c := cmp.Compare(e.Cards[b.Card].MemoryMB, e.Cards[a.Card].MemoryMB); c != 0 {
			return c
		}
		if c := cmp.Compare(e.Cards[a.Card].Pace, e.Cards[b.Card].Pace); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	for _, s := range g.servers {
		if s.Holds() > 0 {
			g.hold(s, s.First, s.End, 1)
		}
	}
	return g
}

// hold adds a server's range to the counts, or takes it away.
func (g *group) hold(s *fleet.Server, first, end, by int) {
	g.held[s.ID] = [2]int{first, end}
	for l := max(0, first); l < min(end, g.engine.Layers); l++ {
		g.count[l] += by
		if by > 0 {
			g.most[l] = max(g.most[l], end-first)
		}
	}
}

func (g *group) decide() []Order {
	var orders []Order
	for _, s := range g.servers {
		if s.Holds() > 0 {
			continue
		}
		first, n := g.best(s)
		if n <= 0 {
			continue
		}
		g.hold(s, first, first+n, 1)
		orders = append(orders, Order{Server: s, First: first, End: first + n})
	}
	return append(orders, g.mend()...)
}

// mend moves servers whose layers others hold as well to layers that nobody
// holds. The smallest that helps goes first: it is loaded soonest.
func (g *group) mend() []Order {
	var orders []Order
	for i := len(g.servers) - 1; i >= 0 && g.missing() > 0; i-- {
		s := g.servers[i]
		if s.Holds() == 0 || !g.spare(s) {
			continue
		}
		before := g.missing()
		g.hold(s, s.First, s.End, -1)
		first, n := g.best(s)
		g.hold(s, first, first+n, 1)
		if g.missing() < before {
			orders = append(orders, Order{Server: s, First: first, End: first + n})
			continue
		}
		g.hold(s, first, first+n, -1)
		g.hold(s, s.First, s.End, 1)
	}
	return orders
}

// spare reports whether others hold all layers of a server.
func (g *group) spare(s *fleet.Server) bool {
	for l := s.First; l < min(s.End, g.engine.Layers); l++ {
		if g.count[l] < 2 {
			return false
		}
	}
	return true
}

// missing counts the layers that nobody holds.
func (g *group) missing() int {
	n := 0
	for _, c := range g.count {
		if c <= 0 {
			n++
		}
	}
	return n
}

// best returns the range that a server had best hold.
func (g *group) best(s *fleet.Server) (first, n int) {
	n = size(g.engine, s, g.fill)
	var bestWorth float64
	for at := 0; at+n <= g.engine.Layers; at++ {
		if w := g.worth(at, at+n); w > bestWorth {
			first, bestWorth = at, w
		}
	}
	return first, n
}

func (g *group) worth(first, end int) float64 {
	var sum float64
	for l := first; l < end; l++ {
		switch g.count[l] {
		case 0:
			sum += worthMissing
		case 1:
			// The loss of a server that holds many layers is missed most.
			sum += worthSecond * (1 + float64(g.most[l])/float64(g.engine.Layers))
		default:
			sum += worthThird / float64(g.count[l])
		}
	}
	for _, r := range g.held {
		if r[0] == first || r[1] == first {
			sum += worthAligned
		}
		if r[0] == end || r[1] == end {
			sum += worthAligned
		}
	}
	return sum
}
