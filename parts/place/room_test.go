package place_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
)

// addServers adds servers to a list.
func addServers(list []*fleet.Server, dom domain.Name, counts map[string]int) []*fleet.Server {
	for _, accelerator := range slices.Sorted(maps.Keys(counts)) {
		for i := range counts[accelerator] {
			list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%s-%d", dom, accelerator, i), Domain: dom, Accelerator: accelerator})
		}
	}
	return list
}

// unevenDomains returns the servers of three failure domains that hold the model several
// times and have different numbers of each accelerator.
func unevenDomains() []*fleet.Server {
	list := addServers(nil, "a", map[string]int{"h100": 4, "a100s": 2, "l4": 6, "t4": 19})
	list = addServers(list, "b", map[string]int{"h100": 2, "a100s": 4, "l4": 9, "t4": 16})
	return addServers(list, "c", map[string]int{"h100": 2, "a100s": 2, "l4": 15, "t4": 12})
}

// roomSim is a fleet whose demand comes in waves, placed as entry/placer does.
type roomSim struct {
	servers []*fleet.Server
	// loading is until when a server loads layers, and before what it held before.
	loading map[string]time.Duration
	before  map[string][2]int
	moved   map[string]time.Duration
	last    map[domain.Name]time.Duration
	moves   int
}

const (
	simStep = 500 * time.Millisecond
	simCut  = 30 * time.Second
	simEnd  = 64 * time.Second
)

// waveAt returns the demand of a failure domain: waves of 55% whose phases differ.
func waveAt(mean float64, dom domain.Name, now time.Duration) float64 {
	phase := float64(dom[0]-'a') * 2 * math.Pi / 3
	return mean * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/17+phase))
}

// run returns the tokens that a failure domain serves on its own once it is cut off.
func (s *roomSim) run(t *testing.T, cut domain.Name, mean, aloneShare float64, idle bool) (served float64) {
	e := engine()
	converge(t, s.servers, stable)
	s.loading, s.before, s.moved, s.last = map[string]time.Duration{}, map[string][2]int{}, map[string]time.Duration{}, map[domain.Name]time.Duration{}
	for now := time.Duration(0); now < simEnd; now += simStep {
		c := conditions(true, func(string) bool { return idle })
		busy := map[domain.Name]bool{}
		for _, server := range s.servers {
			if until, loads := s.loading[server.ID]; loads && now < until {
				busy[server.Domain] = true
			}
		}
		c.Stable = func(d domain.Name) bool { return !busy[d] }
		if now >= 3*time.Second && now < simCut {
			c.AloneShare, c.Demand = aloneShare, map[domain.Name]place.Demand{}
			for _, d := range []domain.Name{"a", "b", "c"} {
				c.Demand[d] = place.Demand{Mean: mean, Max: mean * 1.55}
			}
			c.Movable = func(server *fleet.Server) bool {
				at, moved := s.moved[server.ID]
				last, any := s.last[server.Domain]
				return (!moved || now-at >= 10*time.Second) && (!any || now-last >= 2*time.Second)
			}
		}
		for _, a := range place.Plan(e, s.servers, c) {
			qt.Check(t, a.Room, qt.IsNotNil)
			s.moves++
			s.moved[a.Server.ID], s.last[a.Server.Domain] = now, now
			s.loading[a.Server.ID] = now + e.Load*time.Duration(a.End-a.First)/time.Duration(e.Layers)
			s.before[a.Server.ID] = [2]int{a.Server.First, a.Server.End}
			a.Server.First, a.Server.End = a.First, a.End
		}
		if now >= simCut {
			served += min(waveAt(mean, cut, now), place.Standalone(e, s.held(now))[cut]) * simStep.Seconds()
		}
	}
	return served
}

// held returns the servers with what they hold now: those that load keep what they held and
// will hold.
func (s *roomSim) held(now time.Duration) []*fleet.Server {
	list := make([]*fleet.Server, 0, len(s.servers))
	for _, server := range s.servers {
		held := *server
		if before := s.before[server.ID]; now < s.loading[server.ID] {
			held.First, held.End = max(held.First, before[0]), min(held.End, before[1])
			held.End = max(held.First, held.End)
		}
		list = append(list, &held)
	}
	return list
}

// Guards against a failure domain that serves less on its own than its servers could, since
// some layers have less capacity than others, and against servers that are moved again and
// again for that.
func TestDomainServesMoreOnItsOwn(t *testing.T) {
	mean := 0.0
	list := unevenDomains()
	converge(t, list, stable)
	for _, capacity := range place.Standalone(engine(), list) {
		mean += capacity / 3
	}
	for _, idle := range []bool{true, false} {
		var before, after float64
		for _, cut := range []domain.Name{"a", "b", "c"} {
			plain, moved := &roomSim{servers: unevenDomains()}, &roomSim{servers: unevenDomains()}
			was, is := plain.run(t, cut, mean, 0, idle), moved.run(t, cut, mean, 0.1, idle)
			t.Logf("idle %t, %s cut off for 34 s: %.0f tokens asked for, %.0f served without moves, %.0f with %d moves", idle, cut, mean*34, was, is, moved.moves)
			qt.Check(t, plain.moves, qt.Equals, 0)
			qt.Check(t, moved.moves <= 20, qt.IsTrue)
			qt.Check(t, is >= 0.999*was, qt.IsTrue)
			before, after = before+was, after+is
		}
		qt.Check(t, after > before, qt.Equals, idle, qt.Commentf("%f, then %f", before, after))
	}
}

// Guards against moves that leave layers with a single holder, do not raise the capacity of
// the domain, are undone by the rest of the planning, or never end.
func TestRoomMovesAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []*fleet.Server
		for _, dom := range []domain.Name{"a", "b"} {
			counts := map[string]int{}
			for _, accelerator := range []string{"h100", "a100s", "l4", "t4"} {
				counts[accelerator] = rapid.IntRange(0, 12).Draw(t, accelerator)
			}
			list = addServers(list, dom, counts)
		}
		for range 40 {
			apply(place.Plan(engine(), list, stable))
		}
		c := conditions(true, func(string) bool { return true })
		c.AloneShare, c.Demand = 0.5, map[domain.Name]place.Demand{"a": {Mean: 1e7, Max: 2e7}, "b": {Mean: 1e7, Max: 2e7}}
		c.Movable = func(*fleet.Server) bool { return true }
		for range 100 {
			assignments := place.Plan(engine(), list, c)
			if len(assignments) == 0 {
				return
			}
			if assignments[0].Room == nil {
				apply(assignments)
				continue
			}
			if len(assignments) != 1 {
				t.Fatalf("%d assignments with a move for capacity", len(assignments))
			}
			apply(assignments)
			if n := leastHolders(list, assignments[0].Room.Domain); n < 2 {
				t.Fatalf("%d holders", n)
			}
		}
		t.Fatalf("moves do not end")
	})
}

// leastHolders returns the least number of holders of a layer in a failure domain.
func leastHolders(list []*fleet.Server, dom domain.Name) int {
	holders := make([]int, engine().Layers)
	for _, s := range list {
		for l := s.First; s.Domain == dom && l < s.End; l++ {
			holders[l]++
		}
	}
	return slices.Min(holders)
}
