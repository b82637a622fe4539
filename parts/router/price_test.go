package router_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/router"
)

// Guards against callers who stay in a domain until it is full, who go to one that is about
// to be, or who go elsewhere although neither utilization is known.
func TestCostOfAnotherDomainFollowsUtilization(t *testing.T) {
	local, other := server("a1", "a", "big", 0, layers), server("b1", "b", "big", 0, layers)
	for _, test := range []struct {
		utilization map[domain.Name]float64
		want        string
	}{
		{nil, "a1"},
		{map[domain.Name]float64{"a": 0.3, "b": 0.3}, "a1"},
		{map[domain.Name]float64{"a": 0.9, "b": 0.3}, "b1"},
		{map[domain.Name]float64{"a": 0.9, "b": 0.9}, "a1"},
		{map[domain.Name]float64{"a": 1, "b": 1}, "a1"},
		{map[domain.Name]float64{"b": 0.1}, "a1"},
		{map[domain.Name]float64{"a": 0.95}, "a1"},
	} {
		q := query(local, other)
		q.Utilization = test.utilization
		q.Used = func(id string) router.Usage {
			fill := test.utilization[domain.Name(id[:1])]
			return router.Usage{TokenLayers: 0.85 * fill * router.Capacity(q.Engine, local), Requests: 100 * fill}
		}
		qt.Check(t, q.Pick()[0].Server.ID, qt.Equals, test.want, qt.Commentf("%v", test.utilization))
	}
}

// Guards against a utilization that hides the layer or the slots that are full, or that
// counts servers which get no requests.
func TestUtilization(t *testing.T) {
	whole, first, last := server("a1", "a", "big", 0, layers), server("a2", "a", "big", 0, 40), server("a3", "a", "big", 40, layers)
	slots, leaving, half := server("a4", "a", "big", 0, layers), server("a5", "a", "big", 0, layers), server("b1", "b", "big", 0, 40)
	slots.Slots, leaving.Leaving = 10, true
	fill := func(s *fleet.Server, share float64) router.Usage {
		return router.Usage{TokenLayers: share * router.Capacity(engine(), s), Starts: 4.6, Requests: 5}
	}
	for name, test := range map[string]struct {
		servers []*fleet.Server
		used    map[string]router.Usage
		want    map[domain.Name]float64
	}{
		"empty":       {[]*fleet.Server{whole}, nil, map[domain.Name]float64{"a": 0}},
		"half":        {[]*fleet.Server{whole}, map[string]router.Usage{"a1": fill(whole, 0.46)}, map[domain.Name]float64{"a": 0.5}},
		"one layer":   {[]*fleet.Server{first, last}, map[string]router.Usage{"a3": fill(last, 0.69)}, map[domain.Name]float64{"a": 0.75}},
		"slots":       {[]*fleet.Server{slots}, map[string]router.Usage{"a4": fill(slots, 0.1)}, map[domain.Name]float64{"a": 0.5}},
		"saturated":   {[]*fleet.Server{whole}, map[string]router.Usage{"a1": {Full: true}}, map[domain.Name]float64{"a": 1}},
		"leaving":     {[]*fleet.Server{whole, leaving}, map[string]router.Usage{"a1": fill(whole, 0.46)}, map[domain.Name]float64{"a": 0.5}},
		"not covered": {[]*fleet.Server{whole, half}, nil, map[domain.Name]float64{"a": 0}},
	} {
		got := router.Utilization(engine(), test.servers, func(id string) router.Usage { return test.used[id] })
		qt.Check(t, got, qt.HasLen, len(test.want), qt.Commentf("%s", name))
		for d, want := range test.want {
			qt.Check(t, math.Abs(got[d]-want) < 0.01, qt.IsTrue, qt.Commentf("%s: %v", name, got))
		}
	}
}

// spill runs requests of callers of domain a, whose demand comes in waves that exceed the
// domain, and returns the highest utilizations of both domains and the number of requests for
// which no server had capacity.
func spill(priced bool) (local, remote float64, refused int) {
	var servers []*fleet.Server
	for i := range 3 {
		servers = append(servers, server(fmt.Sprint("a", i), "a", "big", 0, layers), server(fmt.Sprint("b", i), "b", "big", 0, layers))
	}
	const (
		step   = 50 * time.Millisecond
		length = time.Second
	)
	tracker, ends := &router.LoadTracker{}, map[int][]func(){}
	var utilization map[domain.Name]float64
	owed := 0.0
	for tick := range int(40 * time.Second / step) {
		for _, end := range ends[tick] {
			end()
		}
		if tick%4 == 0 {
			now := router.Utilization(engine(), servers, tracker.Used)
			utilization = router.SmoothUtilization(utilization, now)
			local, remote = max(local, now["a"]), max(remote, now["b"])
		}
		owed += 1480 * (1 + 0.3*math.Sin(2*math.Pi*float64(tick)*step.Seconds()/17)) * step.Seconds()
		for ; owed >= 1; owed-- {
			q := query(servers...)
			q.Used = tracker.Used
			if priced {
				q.Utilization = utilization
			}
			chain := q.Pick()
			if chain == nil {
				refused++
				continue
			}
			at := tick + int(length/step)
			ends[at] = append(ends[at], tracker.Reserve(chain, q.PromptTokens+q.ResponseTokens))
		}
	}
	return local, remote, refused
}

// Guards against callers who move to another domain only once theirs is full.
func TestCallersLeaveBeforeTheirDomainIsFull(t *testing.T) {
	fixedLocal, fixedRemote, fixedRefused := spill(false)
	local, remote, refused := spill(true)
	t.Logf("fixed cost: %.2f and %.2f, %d refused; by utilization: %.2f and %.2f, %d refused", fixedLocal, fixedRemote, fixedRefused, local, remote, refused)
	qt.Check(t, local < fixedLocal, qt.IsTrue)
	qt.Check(t, local < 0.95 && remote < 0.95, qt.IsTrue)
	qt.Check(t, refused <= fixedRefused, qt.IsTrue)
}

// Measures the utilization of three failure domains of 1,000 servers each, which each entry
// host computes five times a second while a domain lacks capacity.
func BenchmarkUtilization(b *testing.B) {
	var servers []*fleet.Server
	for i := range 3000 {
		servers = append(servers, server(fmt.Sprint(i), domain.Name("abc"[i%3:i%3+1]), "big", i%8*10, i%8*10+10))
	}
	tracker := &router.LoadTracker{}
	for b.Loop() {
		router.Utilization(engine(), servers, tracker.Used)
	}
}
