package place_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
)

// usualTokens is the size of a usual request of the engine of these tests.
const usualTokens = 772 + 174

// capacity returns how many usual requests fit at once into the servers of a
// failure domain: as many as into the holders of its most crowded layer.
func capacity(list []*fleet.Server, in domain.Name) float64 {
	e := engine()
	least := math.Inf(1)
	for l := range e.Layers {
		var tokens float64
		for _, s := range list {
			if s.Domain != in || s.Leaving || s.Suspected || l < s.First || l >= s.End {
				continue
			}
			free := e.Accelerators[s.Accelerator].MemoryMB - float64(s.LayerCount())*e.LayerMB
			tokens += free * 1e6 / (e.TokenBytes / float64(e.Layers) * float64(s.LayerCount()))
		}
		least = min(least, tokens/usualTokens)
	}
	return least
}

// settle carries out what is decided in calm until nothing is left to do.
func settle(t *testing.T, list []*fleet.Server, now place.Conditions) {
	t.Helper()
	for range 40 {
		orders := place.Plan(engine(), list, now)
		if len(orders) == 0 {
			return
		}
		carry(orders)
	}
	t.Fatal("placing does not come to rest")
}

// A server dies, its neighbours take its layers on top of their own, and it
// comes back empty some seconds later. The neighbours keep what they took, and
// the domain has room for 28 requests at once where it had 149: most callers
// are refused for the rest of the day beside memory that stands empty.
func TestRoomIsLevelAgainAfterADeath(t *testing.T) {
	for _, dead := range today() {
		list := today()
		settle(t, list, calm)
		before := capacity(list, dead.Domain)
		s := find(list, dead.ID)
		s.Suspected = true
		carry(place.Plan(engine(), list, stir))
		s.Leaving = true
		back := &fleet.Server{ID: "back", Domain: dead.Domain, Accelerator: dead.Accelerator}
		list = append(list, back)
		carry(place.Plan(engine(), list, stir))
		taken := capacity(list, dead.Domain)
		settle(t, list, calm)
		after := capacity(list, dead.Domain)
		qt.Check(t, after >= 0.8*before, qt.IsTrue, qt.Commentf("%s: room for %.0f requests, %.0f right after, %.0f in calm", dead.ID, before, taken, after))
	}
}

// A server is gone for good. What is left of its domain holds all layers with
// less room, but evenly: the layers of the dead one are shared out beyond its
// two neighbours.
func TestLossIsSharedOut(t *testing.T) {
	for _, dead := range today() {
		list := today()
		settle(t, list, calm)
		find(list, dead.ID).Leaving = true
		carry(place.Plan(engine(), list, stir))
		taken := capacity(list, dead.Domain)
		settle(t, list, calm)
		after := capacity(list, dead.Domain)
		qt.Check(t, after >= 60, qt.IsTrue, qt.Commentf("%s: room for %.0f requests right after, %.0f in calm", dead.ID, taken, after))
	}
}

// The neighbour of a crowded server is full of requests itself. With a layer
// more it would throw some of them out in the midst of their answers.
func TestFullNeighbourTakesNoLayer(t *testing.T) {
	list := today()
	settle(t, list, calm)
	find(list, "b-l4-3").Leaving = true
	carry(place.Plan(engine(), list, stir))
	full := calm
	full.Reserved = func(string) float64 { return math.Inf(1) }
	for range 5 {
		for _, o := range place.Plan(engine(), list, full) {
			grows := o.First < o.Server.First || o.End > o.Server.End
			qt.Assert(t, grows, qt.IsFalse, qt.Commentf("%s: %d to %d", o.Server.ID, o.First, o.End))
			carry([]place.Assignment{o})
		}
	}
}

// A server dies while its neighbours are full of requests. If they took its
// layers at once the engines would throw out some of those, in the midst of
// their answers; as these end, the layers are taken.
func TestGapWaitsForRequestsUnderWay(t *testing.T) {
	list := today()
	settle(t, list, calm)
	find(list, "b-a100s-0").Leaving = true
	full := stir
	e := engine()
	// Each server's requests take nine tenths of its room.
	held := map[string]float64{}
	for _, s := range list {
		free := e.Accelerators[s.Accelerator].MemoryMB - float64(s.LayerCount())*e.LayerMB
		held[s.ID] = 0.9 * free * 1e6 / (e.TokenBytes / float64(e.Layers))
	}
	full.Reserved = func(id string) float64 { return held[id] }
	for _, o := range place.Plan(e, list, full) {
		qt.Check(t, o.End-o.First <= o.Server.LayerCount(), qt.IsTrue, qt.Commentf("%s: %d to %d, held %d", o.Server.ID, o.First, o.End, o.Server.LayerCount()))
	}
	clear(held)
	carry(place.Plan(e, list, full))
	qt.Assert(t, covered(list, "b"), qt.IsTrue)
}
