package flow

import "math"

// network is a flow network with node 0 as its source.
type network struct {
	sink  int
	edges []edge
	// adjacent lists the edges that leave each node, by index. Edge i^1 is the
	// reverse of edge i.
	adjacent [][]int
	// servers holds the index of the edge of each server of the pool, and
	// links that of each link, by its index in the pool.
	servers []int
	links   map[int]int
}

// edge is a directed edge with its residual capacity.
type edge struct {
	from, to int
	residual float64
}

// addEdge adds an edge and its reverse, and returns the index of the edge.
func (n *network) addEdge(from, to int, capacity float64) int {
	at := len(n.edges)
	n.edges = append(n.edges, edge{from, to, capacity}, edge{to, from, 0})
	n.adjacent[from] = append(n.adjacent[from], at)
	n.adjacent[to] = append(n.adjacent[to], at+1)
	return at
}

// maxFlow returns the maximum flow. It augments along shortest paths until
// there is none (Edmonds-Karp).
func (n *network) maxFlow() float64 {
	total := 0.0
	for {
		via := n.bfs()
		if via[n.sink] < 0 {
			return total
		}
		total += n.augment(via)
	}
}

// unreached marks a node that was not reached.
const unreached = -1

// bfs searches from the source, breadth first, over edges with residual
// capacity. It returns the edge by which each node was reached.
func (n *network) bfs() []int {
	via := make([]int, len(n.adjacent))
	for i := range via {
		via[i] = unreached
	}
	queue := []int{0}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, i := range n.adjacent[at] {
			e := n.edges[i]
			if e.residual > 0 && e.to != 0 && via[e.to] == unreached {
				via[e.to] = i
				queue = append(queue, e.to)
			}
		}
	}
	return via
}

// augment sends as much flow as possible along a path given by bfs, and
// returns the amount.
func (n *network) augment(via []int) float64 {
	bottleneck := math.Inf(1)
	for at := n.sink; at != 0; at = n.edges[via[at]].from {
		bottleneck = min(bottleneck, n.edges[via[at]].residual)
	}
	for at := n.sink; at != 0; at = n.edges[via[at]].from {
		n.edges[via[at]].residual -= bottleneck
		n.edges[via[at]^1].residual += bottleneck
	}
	return bottleneck
}

// sourceSide returns the nodes on the source's side of the minimum cut.
func (n *network) sourceSide() []bool {
	reached := make([]bool, len(n.adjacent))
	for at, i := range n.bfs() {
		reached[at] = at == 0 || i != unreached
	}
	return reached
}
