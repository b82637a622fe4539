//go:build !race

package roster_test

// sizes are numbers of hosts.
var sizes = []int{4, 33, 143, 986}
