package place_test

import (
	"fmt"
	"testing"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
)

// Measures the largest decision, three failure domains of 1,000 empty servers each,
// which the leader makes five times a second: 11 ms with ranges counted by their
// boundaries, 1,671 ms with a search through all ranges.
func BenchmarkPlanEmptyServers(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		list := emptyServers(1000)
		b.StartTimer()
		place.Plan(engine(), list, stable)
	}
}

// Measures the regular decision, in which nothing changes: 3 ms for the same servers
// when all layers are held.
func BenchmarkPlanSteadyState(b *testing.B) {
	list := emptyServers(1000)
	apply(place.Plan(engine(), list, stable))
	for b.Loop() {
		place.Plan(engine(), list, stable)
	}
}

func emptyServers(perDomain int) []*fleet.Server {
	accelerators := []string{"h100", "a100s", "l4", "t4", "l4", "t4", "l4", "t4", "l4", "t4"}
	var list []*fleet.Server
	for _, dom := range []domain.Name{"a", "b", "c"} {
		for i := range perDomain {
			list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%04d", dom, i), Domain: dom, Accelerator: accelerators[i%len(accelerators)]})
		}
	}
	return list
}

// Measures the standalone capacities of the same domains, which each entry host computes
// twice a second.
func BenchmarkStandalone(b *testing.B) {
	list := emptyServers(1000)
	apply(place.Plan(engine(), list, stable))
	for b.Loop() {
		place.Standalone(engine(), list)
	}
}

// Measures the same decision while a search for a move for capacity is allowed, which is at
// most once a second: all domains lack capacity.
func BenchmarkPlanForRoom(b *testing.B) {
	list := emptyServers(1000)
	apply(place.Plan(engine(), list, stable))
	c := conditions(true, func(string) bool { return false })
	c.AloneShare, c.Demand = 0.1, map[domain.Name]place.Demand{}
	for name, capacity := range place.Standalone(engine(), list) {
		c.Demand[name] = place.Demand{Mean: 1.5 * capacity, Max: 2 * capacity}
	}
	c.Movable = func(*fleet.Server) bool { return true }
	for b.Loop() {
		place.Plan(engine(), list, c)
	}
}
