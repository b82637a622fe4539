// Package flow computes how many tokens a second the hardware of a pool can
// carry at most.
//
// A token passes one server for each layer range and the links between them,
// so a pool is a network from layer boundary 0 to the last one: a server that
// holds [first, end) is an edge between these boundaries with its rate as
// capacity, and a link of limited rate is an edge between two servers. What
// the pool can carry is the maximum flow. The minimum cut names the servers
// and links that bind, which is where more hardware would help.
package flow

import (
	"math"
	"slices"
)

// Server is a server with the rate that it can run its layers at.
type Server struct {
	Name string
	// First and End bound the layers that it holds.
	First, End int
	// Rate is in tokens per second.
	Rate float64
}

// Link is a directed link between two servers that limits the rate. Links
// that are not listed are wide enough for all that their servers can run.
type Link struct {
	From, To string
	// Rate is in tokens per second.
	Rate float64
}

// Pool is the hardware of a pool.
type Pool struct {
	Layers  int
	Servers []Server
	Links   []Link
}

// Capacity is what a pool can carry.
type Capacity struct {
	// Rate is the maximum flow, in tokens per second.
	Rate float64
	// Servers and Links are those that bind: with any less of them, the rate
	// would be less. Both are sorted.
	Servers []string
	Links   []Link
}

// Capacity returns what the pool can carry. It is zero for a pool whose servers
// do not cover all layers.
func (p *Pool) Capacity() Capacity {
	n := p.network()
	b := Capacity{Rate: n.maximum()}
	near := n.reach()
	for i, s := range p.Servers {
		e := n.edges[n.servers[i]]
		if near[e.from] && !near[e.to] {
			b.Servers = append(b.Servers, s.Name)
		}
	}
	for i, l := range p.Links {
		at, used := n.links[i]
		if used && near[n.edges[at].from] && !near[n.edges[at].to] {
			b.Links = append(b.Links, l)
		}
	}
	slices.Sort(b.Servers)
	return b
}

// network builds the graph. Nodes are the boundaries, then each server's
// entry and exit. Between an exit and an entry lies the boundary node, or,
// where a link of that boundary is limited, one edge for each pair of servers.
func (p *Pool) network() *network {
	n := &network{links: map[int]int{}, sink: p.Layers}
	entry := func(i int) int { return p.Layers + 1 + 2*i }
	n.out = make([][]int, p.Layers+1+2*len(p.Servers))
	byName := map[string]int{}
	for i, s := range p.Servers {
		byName[s.Name] = i
		n.servers = append(n.servers, n.add(entry(i), entry(i)+1, s.Rate))
	}
	limited := p.limited(byName)
	for i, s := range p.Servers {
		if !limited[s.First] {
			n.add(s.First, entry(i), math.Inf(1))
		}
		if !limited[s.End] {
			n.add(entry(i)+1, s.End, math.Inf(1))
		}
	}
	p.pairs(n, limited, entry)
	return n
}

// limited returns the boundaries at which a link is limited.
func (p *Pool) limited(byName map[string]int) map[int]bool {
	set := map[int]bool{}
	for _, l := range p.Links {
		from, known := byName[l.From]
		to, both := byName[l.To]
		if known && both && p.Servers[from].End == p.Servers[to].First {
			set[p.Servers[from].End] = true
		}
	}
	return set
}

// pairs adds an edge for each pair of servers that meet at a limited
// boundary.
func (p *Pool) pairs(n *network, limited map[int]bool, entry func(int) int) {
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
			edge := n.add(entry(i)+1, entry(j), rate)
			if listed {
				n.links[at] = edge
			}
		}
	}
}
