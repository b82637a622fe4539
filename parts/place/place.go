// Package place decides which layers each backend server holds.
//
// Each failure domain holds all layers, so that an answer need not cross to
// another one. What memory the layers leave holds requests, and that is what
// limits how many are served: a server gets only as many layers as leave room
// for the requests of a busy hour. Domains too small for a copy of their own
// share one.
//
// [Plan] is a pure function of the believed state of the servers. Servers keep what
// they hold. Empty servers get the layers with the fewest replicas or the least room.
// Missing layers are taken by servers whose own are replicated, or the ranges next to
// the gap are shifted. Entry hosts with the same state decide on the same orders, so
// a new leader continues where the last one stopped.
package place

import (
	"slices"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// Assignment assigns a range of layers to a server.
type Assignment struct {
	Server *fleet.Server
	// First and End bound the layers.
	First, End int
	// Replicas holds the servers with replicas of the layers that this one gives up. They
	// should be checked before the order is sent, since a failure may not be known yet.
	// It is empty for orders that close a gap, which are urgent.
	Replicas []*fleet.Server
}

const (
	// highestFill is the share of a server's memory that layers may take where
	// a domain cannot hold all of them otherwise.
	highestFill = 0.92
	// cutOff is the share of a domain's servers that are suspected at once from
	// which on a partition is more likely than so many deaths. What they hold
	// is unknown then, and nothing is ordered there.
	cutOff = 0.34
)

// worthMissing is the value of holding a missing layer, above any number of replicas.
// A replica is worth more the less room for requests the other holders have.
// worthSpared is the value of a range that covers everything a certain server holds
// alone: after its death all its answers continue on replicas, which a part of its
// layers would not allow. worthAligned prefers ranges that begin or end where others
// do, which makes chains with fewer parts.
const (
	worthMissing = 1e6
	worthSpared  = 5
	worthAligned = 0.01
)

// Conditions says what may be done now.
type Conditions struct {
	// Stable reports whether the servers of a failure domain have been the same
	// for a while. Only then are ranges made level, and layers given up that
	// others hold as well.
	Stable func(domain.Name) bool
	// JustStarted reports whether a server has just started. In a rolling replacement the
	// new server starts before the old one leaves; loading replicas now would delay
	// taking over from the server being replaced.
	JustStarted func(id string) bool
	// Reserved returns how many tokens x layers are promised of a server's memory.
	Reserved func(id string) float64
	// Idle reports whether hardly any request passes through a server. A busy
	// server drains first, which takes up to ten seconds.
	Idle func(id string) bool
}

// Plan returns the orders that improve what the servers hold. Servers that
// are leaving or suspected count as holding nothing, and get no order.
func Plan(e *route.Engine, servers []*fleet.Server, now Conditions) []Assignment {
	var orders []Assignment
	for _, group := range groups(e, servers) {
		group.taken = now.Reserved
		orders = append(orders, group.decide(now)...)
	}
	return orders
}

// groups forms a group of each failure domain, and one of all those that are
// too small. Domains that seem cut off are left out.
func groups(e *route.Engine, servers []*fleet.Server) []*group {
	byDomain := map[domain.Name][]*fleet.Server{}
	suspects := map[domain.Name]int{}
	for _, s := range servers {
		if s.Leaving || e.Accelerators[s.Accelerator].MemoryMB <= 0 {
			continue
		}
		if s.Suspected {
			suspects[s.Domain]++
			continue
		}
		byDomain[s.Domain] = append(byDomain[s.Domain], s)
	}
	var names []domain.Name
	for name, list := range byDomain {
		all := len(list) + suspects[name]
		if suspects[name] > 1 && float64(suspects[name]) > cutOff*float64(all) {
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	var list []*group
	var small []*fleet.Server
	for _, name := range names {
		if together(e, byDomain[name]) < e.Layers {
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

// together returns how many layers the servers can hold together.
func together(e *route.Engine, servers []*fleet.Server) int {
	sum := 0
	for _, s := range servers {
		sum += largest(e, s)
	}
	return sum
}

// largest returns how many layers a server can hold at most.
func largest(e *route.Engine, s *fleet.Server) int {
	return most(e, e.Accelerators[s.Accelerator].MemoryMB)
}

// most returns how many layers fit into so much memory at most.
func most(e *route.Engine, memoryMB float64) int {
	return min(int(memoryMB*highestFill/e.LayerMB), e.Layers)
}

// size returns how many layers fit into so much memory and leave room for so
// many tokens of requests.
func size(e *route.Engine, memoryMB, tokens float64) int {
	perLayer := e.LayerMB + tokens*e.TokenBytes/float64(e.Layers)/1e6
	return min(int(memoryMB/perLayer), most(e, memoryMB))
}

// room returns how many tokens of requests fit into a server with so many layers.
func room(e *route.Engine, s *fleet.Server, layers int) float64 {
	free := e.Accelerators[s.Accelerator].MemoryMB - float64(layers)*e.LayerMB
	perToken := float64(max(layers, 1)) * e.TokenBytes / float64(e.Layers) / 1e6
	return max(0, free) / max(perToken, 1e-9)
}

// decide changes the ranges step by step, and returns an order for each that
// differs in the end.
func (g *group) decide(now Conditions) []Assignment {
	whole := g.missing() == 0
	g.fill(whole && !g.scarce(), now.JustStarted)
	g.move(now.Idle)
	g.move(func(string) bool { return true })
	if g.missing() > 0 {
		g.shift()
	}
	if g.calm(now) {
		g.relieve(now.Idle)
		g.trim()
		g.level()
	}
	var orders []Assignment
	for _, s := range g.servers {
		r, known := g.held[s.ID]
		if known && r.len() > 0 && (r.first != s.First || r.end != s.End) {
			o := Assignment{Server: s, First: r.first, End: r.end}
			if whole {
				o.Replicas = g.rely(s, r)
			}
			orders = append(orders, o)
		}
	}
	return orders
}

// calm reports whether all failure domains of the group are calm.
func (g *group) calm(now Conditions) bool {
	return !slices.ContainsFunc(g.servers, func(s *fleet.Server) bool { return !now.Stable(s.Domain) })
}

// rely lists the other servers with replicas of the layers that one gives up.
func (g *group) rely(s *fleet.Server, r span) []*fleet.Server {
	var list []*fleet.Server
	for _, other := range g.servers {
		held := g.held[other.ID]
		for l := s.First; l < s.End && other != s; l++ {
			if (l < r.first || l >= r.end) && l >= held.first && l < held.end {
				list = append(list, other)
				break
			}
		}
	}
	return list
}

// fill gives each empty server the layers that are held worst. If the new ones
// can be spared, they wait.
func (g *group) fill(spare bool, fresh func(id string) bool) {
	for _, s := range g.servers {
		if s.LayerCount() > 0 || spare && fresh(s.ID) {
			continue
		}
		n := g.usual(s)
		if n <= 0 {
			continue
		}
		g.set(s, g.best(n))
	}
}
