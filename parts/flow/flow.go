// Package flow computes the maximum rate of tokens that the hardware of a pool
// can sustain.
//
// A token passes one server for each layer range, and the links between these
// servers. So a pool is a flow network from layer boundary 0 to the last one:
// a server that holds the layers [first, end) is an edge between these
// boundaries with its rate as capacity, and a link of limited rate is an edge
// between two servers. The rate of the pool is the maximum flow. The minimum
// cut consists of the servers and links that limit it, which is where more
// hardware would help.
package flow

import (
	"math"
	"slices"
)

// Server is a backend server with the rate at which it can run its layers.
type Server struct {
	Name string
	// First and End bound the layers that it holds: [First, End).
	First, End int
	// Rate is the maximum rate in tokens per second.
	Rate float64
}

// Link is a directed link of limited rate between two servers. Links that are
// not listed can carry all the tokens that their servers can run.
type Link struct {
	From, To string
	// Rate is the maximum rate in tokens per second.
	Rate float64
}

// Pool is the hardware of a pool.
type Pool struct {
	Layers  int
	Servers []Server
	Links   []Link
}

// Capacity is the maximum rate of a pool, with the servers and links that limit
// it.
type Capacity struct {
	// Rate is the maximum flow, in tokens per second.
	Rate float64
	// Servers and Links form the minimum cut: if any of them were slower, Rate
	// would be lower. Servers are sorted, Links in the order of the pool.
	Servers []string
	Links   []Link
}

// Capacity returns the capacity of the pool. It is zero for a pool whose
// servers do not cover all layers.
func (p *Pool) Capacity() Capacity {
	n := p.network()
	c := Capacity{Rate: n.maxFlow()}
	sourceSide := n.sourceSide()
	for i, s := range p.Servers {
		e := n.edges[n.servers[i]]
		if sourceSide[e.from] && !sourceSide[e.to] {
			c.Servers = append(c.Servers, s.Name)
		}
	}
	for i, l := range p.Links {
		at, used := n.links[i]
		if used && sourceSide[n.edges[at].from] && !sourceSide[n.edges[at].to] {
			c.Links = append(c.Links, l)
		}
	}
	slices.Sort(c.Servers)
	return c
}

// network builds the flow network. Its nodes are the layer boundaries, then the
// entry and exit of each server. An exit and an entry are connected through the
// node of their boundary or, where a link at that boundary is limited, by one
// edge for each pair of servers.
func (p *Pool) network() *network {
	n := &network{links: map[int]int{}, sink: p.Layers}
	entry := func(i int) int { return p.Layers + 1 + 2*i }
	n.adjacent = make([][]int, p.Layers+1+2*len(p.Servers))
	byName := map[string]int{}
	for i, s := range p.Servers {
		byName[s.Name] = i
		n.servers = append(n.servers, n.addEdge(entry(i), entry(i)+1, s.Rate))
	}
	limited := p.limitedBoundaries(byName)
	for i, s := range p.Servers {
		if !limited[s.First] {
			n.addEdge(s.First, entry(i), math.Inf(1))
		}
		if !limited[s.End] {
			n.addEdge(entry(i)+1, s.End, math.Inf(1))
		}
	}
	p.addPairs(n, limited, entry)
	return n
}

// limitedBoundaries returns the boundaries at which a link is limited.
func (p *Pool) limitedBoundaries(byName map[string]int) map[int]bool {
	limited := map[int]bool{}
	for _, l := range p.Links {
		from, known := byName[l.From]
		to, both := byName[l.To]
		if known && both && p.Servers[from].End == p.Servers[to].First {
			limited[p.Servers[from].End] = true
		}
	}
	return limited
}

// addPairs adds an edge for each pair of servers that meet at a limited
// boundary.
func (p *Pool) addPairs(n *network, limited map[int]bool, entry func(int) int) {
	index := map[[2]string]int{}
	for i, l := range p.Links {
		index[[2]string{l.From, l.To}] = i
	}
	for i, from := range p.Servers {
		if !limited[from.End] {
			continue
		}
		for j, to := range p.Servers {
			if to.First != from.End {
				continue
			}
			rate := math.Inf(1)
			at, listed := index[[2]string{from.Name, to.Name}]
			if listed {
				rate = p.Links[at].Rate
			}
			edge := n.addEdge(entry(i)+1, entry(j), rate)
			if listed {
				n.links[at] = edge
			}
		}
	}
}
