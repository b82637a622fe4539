// Package place decides which layers each backend server holds.
//
// Each failure domain holds all layers, so that requests need not cross to another
// one. The memory that the layers leave free holds requests and limits how many are
// served at once, so a server gets only as many layers as leave enough capacity for
// the requests of a busy hour. Domains that are too small to hold all layers share one
// copy.
//
// [Plan] is a pure function of the view of the servers. Servers keep what they hold.
// Empty servers get the layers with the fewest replicas or the least capacity. Missing
// layers are assigned to servers whose own layers are replicated; otherwise the ranges
// next to the gap are shifted. Entry hosts with the same view compute the same
// assignments, so a new leader continues where the last one stopped.
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
	// Replicas holds the servers with replicas of the layers that Server gives up.
	// They should be checked before the assignment is sent, since the view may not
	// show a failure yet. It is empty for assignments that close a gap, which are
	// urgent.
	Replicas []*fleet.Server
}

const (
	// maxLayerFill is the share of a server's memory that layers may take where a
	// domain cannot hold all of them otherwise.
	maxLayerFill = 0.92
	// partitionShare is the share of lost servers in a domain above which a
	// partition is more likely than so many failures. It is then unknown what these
	// servers hold, and nothing is assigned in that domain.
	partitionShare = 0.34
)

// missingValue is the value of holding a missing layer, above any number of replicas.
// The value of a replica rises as the capacity of the other holders falls. soleValue
// is the value of a range that covers all layers of which one particular server is the
// only holder: if that server fails, all its responses continue on the replicas, which
// replicas of only some of these layers would not allow. alignedValue prefers ranges
// that begin or end where others do, which makes chains with fewer stages.
const (
	missingValue = 1e6
	soleValue    = 5
	alignedValue = 0.01
)

// Conditions says which changes are allowed at the moment.
type Conditions struct {
	// Stable reports whether the servers of a failure domain have not changed for a
	// while. Only then are ranges rebalanced, and replicated layers given up.
	Stable func(domain.Name) bool
	// JustStarted reports whether a server has just started. In a rolling replacement
	// the new server starts before the old one leaves. If it loaded replicas first, it
	// would be late in taking over from the server that it replaces.
	JustStarted func(id string) bool
	// Reserved returns how many tokens x layers of a server's memory are reserved.
	Reserved func(id string) float64
	// Idle reports whether hardly any request passes through a server. A busy server
	// must drain before it changes its layers, which takes up to ten seconds.
	Idle func(id string) bool
}

// Plan returns the assignments that improve what the servers hold. Servers that are
// leaving or lost count as holding nothing and get no assignment. Silent ones count as
// holding their layers and get none either, and no other server gives up a layer that
// only silent ones hold besides.
func Plan(e *route.Engine, servers []*fleet.Server, conditions Conditions) []Assignment {
	var assignments []Assignment
	for _, group := range groups(e, servers) {
		group.reserved = conditions.Reserved
		assignments = append(assignments, group.plan(conditions)...)
	}
	return assignments
}

// groups returns a group for each failure domain, and one for all domains that are
// too small. Domains that seem to be partitioned are omitted.
func groups(e *route.Engine, servers []*fleet.Server) []*group {
	byDomain := map[domain.Name][]*fleet.Server{}
	lost := map[domain.Name]int{}
	for _, s := range servers {
		if s.Leaving || e.Accelerators[s.Accelerator].MemoryMB <= 0 {
			continue
		}
		if s.Lost() {
			lost[s.Domain]++
			continue
		}
		byDomain[s.Domain] = append(byDomain[s.Domain], s)
	}
	var names []domain.Name
	for name, list := range byDomain {
		all := len(list) + lost[name]
		if lost[name] > 1 && float64(lost[name]) > partitionShare*float64(all) {
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	var list []*group
	var small []*fleet.Server
	for _, name := range names {
		if totalMaxLayers(e, byDomain[name]) < e.Layers {
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

// totalMaxLayers returns how many layers the servers can hold together.
func totalMaxLayers(e *route.Engine, servers []*fleet.Server) int {
	sum := 0
	for _, s := range servers {
		sum += maxLayersOf(e, s)
	}
	return sum
}

// maxLayersOf returns the maximum number of layers that a server can hold.
func maxLayersOf(e *route.Engine, s *fleet.Server) int {
	return maxLayers(e, e.Accelerators[s.Accelerator].MemoryMB)
}

// maxLayers returns the maximum number of layers that fit into the given memory.
func maxLayers(e *route.Engine, memoryMB float64) int {
	return min(int(memoryMB*maxLayerFill/e.LayerMB), e.Layers)
}

// maxLayersWithCapacity returns the maximum number of layers that fit into the given
// memory and leave capacity for the given number of tokens.
func maxLayersWithCapacity(e *route.Engine, memoryMB, tokens float64) int {
	perLayer := e.LayerMB + tokens*e.TokenBytes/float64(e.Layers)/1e6
	return min(int(memoryMB/perLayer), maxLayers(e, memoryMB))
}

// capacity returns how many tokens of requests fit into a server that holds the given
// number of layers.
func capacity(e *route.Engine, s *fleet.Server, layers int) float64 {
	free := e.Accelerators[s.Accelerator].MemoryMB - float64(layers)*e.LayerMB
	perToken := float64(max(layers, 1)) * e.TokenBytes / float64(e.Layers) / 1e6
	return max(0, free) / max(perToken, 1e-9)
}

// plan changes the ranges step by step, and returns an assignment for each server
// whose range has changed in the end.
func (g *group) plan(conditions Conditions) []Assignment {
	complete := g.missing() == 0
	g.fill(complete && !g.hasLowCapacity(), conditions.JustStarted)
	g.closeGaps(conditions.Idle)
	g.closeGaps(func(string) bool { return true })
	if g.missing() > 0 {
		g.shift()
	}
	if g.stable(conditions) {
		g.relieve(conditions.Idle)
		g.trim()
		g.rebalance()
	}
	var assignments []Assignment
	for _, s := range g.servers {
		r, known := g.held[s.ID]
		if known && r.len() > 0 && (r.first != s.First || r.end != s.End) {
			a := Assignment{Server: s, First: r.first, End: r.end}
			if complete {
				a.Replicas = g.replicas(s, r)
			}
			assignments = append(assignments, a)
		}
	}
	return assignments
}

// stable reports whether all failure domains of the group are stable and no server of
// them is silent.
func (g *group) stable(conditions Conditions) bool {
	return !slices.ContainsFunc(g.servers, func(s *fleet.Server) bool { return s.Silent || !conditions.Stable(s.Domain) })
}

// replicas returns the other servers with replicas of the layers that a server gives
// up.
func (g *group) replicas(s *fleet.Server, r span) []*fleet.Server {
	var list []*fleet.Server
	given := spanOf(g.engine, s)
	for _, other := range g.servers {
		held := g.held[other.ID]
		for l := given.first; l < given.end && other != s; l++ {
			if (l < r.first || l >= r.end) && l >= held.first && l < held.end {
				list = append(list, other)
				break
			}
		}
	}
	return list
}

// fill assigns the most valuable layers to each empty server. With spare, the group
// can do without new servers for now, and those that have just started are skipped.
func (g *group) fill(spare bool, justStarted func(id string) bool) {
	for _, s := range g.servers {
		if s.LayerCount() > 0 || s.Silent || spare && justStarted(s.ID) {
			continue
		}
		n := g.targetLayers(s)
		if n <= 0 {
			continue
		}
		g.set(s, g.best(n))
	}
}
