package router

import (
	"math"
	"slices"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
)

// step is the way by which a boundary is reached.
type step struct {
	cost   float64
	server *fleet.Server
	from   int
	prev   int
}

// search walks the boundaries in order. A state is a boundary and the server
// that ran the layers before it, kept only as its failure domain.
func (q *Query) search(whole bool) Chain {
	layers := q.Engine.Layers
	domains, index := q.domains()
	best := make([][]step, layers+1)
	for i := range best {
		best[i] = make([]step, len(domains))
		for d := range best[i] {
			best[i][d].cost = math.Inf(1)
		}
	}
	offers := q.offers(index)
	ends := q.ends()
	start := 0
	if q.FixedFirst != nil {
		start = q.FixedFirst.End
		best[start][index[q.FixedFirst.Server.Domain]].cost = 0
	} else {
		for d, name := range domains {
			best[0][d].cost = 0
			if name != q.LocalDomain {
				best[0][d].cost = awaySeconds
			}
		}
	}
	for at := start; at < layers; at++ {
		for d := range domains {
			if math.IsInf(best[at][d].cost, 1) {
				continue
			}
			for _, o := range offers {
				if o.server.First > at || o.server.End <= at || at == 0 && o.occupied {
					continue
				}
				q.extend(best, domains, ends, o, at, d, whole)
			}
		}
	}
	return q.trace(best, start)
}

// extend relaxes the boundaries that a server reaches from one state.
func (q *Query) extend(best [][]step, domains []domain.Name, ends []int, o offer, at, from int, whole bool) {
	cost := best[at][from].cost + q.hop()
	if o.domain != from {
		if at == 0 || q.SingleDomain || q.Partitioned != nil && q.Partitioned(domains[from], o.server.Domain) {
			return
		}
		cost += q.crossing()
	}
	end := min(o.server.End, q.Engine.Layers)
	for _, e := range ends {
		if e <= at || e > end || whole && e != end {
			continue
		}
		total := cost + q.layersCost(o, at, e)
		if at == 0 {
			total += o.delay
		}
		if total < best[e][o.domain].cost {
			best[e][o.domain] = step{cost: total, server: o.server, from: at, prev: from}
		}
	}
}

// trace follows the cheapest way back from the last layer.
func (q *Query) trace(best [][]step, start int) Chain {
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
		s := best[at][d]
		chain = append(chain, Stage{Server: s.server, First: s.from, End: at})
		at, d = s.from, s.prev
	}
	if q.FixedFirst != nil {
		chain = append(chain, *q.FixedFirst)
	}
	slices.Reverse(chain)
	return chain
}

// domains lists the failure domains of the servers, and where each stands.
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

// ends lists the boundaries at which one server may follow another.
func (q *Query) ends() []int {
	list := []int{q.Engine.Layers}
	for _, s := range q.Servers {
		list = append(list, s.First, min(s.End, q.Engine.Layers))
	}
	for _, p := range q.Cached {
		list = append(list, p.First, p.End)
	}
	slices.Sort(list)
	return slices.Compact(list)
}
