package place_test

import (
	"fmt"
	"testing"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
)

// Three failure domains of 1,000 servers each, all of which start empty: the
// largest decision there is, of which the entry host that places makes five a
// second: 1,671 ms before ranges were counted by their boundaries, 11 ms after.
func BenchmarkDecideAtStart(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		list := fleetOf(1000)
		b.StartTimer()
		place.Plan(engine(), list, calm)
	}
}

// The same fleet when all is held: what is decided anew all day, 3 ms.
func BenchmarkDecideAtRest(b *testing.B) {
	list := fleetOf(1000)
	carry(place.Plan(engine(), list, calm))
	for b.Loop() {
		place.Plan(engine(), list, calm)
	}
}

func fleetOf(each int) []*fleet.Server {
	cards := []string{"h100", "a100s", "l4", "t4", "l4", "t4", "l4", "t4", "l4", "t4"}
	var list []*fleet.Server
	for _, in := range []domain.Name{"a", "b", "c"} {
		for i := range each {
			list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%04d", in, i), Domain: in, Accelerator: cards[i%len(cards)]})
		}
	}
	return list
}
