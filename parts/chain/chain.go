// Package chain finds chains: backend servers that together run all layers of a
// model, each exactly once and in order.
//
// Boundaries lie between layers; boundary 0 is before the first layer. A server that
// holds the layers [first, end) can take over at any boundary within them and then
// runs all layers up to its end; this is a hop. A chain is a path of hops from
// boundary 0 to the last one. So servers whose ranges overlap can follow each other,
// and each layer still runs once.
package chain

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
)

// Last is the Next of a hop that runs the last layer.
const Last = -1

// Hop is the range of layers that one server of a chain runs.
type Hop struct {
	// Server is the index of the server in Graph.Servers.
	Server int
	// First and End bound the layers that it runs.
	First, End int
	// Next is the index in Graph.Hops of the boundary that it ends at, or Last.
	Next int
}

// Graph holds the hops of a pool, except those that no chain can use. It is immutable.
type Graph struct {
	// Layers is the number of layers of the model.
	Layers int
	// Servers are the servers of the pool that hold layers of the model.
	Servers []host.Host
	// Hops holds the hops by the boundary that they start at; Hops[0] starts at layer
	// 0.
	Hops [][]Hop
}

// New builds the graph of the given servers. It fails with NoCover, naming each range
// of layers that no server holds, if they do not cover the model.
func New(layers int, servers []host.Host) (*Graph, error) {
	g := &Graph{Layers: layers, Servers: usable(layers, servers)}
	if gaps := g.gaps(); len(gaps) > 0 || layers < 1 {
		return nil, &fault.Error{
			Code: fault.NoCover, Verdict: fault.NotRun,
			Message: "no server covers layers " + strings.Join(gaps, " and "),
		}
	}
	// Without a gap, some server takes over at every reachable boundary.
	boundaries := g.reachable()
	index := map[int]int{layers: Last}
	for i, at := range boundaries {
		index[at] = i
	}
	g.Hops = make([][]Hop, len(boundaries))
	for i, at := range boundaries {
		for n, s := range g.Servers {
			if s.First <= at && at < s.End {
				g.Hops[i] = append(g.Hops[i], Hop{Server: n, First: at, End: s.End, Next: index[s.End]})
			}
		}
	}
	return g, nil
}

// usable returns the servers that hold layers of the model, with their ranges limited
// to it.
func usable(layers int, servers []host.Host) []host.Host {
	var clipped []host.Host
	for _, s := range servers {
		s.End = min(s.End, layers)
		if s.First >= 0 && s.First < s.End {
			clipped = append(clipped, s)
		}
	}
	return clipped
}

// reachable returns the boundaries that chains of hops from layer 0 reach, in order
// and without the last one.
func (g *Graph) reachable() []int {
	found := map[int]bool{0: true}
	for at := range g.Layers {
		if !found[at] {
			continue
		}
		for _, s := range g.Servers {
			if s.First <= at && at < s.End {
				found[s.End] = true
			}
		}
	}
	delete(found, g.Layers)
	return slices.Sorted(maps.Keys(found))
}

// gaps returns the ranges of layers that no server holds.
func (g *Graph) gaps() []string {
	byFirst := slices.Clone(g.Servers)
	slices.SortFunc(byFirst, func(a, b host.Host) int { return a.First - b.First })
	var gaps []string
	at := 0
	for _, s := range byFirst {
		if s.First > at {
			gaps = append(gaps, fmt.Sprintf("%d to %d", at, s.First))
		}
		at = max(at, s.End)
	}
	if at < g.Layers {
		gaps = append(gaps, fmt.Sprintf("%d to %d", at, g.Layers))
	}
	return gaps
}

// Stage returns the engine's stage for a hop.
func (g *Graph) Stage(h Hop) engine.Stage {
	s := &g.Servers[h.Server]
	return engine.Stage{Server: s.Name, Address: s.Address, First: h.First, End: h.End}
}
