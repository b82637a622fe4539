package router_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
	_ "fuchsiashelf.dev/parts/seed"
)

const layers = 80

// engine describes a model of 80 layers on two kinds of accelerators.
func engine() *route.Engine {
	return &route.Engine{
		Layers: layers, LayerMB: 1750, TokenBytes: 590_000, HopBytes: 29_500, InterDomainMbps: 11_000,
		Step: 850 * time.Microsecond, StepPerRequest: 4 * time.Microsecond, StepPerKiloToken: 5 * time.Microsecond,
		PrefillPerSec: 196_000, StepsPerPass: 2, MeanPromptTokens: 772, MeanResponseTokens: 174,
		Accelerators: map[string]route.Accelerator{
			"big":   {MemoryMB: 400_000, StepFactor: 1.4, PrefillFactor: 1},
			"small": {MemoryMB: 400_000, StepFactor: 16, PrefillFactor: 8.2},
		},
	}
}

func server(name string, in domain.Name, accelerator string, first, end int) *fleet.Server {
	return &fleet.Server{ID: name, Address: name + ":1", Domain: in, Accelerator: accelerator, First: first, End: end}
}

func query(servers ...*fleet.Server) *router.Query {
	return &router.Query{
		Engine: engine(), Servers: servers, LocalDomain: "a", PromptTokens: 772, ResponseTokens: 174,
		Used: func(string) router.Usage { return router.Usage{} },
	}
}

func TestStaysInLocalDomain(t *testing.T) {
	q := query(
		server("a1", "a", "small", 0, 9), server("a2", "a", "small", 9, 80),
		server("b1", "b", "small", 0, 40), server("b2", "b", "small", 40, 80),
	)
	qt.Assert(t, q.Pick().String(), qt.Equals, "a1=0-9 a2=9-80")
}

// Guards against requests that wait or are refused in a slow or full local domain
// while servers of another one are idle.
func TestLeavesSlowLocalDomain(t *testing.T) {
	a1, a2 := server("a1", "a", "small", 0, 9), server("a2", "a", "small", 9, 80)
	q := query(a1, a2, server("b1", "b", "big", 0, 40), server("b2", "b", "big", 40, 80))
	qt.Assert(t, q.Pick().String(), qt.Equals, "b1=0-40 b2=40-80")
	q = query(a1, a2, server("b1", "b", "small", 0, 40), server("b2", "b", "small", 40, 80))
	q.Used = func(id string) router.Usage { return router.Usage{Full: id == "a2"} }
	qt.Assert(t, q.Pick().String(), qt.Equals, "b1=0-40 b2=40-80")
}

// Guards against refusing requests when a server fails and only another failure
// domain holds its layers.
func TestCrossesDomainsForMissingLayers(t *testing.T) {
	q := query(
		server("a1", "a", "small", 0, 30), server("a2", "a", "small", 40, 80),
		server("b1", "b", "small", 30, 40),
	)
	qt.Assert(t, q.Pick().String(), qt.Equals, "a1=0-30 b1=30-40 a2=40-80")
}

// Guards against chains that cross a partition between two failure domains which both
// reach the entry hosts: such a request stalls until its caller gives up.
func TestAvoidsPartitionedLink(t *testing.T) {
	q := query(
		server("a1", "a", "small", 0, 40), server("b1", "b", "small", 40, 80),
		server("b0", "b", "small", 0, 40),
	)
	q.Partitioned = func(from, to domain.Name) bool { return true }
	qt.Assert(t, q.Pick().String(), qt.Equals, "b0=0-40 b1=40-80")
}

// Guards against sending requests to a server whose memory is already reserved: its
// engine would preempt the newest request and recompute it, a long pause for the
// caller.
func TestSkipsFullServer(t *testing.T) {
	q := query(
		server("a1", "a", "small", 0, 9), server("a2", "a", "small", 0, 9), server("a3", "a", "small", 9, 80),
	)
	q.Used = func(id string) router.Usage {
		if id == "a1" {
			return router.Usage{TokenLayers: 1e9}
		}
		return router.Usage{}
	}
	qt.Assert(t, q.Pick().String(), qt.Equals, "a2=0-9 a3=9-80")
	q.Used = func(string) router.Usage { return router.Usage{Full: true} }
	qt.Assert(t, q.Pick(), qt.IsNil)
	q.Overcommit = true
	qt.Assert(t, q.Pick(), qt.IsNotNil)
}

// Guards against requests that wait for a suspected server while another holds its
// layers, and against refusals where none does: the suspicion may be wrong.
func TestSuspectedServersAreLastResort(t *testing.T) {
	a1 := server("a1", "a", "big", 0, 40)
	a1.Suspected = true
	q := query(a1, server("a2", "a", "small", 0, 40), server("a3", "a", "small", 40, 80))
	qt.Assert(t, q.Pick().String(), qt.Equals, "a2=0-40 a3=40-80")
	q = query(a1, server("a3", "a", "small", 40, 80))
	qt.Assert(t, q.Pick(), qt.IsNil)
	q.AllowSilent = true
	qt.Assert(t, q.Pick(), qt.IsNil)
	a1.Silent = true
	qt.Assert(t, q.Pick().String(), qt.Equals, "a1=0-40 a3=40-80")
	q.AllowSuspected, q.AllowSilent = true, false
	qt.Assert(t, q.Pick().String(), qt.Equals, "a1=0-40 a3=40-80")
}

// Guards against a reroute that replaces the first stage: its server holds the stream
// to the entry host.
func TestRerouteKeepsFirstStage(t *testing.T) {
	first := server("a1", "a", "small", 0, 10)
	q := query(first, server("a2", "a", "small", 5, 80), server("a3", "a", "small", 0, 80))
	q.FixedFirst = &router.Stage{Server: first, First: 0, End: 10}
	q.Avoid = map[string]bool{"a3:1": true}
	qt.Assert(t, q.Pick().String(), qt.Equals, "a1=0-10 a2=10-80")
	q.Avoid["a2:1"] = true
	qt.Assert(t, q.Pick(), qt.IsNil)
}

// Guards against a reroute after a failure that also moves layers between the
// remaining servers: each server whose range changes prefills the whole prompt again,
// for each of some thirty responses, and their callers wait for 500 ms instead of 250
// ms.
func TestRerouteKeepsCachedStages(t *testing.T) {
	first := server("a", "a", "small", 0, 20)
	next := server("c", "a", "small", 35, 60)
	last := server("d", "a", "small", 60, 80)
	q := query(first, next, last, server("e", "a", "small", 20, 60))
	q.FixedFirst = &router.Stage{Server: first, First: 0, End: 20}
	q.Cached = map[string]router.Stage{
		next.Address: {Server: next, First: 40, End: 60},
		last.Address: {Server: last, First: 60, End: 80},
	}
	qt.Assert(t, q.Pick().String(), qt.Equals, "a=0-20 e=20-40 c=40-60 d=60-80")
}

// Guards against starting chains at a server that responds with status 500 while its
// reports show no fault: each request would spend a retry there, though another
// failure domain could serve it with little delay.
func TestAvoidsStartAtFailingServer(t *testing.T) {
	q := query(
		server("a1", "a", "small", 0, 40), server("a2", "a", "small", 40, 80),
		server("b1", "b", "small", 0, 40), server("b2", "b", "small", 40, 80),
	)
	qt.Assert(t, q.Pick().String(), qt.Equals, "a1=0-40 a2=40-80")
	q.Delay = func(id string) float64 {
		if id == "a1" {
			return 1.5
		}
		return 0
	}
	qt.Assert(t, q.Pick().String(), qt.Equals, "b1=0-40 b2=40-80")
}

// Guards against routing through a server that reports to be slow while another holds
// the same layers: requests would accumulate there and slow down every chain that
// includes it.
func TestAvoidsSlowServer(t *testing.T) {
	slow, other := server("a1", "a", "small", 0, 40), server("a2", "a", "small", 0, 40)
	q := query(slow, other, server("a3", "a", "small", 40, 80))
	q.Used = func(id string) router.Usage {
		if id == "a2" {
			return router.Usage{Requests: 10}
		}
		return router.Usage{}
	}
	qt.Assert(t, q.Pick().String(), qt.Equals, "a1=0-40 a3=40-80")
	slow.SlowdownFactor = 4
	qt.Assert(t, q.Pick().String(), qt.Equals, "a2=0-40 a3=40-80")
}

// Guards against a chain that passes through a server twice, which engines refuse.
// Here a fast server holds a few layers in the middle of a slow server's range, so
// the cheapest path uses the slow one before and after it.
func TestUsesEachServerOnce(t *testing.T) {
	q := query(server("a1", "a", "small", 0, 80), server("a2", "a", "big", 30, 50))
	chain := q.Pick()
	qt.Assert(t, chain.Complete(layers), qt.IsTrue)
	seen := map[string]bool{}
	for _, p := range chain {
		qt.Assert(t, seen[p.Server.ID], qt.IsFalse)
		seen[p.Server.ID] = true
	}
}

// Guards against chains that skip or repeat layers, or run them on a server that does
// not hold them: their tokens would be wrong, and nothing would report it.
func TestChainsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 14).Draw(t, "servers")
		var servers []*fleet.Server
		for i := range n {
			first := rapid.IntRange(0, layers-1).Draw(t, "first")
			end := rapid.IntRange(first, layers).Draw(t, "end")
			s := server(fmt.Sprintf("s%d", i), domain.Name(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")),
				rapid.SampledFrom([]string{"big", "small"}).Draw(t, "accelerator"), first, end)
			s.Leaving = rapid.Bool().Draw(t, "leaving")
			servers = append(servers, s)
		}
		q := query(servers...)
		q.Overcommit = true
		chain := q.Pick()
		if chain == nil {
			return
		}
		if !chain.Complete(layers) {
			t.Fatalf("%s is not complete", chain)
		}
		for _, p := range chain {
			if p.First < p.Server.First || p.End > p.Server.End || p.Server.Leaving {
				t.Fatalf("%s: %s does not hold its stage", chain, p.Server.ID)
			}
		}
	})
}

func TestLoadTracker(t *testing.T) {
	var l router.LoadTracker
	s := server("a1", "a", "small", 0, 80)
	release := l.Reserve(router.Chain{{Server: s, First: 0, End: 80}}, 100)
	l.SetRemote("entry-2", map[string]router.Usage{"a1": {TokenLayers: 50, Requests: 2}})
	qt.Assert(t, l.Used("a1"), qt.Equals, router.Usage{TokenLayers: 8050, Requests: 3, Starts: 1})
	release()
	release()
	qt.Assert(t, l.Used("a1"), qt.Equals, router.Usage{TokenLayers: 50, Requests: 2})
	l.SetRemote("entry-2", nil)
	now := time.Unix(1000, 0)
	l.RecordRefusal("a1", now)
	qt.Assert(t, l.Used("a1").Full, qt.IsTrue)
	l.Sweep(now.Add(time.Second))
	qt.Assert(t, l.Used("a1"), qt.Equals, router.Usage{})
}

func BenchmarkPick(b *testing.B) {
	var servers []*fleet.Server
	for i, in := range []domain.Name{"a", "b", "c", "d"} {
		for n := range 24 {
			first := (n * 7) % 74
			servers = append(servers, server(fmt.Sprintf("s%d-%d", i, n), in, "small", first, min(layers, first+7)))
		}
		servers = append(servers, server(fmt.Sprintf("t%d", i), in, "small", 70, 80))
	}
	q := query(servers...)
	b.ReportAllocs()
	for b.Loop() {
		if q.Pick() == nil {
			b.Fatal("no chain")
		}
	}
}

// Guards against stages on a server that has requested a pause, and against a request in
// flight that loses the stage which such a server runs already, or gets more there.
func TestPausedServerGetsNoNewStage(t *testing.T) {
	a1, a2 := server("a1", "a", "small", 0, 40), server("a2", "a", "big", 30, 80)
	a3, b1 := server("a3", "a", "small", 40, 80), server("b1", "b", "small", 0, 80)
	q := query(a1, a2, a3, b1)
	q.Paused = func(s *fleet.Server) bool { return s == a2 }
	qt.Check(t, q.Pick().String(), qt.Equals, "a1=0-40 a3=40-80")
	q.Paused = func(s *fleet.Server) bool { return s == a1 || s == a2 }
	qt.Check(t, q.Pick().String(), qt.Equals, "b1=0-80")
	q = query(a1, a2, server("a4", "a", "small", 60, 80))
	q.Paused = func(s *fleet.Server) bool { return s == a2 }
	q.FixedFirst = &router.Stage{Server: a1, First: 0, End: 40}
	qt.Check(t, q.Pick(), qt.IsNil)
	q.Cached = map[string]router.Stage{a2.Address: {Server: a2, First: 40, End: 60}}
	qt.Check(t, q.Pick().String(), qt.Equals, "a1=0-40 a2=40-60 a4=60-80")
}
