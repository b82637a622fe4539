package router

import (
	"math"
	"slices"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
)

// label is the cheapest known path to a state: its cost, and its last stage as the
// server, the boundary where the stage starts, and the failure domain of the server
// before it.
type label struct {
	cost       float64
	server     *fleet.Server
	first      int
	prevDomain int
}

// search finds the shortest path by relaxing the states in the order of their
// boundaries. A state is a boundary and the failure domain of the server that ran the
// layers before it. With toEnd, each server runs up to the end of its range.
func (q *Query) search(toEnd bool) Chain {
	layers := q.Engine.Layers
	domains, index := q.domains()
	best := make([][]label, layers+1)
	for i := range best {
		best[i] = make([]label, len(domains))
		for d := range best[i] {
			best[i][d].cost = math.Inf(1)
		}
	}
	candidates := q.candidates(index)
	boundaries := q.boundaries()
	start := 0
	if q.FixedFirst != nil {
		start = q.FixedFirst.End
		best[start][index[q.FixedFirst.Server.Domain]].cost = 0
	} else {
		for d, name := range domains {
			best[0][d].cost = 0
			if name != q.LocalDomain {
				best[0][d].cost = q.remoteStartCost(name)
			}
		}
	}
	for at := start; at < layers; at++ {
		for d := range domains {
			if math.IsInf(best[at][d].cost, 1) {
				continue
			}
			for _, c := range candidates {
				if c.server.First > at || c.server.End <= at || at == 0 && c.noStart {
					continue
				}
				q.relax(best, domains, boundaries, c, at, d, toEnd)
			}
		}
	}
	return q.backtrack(best, start)
}

// relax updates the states that can be reached from one state by running layers on the
// server c.
func (q *Query) relax(best [][]label, domains []domain.Name, boundaries []int, c candidate, at, prevDomain int, toEnd bool) {
	cost := best[at][prevDomain].cost + q.hopCost()
	if c.domain != prevDomain {
		if at == 0 || q.SingleDomain || q.Partitioned != nil && q.Partitioned(domains[prevDomain], c.server.Domain) {
			return
		}
		cost += q.crossingCost()
	}
	end := min(c.server.End, q.Engine.Layers)
	for _, e := range boundaries {
		if e <= at || e > end || toEnd && e != end {
			continue
		}
		total := cost + q.stageCost(c, at, e)
		if at == 0 {
			total += c.delay
		}
		if total < best[e][c.domain].cost {
			best[e][c.domain] = label{cost: total, server: c.server, first: at, prevDomain: prevDomain}
		}
	}
}

// backtrack returns the chain of the cheapest path to the last boundary, by following
// its labels back to the start.
func (q *Query) backtrack(best [][]label, start int) Chain {
	at, d := q.Engine.Layers, 0
	for i := range best[at] {
		if best[at][i].cost < best[at][d].cost {
			d = i
		}
	}
	if len(best[at]) == 0 || math.IsInf(best[at][d].cost, 1) {
		return nil
	}
	var chain Chain
	for at > start {
		l := best[at][d]
		chain = append(chain, Stage{Server: l.server, First: l.first, End: at})
		at, d = l.first, l.prevDomain
	}
	if q.FixedFirst != nil {
		chain = append(chain, *q.FixedFirst)
	}
	slices.Reverse(chain)
	return chain
}

// domains returns the failure domains of the servers, and the index of each.
func (q *Query) domains() ([]domain.Name, map[domain.Name]int) {
	var names []domain.Name
	index := map[domain.Name]int{}
	add := func(name domain.Name) {
		if _, known := index[name]; !known {
			index[name] = len(names)
			names = append(names, name)
		}
	}
	for _, s := range q.Servers {
		add(s.Domain)
	}
	if q.FixedFirst != nil {
		add(q.FixedFirst.Server.Domain)
	}
	return names, index
}

// boundaries returns, in order, the boundaries at which one server can take over from
// another.
func (q *Query) boundaries() []int {
	list := []int{q.Engine.Layers}
	for _, s := range q.Servers {
		list = append(list, s.First, min(s.End, q.Engine.Layers))
	}
	for _, stage := range q.Cached {
		list = append(list, stage.First, stage.End)
	}
	slices.Sort(list)
	return slices.Compact(list)
}
