//go:build race

package roster_test

// sizes are numbers of hosts. The race detector makes a simulation of a whole fleet take
// minutes.
var sizes = []int{4, 33, 143}
