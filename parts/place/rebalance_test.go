package place_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
)

// meanTokens is the size of a mean-sized request of engine.
const meanTokens = 772 + 174

// capacity returns how many mean-sized requests fit at once into the servers of a
// failure domain: as many as fit into the holders of the layer with the least
// capacity.
func capacity(list []*fleet.Server, dom domain.Name) float64 {
	e := engine()
	least := math.Inf(1)
	for l := range e.Layers {
		var tokens float64
		for _, s := range list {
			if s.Domain != dom || s.Leaving || s.Suspected || l < s.First || l >= s.End {
				continue
			}
			free := e.Accelerators[s.Accelerator].MemoryMB - float64(s.LayerCount())*e.LayerMB
			tokens += free * 1e6 / (e.TokenBytes / float64(e.Layers) * float64(s.LayerCount()))
		}
		least = min(least, tokens/meanTokens)
	}
	return least
}

// converge applies assignments until nothing is left to change.
func converge(t *testing.T, list []*fleet.Server, current place.Conditions) {
	t.Helper()
	for range 40 {
		assignments := place.Plan(engine(), list, current)
		if len(assignments) == 0 {
			return
		}
		apply(assignments)
	}
	t.Fatal("assignments do not converge")
}

// Guards against a failure domain that stays at a low capacity after a server failed
// and came back empty. Its neighbours took its layers on top of their own; if they
// keep them, the domain has capacity for 28 requests at once instead of 149, and most
// requests are refused while memory is free.
func TestCapacityRecoversAfterFailure(t *testing.T) {
	for _, failed := range threeDomains() {
		list := threeDomains()
		converge(t, list, stable)
		before := capacity(list, failed.Domain)
		s := find(list, failed.ID)
		s.Suspected = true
		apply(place.Plan(engine(), list, unstable))
		s.Leaving = true
		replacement := &fleet.Server{ID: "back", Domain: failed.Domain, Accelerator: failed.Accelerator}
		list = append(list, replacement)
		apply(place.Plan(engine(), list, unstable))
		reduced := capacity(list, failed.Domain)
		converge(t, list, stable)
		after := capacity(list, failed.Domain)
		qt.Check(t, after >= 0.8*before, qt.IsTrue, qt.Commentf("%s: capacity for %.0f requests, %.0f right after the failure, %.0f when stable", failed.ID, before, reduced, after))
	}
}

// Guards against leaving the layers of a lost server to its two neighbours alone: all
// servers of the domain take a share, so that its capacity stays even.
func TestLossIsSharedByAllServers(t *testing.T) {
	for _, failed := range threeDomains() {
		list := threeDomains()
		converge(t, list, stable)
		find(list, failed.ID).Leaving = true
		apply(place.Plan(engine(), list, unstable))
		reduced := capacity(list, failed.Domain)
		converge(t, list, stable)
		after := capacity(list, failed.Domain)
		qt.Check(t, after >= 60, qt.IsTrue, qt.Commentf("%s: capacity for %.0f requests right after the failure, %.0f when stable", failed.ID, reduced, after))
	}
}

// Guards against moving a layer to a neighbour whose memory is reserved for requests:
// its engine would preempt some of them in the middle of their responses.
func TestFullNeighbourTakesNoLayer(t *testing.T) {
	list := threeDomains()
	converge(t, list, stable)
	find(list, "b-l4-3").Leaving = true
	apply(place.Plan(engine(), list, unstable))
	full := stable
	full.Reserved = func(string) float64 { return math.Inf(1) }
	for range 5 {
		for _, a := range place.Plan(engine(), list, full) {
			grows := a.First < a.Server.First || a.End > a.Server.End
			qt.Assert(t, grows, qt.IsFalse, qt.Commentf("%s: %d to %d", a.Server.ID, a.First, a.End))
			apply([]place.Assignment{a})
		}
	}
}

// Guards against closing a gap with servers whose memory is reserved for requests:
// their engines would preempt some of them in the middle of their responses. The
// layers are taken once these requests have ended.
func TestGapWaitsForRequestsInFlight(t *testing.T) {
	list := threeDomains()
	converge(t, list, stable)
	find(list, "b-a100s-0").Leaving = true
	full := unstable
	e := engine()
	// The requests of each server take nine tenths of its capacity.
	held := map[string]float64{}
	for _, s := range list {
		free := e.Accelerators[s.Accelerator].MemoryMB - float64(s.LayerCount())*e.LayerMB
		held[s.ID] = 0.9 * free * 1e6 / (e.TokenBytes / float64(e.Layers))
	}
	full.Reserved = func(id string) float64 { return held[id] }
	for _, a := range place.Plan(e, list, full) {
		qt.Check(t, a.End-a.First <= a.Server.LayerCount(), qt.IsTrue, qt.Commentf("%s: %d to %d, held %d", a.Server.ID, a.First, a.End, a.Server.LayerCount()))
	}
	clear(held)
	apply(place.Plan(e, list, full))
	qt.Assert(t, covered(list, "b"), qt.IsTrue)
}
