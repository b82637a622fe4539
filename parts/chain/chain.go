// Package chain finds chains: backend servers that together run all layers
// of a model, in order, with no layer missing or doubled.
//
// A server that holds the layers [first, end) is an edge from boundary first
// to boundary end; a chain is a path from boundary 0 to the number of layers.
package chain

import (
	"fmt"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
)

// Graph holds the usable servers of a pool by the boundary that they start
// at, without those that no chain can use.
type Graph struct {
	// Layers is the number of layers of the model.
	Layers int
	// From holds the servers that start at each boundary.
	From map[int][]host.Host
}

// Make builds the graph of the given servers. It fails with NoCover, naming
// the first layers that no chain reaches, if they do not cover the model.
func Make(layers int, servers []host.Host) (*Graph, error) {
	ends := map[int]bool{layers: true}
	byEnd := map[int][]host.Host{}
	for _, s := range servers {
		byEnd[s.End] = append(byEnd[s.End], s)
	}
	// Walk back from the last layer, so that every edge kept leads there.
	g := &Graph{Layers: layers, From: map[int][]host.Host{}}
	for at := layers; at > 0; at-- {
		if !ends[at] {
			continue
		}
		for _, s := range byEnd[at] {
			g.From[s.First] = append(g.From[s.First], s)
			ends[s.First] = true
		}
	}
	if len(g.From[0]) == 0 {
		first, end := missing(layers, servers)
		return nil, &fault.Error{
			Code: fault.NoCover, Verdict: fault.NotRun,
			Message: fmt.Sprintf("no server covers layers %d to %d", first, end),
		}
	}
	return g, nil
}

// missing returns the first range that a walk from layer 0 cannot pass.
func missing(layers int, servers []host.Host) (first, end int) {
	reached := map[int]bool{0: true}
	for at := range layers {
		if !reached[at] {
			continue
		}
		first = at
		for _, s := range servers {
			if s.First == at {
				reached[s.End] = true
			}
		}
	}
	end = layers
	for _, s := range servers {
		if s.First > first && s.First < end {
			end = s.First
		}
	}
	return first, end
}

// Stage returns the stage that a whole server makes.
func Stage(h host.Host) engine.Stage {
	return engine.Stage{Server: h.Name, Address: h.Address, First: h.First, End: h.End}
}
