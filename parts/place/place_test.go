package place_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
	"fuchsiashelf.dev/parts/route"
	_ "fuchsiashelf.dev/parts/seed"
)

func engine() *route.Engine {
	return &route.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 590_000, Load: 14 * time.Second, Step: 850 * time.Microsecond, PrefillPerSec: 196_000,
		MeanPromptTokens: 772, MeanResponseTokens: 174,
		Accelerators: map[string]route.Accelerator{
			"h100": {MemoryMB: 72_000, StepFactor: 1.4, PrefillFactor: 1}, "a100s": {MemoryMB: 36_000, StepFactor: 3.1, PrefillFactor: 3.2},
			"l4": {MemoryMB: 21_600, StepFactor: 16, PrefillFactor: 8.2}, "t4": {MemoryMB: 14_400, StepFactor: 15, PrefillFactor: 15},
		},
	}
}

// stable and unstable are conditions without and with a recent change of the servers.
// No server is idle in either.
var (
	stable   = conditions(true, func(string) bool { return false })
	unstable = conditions(false, func(string) bool { return false })
)

func conditions(stable bool, idle func(id string) bool) place.Conditions {
	return place.Conditions{
		Stable:      func(domain.Name) bool { return stable },
		Idle:        idle,
		Reserved:    func(string) float64 { return 0 },
		JustStarted: func(string) bool { return false },
	}
}

// threeDomains returns the servers of three failure domains, each of which can hold
// the model.
func threeDomains() []*fleet.Server {
	var list []*fleet.Server
	add := func(dom domain.Name, accelerator string, n int) {
		for i := range n {
			list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%s-%d", dom, accelerator, i), Domain: dom, Accelerator: accelerator})
		}
	}
	add("a", "h100", 1)
	add("a", "a100s", 1)
	add("a", "l4", 5)
	add("a", "t4", 7)
	add("b", "a100s", 1)
	add("b", "l4", 8)
	add("b", "t4", 3)
	add("c", "a100s", 2)
	add("c", "l4", 4)
	add("c", "t4", 7)
	return list
}

// apply applies assignments to the servers.
func apply(assignments []place.Assignment) {
	for _, a := range assignments {
		a.Server.First, a.Server.End = a.First, a.End
	}
}

// covered reports whether the healthy servers of a domain hold all layers.
func covered(list []*fleet.Server, dom domain.Name) bool {
	held := make([]bool, 80)
	for _, s := range list {
		if s.Domain != dom || s.Leaving || s.Suspected {
			continue
		}
		for l := s.First; l < s.End; l++ {
			held[l] = true
		}
	}
	for _, h := range held {
		if !h {
			return false
		}
	}
	return true
}

func find(list []*fleet.Server, id string) *fleet.Server {
	for _, s := range list {
		if s.ID == id {
			return s
		}
	}
	return nil
}

func TestEachDomainHoldsAllLayers(t *testing.T) {
	list := threeDomains()
	assignments := place.Plan(engine(), list, stable)
	qt.Assert(t, assignments, qt.HasLen, len(list))
	apply(assignments)
	for _, dom := range []domain.Name{"a", "b", "c"} {
		qt.Check(t, covered(list, dom), qt.IsTrue, qt.Commentf("domain %s", dom))
	}
	// Nothing is left to change: servers keep what they hold.
	qt.Assert(t, place.Plan(engine(), list, stable), qt.HasLen, 0)
}

// Guards against a failure domain that lacks layers after their only holder failed:
// every request would cross to another domain until the server is back. Neighbours
// take the layers over without giving any up, so they need not wait for the requests
// that pass through them.
func TestNeighboursCloseGap(t *testing.T) {
	for _, failed := range threeDomains() {
		list := threeDomains()
		apply(place.Plan(engine(), list, stable))
		held := map[string][2]int{}
		for _, s := range list {
			held[s.ID] = [2]int{s.First, s.End}
		}
		find(list, failed.ID).Suspected = true
		assignments := place.Plan(engine(), list, unstable)
		for _, a := range assignments {
			was := held[a.Server.ID]
			if a.First > was[0] || a.End < was[1] {
				t.Logf("%s failed: %s gives up layers: %v to %d-%d", failed.ID, a.Server.ID, was, a.First, a.End)
			}
		}
		apply(assignments)
		qt.Check(t, covered(list, failed.Domain), qt.IsTrue, qt.Commentf("%s failed", failed.ID))
	}
}

// Guards against assignments in a failure domain whose servers the leader takes for
// failed because of a partition: they would break what works on the other side.
func TestNoAssignmentsInPartitionedDomain(t *testing.T) {
	list := threeDomains()
	apply(place.Plan(engine(), list, stable))
	n := 0
	for _, s := range list {
		if s.Domain == "b" && n < 6 {
			s.Suspected = true
			n++
		}
	}
	qt.Assert(t, place.Plan(engine(), list, unstable), qt.HasLen, 0)
}

// Guards against moving the layers of servers that are silent for a second: the loads would
// end after the silence. Lost servers are replaced beside silent ones, which get no
// assignments, and layers that only silent servers would hold then are not given up.
func TestSilentServersKeepTheirLayers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := threeDomains()
		apply(place.Plan(engine(), list, stable))
		for range rapid.IntRange(0, 2).Draw(t, "lost") {
			list[rapid.IntRange(0, len(list)-1).Draw(t, "which")].Suspected = true
		}
		current := conditions(rapid.Bool().Draw(t, "stable"), func(string) bool { return true })
		withoutSilence := place.Plan(engine(), list, current)
		for _, s := range list {
			if !s.Suspected && rapid.Bool().Draw(t, "silent") {
				s.Suspected, s.Silent = true, true
			}
		}
		before, assignments := answering(list), place.Plan(engine(), list, current)
		if len(withoutSilence) == 0 && len(assignments) > 0 {
			t.Fatalf("%d assignments for silences alone", len(assignments))
		}
		for _, a := range assignments {
			if a.Server.Suspected {
				t.Fatalf("%s is silent or lost", a.Server.ID)
			}
		}
		apply(assignments)
		after := answering(list)
		for layer := range before {
			if !after[layer] {
				t.Fatalf("layer %v was given up", layer)
			}
		}
	})
}

// answering returns the layers that answering servers hold.
func answering(list []*fleet.Server) map[string]bool {
	held := map[string]bool{}
	for _, s := range list {
		for l := s.First; l < s.End && !s.Suspected; l++ {
			held[fmt.Sprint(s.Domain, l)] = true
		}
	}
	return held
}

// Guards against overloading the neighbours of a failed server while idle servers
// hold replicas that no request uses: the neighbours would keep a third of their
// capacity. The idle servers take the layers at once.
func TestIdleServersCloseGap(t *testing.T) {
	list := threeDomains()
	apply(place.Plan(engine(), list, stable))
	find(list, "a-a100s-0").Suspected = true
	assignments := place.Plan(engine(), list, conditions(false, func(id string) bool { return strings.HasPrefix(id, "a-t4") }))
	for _, a := range assignments {
		qt.Check(t, strings.HasPrefix(a.Server.ID, "a-t4"), qt.IsTrue, qt.Commentf("%s: %d to %d", a.Server.ID, a.First, a.End))
	}
	apply(assignments)
	qt.Assert(t, covered(list, "a"), qt.IsTrue)
}

// Guards against neighbours that keep the layers of a failed server after another one
// holds them, with little capacity for requests, and against giving them up while the
// servers of the domain still change.
func TestNeighboursGiveUpLayersWhenStable(t *testing.T) {
	list := threeDomains()
	apply(place.Plan(engine(), list, stable))
	failed := find(list, "b-l4-3")
	failed.Suspected = true
	apply(place.Plan(engine(), list, unstable))
	replacement := &fleet.Server{ID: "new", Domain: "b", Accelerator: "l4"}
	list = append(list, replacement)
	failed.Leaving = true
	assignments := place.Plan(engine(), list, unstable)
	qt.Assert(t, assignments, qt.HasLen, 1)
	qt.Assert(t, assignments[0].Server, qt.Equals, replacement)
	apply(assignments)
	for range 5 {
		apply(place.Plan(engine(), list, stable))
	}
	qt.Assert(t, covered(list, "b"), qt.IsTrue)
	qt.Assert(t, place.Plan(engine(), list, stable), qt.HasLen, 0)
}

// Guards against a rolling replacement in which the new server is busy loading
// replicas when the old one leaves a second later: the domain lacks up to twelve
// layers for four seconds each time, requests are refused and streams are cut.
func TestNewServerReplacesLeavingServer(t *testing.T) {
	for _, accelerator := range []string{"l4", "a100s", "t4"} {
		list := threeDomains()
		apply(place.Plan(engine(), list, stable))
		old := find(list, "b-"+accelerator+"-0")
		next := &fleet.Server{ID: "new", Domain: "b", Accelerator: accelerator}
		list = append(list, next)
		current := stable
		current.JustStarted = func(id string) bool { return id == "new" }
		qt.Assert(t, place.Plan(engine(), list, current), qt.HasLen, 0)
		old.Leaving = true
		assignments := place.Plan(engine(), list, current)
		qt.Assert(t, assignments, qt.HasLen, 1, qt.Commentf("%s", accelerator))
		qt.Assert(t, assignments[0].Server, qt.Equals, next)
		apply(assignments)
		qt.Check(t, covered(list, "b"), qt.IsTrue)
	}
}

// Guards against a new server that stays empty in a domain which has just lost one
// and has little capacity left.
func TestNewServerRelievesOverloadedDomain(t *testing.T) {
	list := threeDomains()
	apply(place.Plan(engine(), list, stable))
	find(list, "b-a100s-0").Leaving = true
	apply(place.Plan(engine(), list, unstable))
	list = append(list, &fleet.Server{ID: "new", Domain: "b", Accelerator: "l4"})
	current := unstable
	current.JustStarted = func(id string) bool { return id == "new" }
	qt.Assert(t, place.Plan(engine(), list, current), qt.HasLen, 1)
}

// Guards against a large server that stays at a low capacity after taking over layers
// while idle servers hold replicas that no request uses: the idle servers should take
// layers from it.
func TestIdleServersRelieveOverloadedServer(t *testing.T) {
	list := threeDomains()
	apply(place.Plan(engine(), list, stable))
	find(list, "a-a100s-0").Leaving = true
	big := find(list, "a-h100-0")
	big.First, big.End = 0, 37
	idle := conditions(true, func(id string) bool { return strings.HasPrefix(id, "a-t4") })
	for range 5 {
		apply(place.Plan(engine(), list, idle))
	}
	qt.Assert(t, covered(list, "a"), qt.IsTrue)
	qt.Assert(t, big.LayerCount() <= 25, qt.IsTrue, qt.Commentf("%d layers", big.LayerCount()))
}

// Guards against a failure domain that is too small for the whole model and therefore
// serves no request: it shares a copy with other small domains.
func TestSmallDomainsShareACopy(t *testing.T) {
	list := []*fleet.Server{
		{ID: "a", Domain: "a", Accelerator: "h100"}, {ID: "b", Domain: "b", Accelerator: "h100"}, {ID: "c", Domain: "c", Accelerator: "h100"},
	}
	apply(place.Plan(engine(), list, stable))
	held := make([]int, 80)
	for _, s := range list {
		for l := s.First; l < s.End; l++ {
			held[l]++
		}
	}
	for l, n := range held {
		qt.Check(t, n > 0, qt.IsTrue, qt.Commentf("layer %d", l))
	}
}

// Guards against assignments that exceed a server's memory, which would crash the
// engine with all its requests, and against assignments that never converge: servers
// that keep loading never serve.
func TestAssignmentsFitAndConverge(t *testing.T) {
	e := engine()
	rapid.Check(t, func(t *rapid.T) {
		list := threeDomains()
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			for range rapid.IntRange(0, 3).Draw(t, "faults") {
				s := list[rapid.IntRange(0, len(list)-1).Draw(t, "which")]
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					s.Suspected = !s.Suspected
				case 1:
					s.First, s.End = 0, 0
				case 2:
					s.Leaving = true
				case 3:
					list = append(list, &fleet.Server{ID: fmt.Sprintf("new-%d", len(list)), Domain: s.Domain, Accelerator: s.Accelerator})
				}
			}
			assignments := place.Plan(e, list, conditions(rapid.Bool().Draw(t, "stable"), func(string) bool { return rapid.Bool().Draw(t, "idle") }))
			for _, a := range assignments {
				if a.First < 0 || a.End > e.Layers || a.First >= a.End {
					t.Fatalf("%s: %d to %d", a.Server.ID, a.First, a.End)
				}
				if float64(a.End-a.First)*e.LayerMB > e.Accelerators[a.Server.Accelerator].MemoryMB {
					t.Fatalf("%s: %d layers do not fit", a.Server.ID, a.End-a.First)
				}
				if a.Server.Leaving || a.Server.Suspected {
					t.Fatalf("%s is not healthy", a.Server.ID)
				}
			}
			apply(assignments)
		}
		for range 20 {
			assignments := place.Plan(e, list, stable)
			if len(assignments) == 0 {
				return
			}
			apply(assignments)
		}
		t.Fatal("assignments do not converge")
	})
}

// Guards against servers that load a layer and give it up again without end, because
// a layer which is passed along several servers is given up by the one that took it.
func TestPassedLayersAreNotGivenBack(t *testing.T) {
	type held struct {
		accelerator string
		first, end  int
	}
	for _, servers := range [][]held{
		{
			{"t4", 0, 7},
			{"a100s", 7, 24},
			{"t4", 24, 31},
			{"t4", 30, 36},
			{"t4", 36, 42},
			{"l4", 42, 51},
			{"l4", 51, 60},
			{"l4", 60, 67},
			{"t4", 67, 72},
			{"t4", 72, 77},
			{"t4", 75, 80},
		},
		{
			{"a100s", 0, 13},
			{"l4", 13, 21},
			{"t4", 21, 26},
			{"a100s", 26, 40},
			{"l4", 29, 36},
			{"l4", 40, 48},
			{"t4", 47, 53},
			{"t4", 53, 59},
			{"t4", 59, 65},
			{"t4", 65, 70},
			{"t4", 70, 75},
			{"t4", 75, 80},
		},
	} {
		var list []*fleet.Server
		for i, s := range servers {
			list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%02d", s.accelerator, i), Domain: "a", Accelerator: s.accelerator, First: s.first, End: s.end})
		}
		converge(t, list, stable)
		qt.Check(t, covered(list, "a"), qt.IsTrue)
	}
}

// mixedAccelerators returns an engine whose smallest accelerators are three times as
// fast as its medium ones; the largest are the fastest.
func mixedAccelerators() *route.Engine {
	return &route.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 590_000, Load: 14 * time.Second, Step: 1020 * time.Microsecond, PrefillPerSec: 164_000,
		MeanPromptTokens: 772, MeanResponseTokens: 230,
		Accelerators: map[string]route.Accelerator{
			"a100": {MemoryMB: 72_000, StepFactor: 2.4, PrefillFactor: 3.2}, "v100": {MemoryMB: 14_400, StepFactor: 5.3, PrefillFactor: 7.9},
			"l4": {MemoryMB: 21_600, StepFactor: 16, PrefillFactor: 8.2},
		},
	}
}

// Guards against giving layers to larger accelerators first even if they are slower:
// events come 90 ms apart where 40 ms are possible, twice as many responses are in
// progress when a server fails, and the longest responses rarely complete.
func TestFastAcceleratorsHoldLayersFirst(t *testing.T) {
	e := mixedAccelerators()
	for _, accelerators := range []map[string]int{
		{"a100": 1, "v100": 6, "l4": 6}, {"a100": 1, "v100": 10, "l4": 4}, {"a100": 2, "v100": 4, "l4": 4},
	} {
		var list []*fleet.Server
		fastest := 0
		for accelerator, n := range accelerators {
			for i := range n {
				list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%02d", accelerator, i), Domain: "a", Accelerator: accelerator})
			}
		}
		apply(place.Plan(e, list, stable))
		for l := range e.Layers {
			factor := math.Inf(1)
			for _, s := range list {
				if l >= s.First && l < s.End {
					factor = min(factor, e.Accelerators[s.Accelerator].StepFactor)
				}
			}
			if factor < e.Accelerators["l4"].StepFactor {
				fastest++
			}
		}
		// The number of layers that the fast accelerators hold if they keep capacity
		// for 150 requests, twice the 75 that a domain has on an ordinary evening.
		want := 0
		for accelerator, n := range accelerators {
			if accelerator != "l4" {
				each := e.LayerMB + 150*1002*e.TokenBytes/float64(e.Layers)/1e6
				want += n * int(e.Accelerators[accelerator].MemoryMB/each)
			}
		}
		qt.Check(t, fastest >= min(want, e.Layers), qt.IsTrue, qt.Commentf("%v: %d layers, %d possible", accelerators, fastest, want))
	}
}

// Guards against trading capacity for speed where all accelerators are about equally
// slow: little speed is gained, and after a server fails half of the requests find no
// capacity.
func TestSlowAcceleratorsKeepTheirCapacity(t *testing.T) {
	list := threeDomains()
	converge(t, list, stable)
	for _, dom := range []domain.Name{"a", "b", "c"} {
		qt.Check(t, capacity(list, dom) >= 110, qt.IsTrue, qt.Commentf("%s: capacity for %.0f requests", dom, capacity(list, dom)))
	}
}

// Guards against replicas that cover only parts of the ranges of many servers: if such
// a server holds some other layers alone, its failure ends its responses all the same.
func TestReplicasCoverWholeServers(t *testing.T) {
	e := mixedAccelerators()
	var list []*fleet.Server
	for accelerator, n := range map[string]int{"a100": 2, "v100": 4, "l4": 4} {
		for i := range n {
			list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%02d", accelerator, i), Domain: "a", Accelerator: accelerator})
		}
	}
	apply(place.Plan(e, list, stable))
	qt.Assert(t, covered(list, "a"), qt.IsTrue)
	survived := 0
	for _, failed := range list {
		failed.Suspected = true
		if covered(list, "a") {
			survived++
		}
		failed.Suspected = false
	}
	// The four slow servers only hold replicas, enough for each of the four small
	// ones.
	qt.Assert(t, survived >= 8, qt.IsTrue, qt.Commentf("%d of %d failures leave all layers held", survived, len(list)))
}

// Guards against trading capacity for speed in a large domain that holds each layer
// several times: the fastest chain has capacity for only a part of the requests, all
// other chains lose capacity, and after some failures a fifth of the requests is
// refused.
func TestLargeDomainsKeepTheirCapacity(t *testing.T) {
	e := engine()
	var list []*fleet.Server
	for accelerator, n := range map[string]int{"h100": 1, "a100s": 2, "l4": 13, "t4": 18} {
		for i := range n {
			list = append(list, &fleet.Server{ID: fmt.Sprintf("%s-%02d", accelerator, i), Domain: "a", Accelerator: accelerator})
		}
	}
	apply(place.Plan(e, list, stable))
	for _, s := range list {
		free := (e.Accelerators[s.Accelerator].MemoryMB - float64(s.LayerCount())*e.LayerMB) * 1e6 * float64(e.Layers) / e.TokenBytes / float64(s.LayerCount())
		qt.Check(t, free >= 159*meanTokens, qt.IsTrue, qt.Commentf("%s: capacity for %.0f requests", s.ID, free/meanTokens))
	}
}

// Guards against a leader that never ends its plan, or ends with a panic, because a server says that it
// holds layers which the model does not have.
func TestLayersThatTheModelDoesNotHave(t *testing.T) {
	for _, held := range [][2]int{{0, math.MaxInt}, {40, math.MaxInt}, {math.MaxInt - 4, math.MaxInt}, {81, 90}, {200, 210}} {
		servers := threeDomains()
		apply(place.Plan(engine(), servers, stable))
		odd := &fleet.Server{ID: "odd", Domain: "a", Accelerator: "l4", First: held[0], End: held[1]}
		assignments := place.Plan(engine(), append(servers, odd), stable)
		for _, a := range assignments {
			qt.Check(t, a.First >= 0 && a.First <= a.End && a.End <= engine().Layers, qt.IsTrue, qt.Commentf("%v: %+v", held, a))
		}
	}
}
