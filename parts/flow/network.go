package flow

import "math"

// network is a flow network whose source is node 0.
type network struct {
	sink  int
	edges []edge
	// out lists the edges that leave each node, by their index. Edge i^1 is
	// the reverse of edge i.
	out [][]int
	// servers and links give the edges of the pool's servers and links.
	servers []int
	links   map[int]int
}

// edge is an edge and what it can still carry.
type edge struct {
	from, to int
	left     float64
}

// add adds an edge and its reverse, and returns the index of the edge.
func (n *network) add(from, to int, capacity float64) int {
	at := len(n.edges)
	n.edges = append(n.edges, edge{from, to, capacity}, edge{to, from, 0})
	n.out[from] = append(n.out[from], at)
	n.out[to] = append(n.out[to], at+1)
	return at
}

// maximum pushes flow along shortest paths until there is none (Edmonds and
// Karp), and returns the sum.
func (n *network) maximum() float64 {
	total := 0.0
	for {
		into := n.search()
		if into[n.sink] < 0 {
			return total
		}
		total += n.push(into)
	}
}

// none marks a node that was not reached.
const none = -1

// search walks from the source over edges that can carry more, breadth
// first. It returns the edge that each node was reached by.
func (n *network) search() []int {
	into := make([]int, len(n.out))
	for i := range into {
		into[i] = none
	}
	queue := []int{0}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, i := range n.out[at] {
			e := n.edges[i]
			if e.left > 0 && e.to != 0 && into[e.to] == none {
				into[e.to] = i
				queue = append(queue, e.to)
			}
		}
	}
	return into
}

// push sends as much as the found path carries.
func (n *network) push(into []int) float64 {
	most := math.Inf(1)
	for at := n.sink; at != 0; at = n.edges[into[at]].from {
		most = min(most, n.edges[into[at]].left)
	}
	for at := n.sink; at != 0; at = n.edges[into[at]].from {
		n.edges[into[at]].left -= most
		n.edges[into[at]^1].left += most
	}
	return most
}

// reach returns the nodes on the source's side of the minimum cut.
func (n *network) reach() []bool {
	near := make([]bool, len(n.out))
	for at, i := range n.search() {
		near[at] = at == 0 || i != none
	}
	return near
}
