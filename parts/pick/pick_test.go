package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/server"
)

const second = int64(time.Second)

// fleet makes a table of so many stages of so many servers, measured with the
// given steps in turn.
func fleet(t testing.TB, stages, width int, steps ...time.Duration) (*Table, map[string]*server.Meter) {
	var hosts []host.Host
	meters := map[string]*server.Meter{}
	for i := range stages {
		for n := range width {
			name := fmt.Sprintf("s%d-%d", i, n)
			hosts = append(hosts, host.Host{Name: name, First: i, End: i + 1})
			meters[name] = &server.Meter{}
			meters[name].Capacity.Store(1)
			meters[name].Observe(second, steps[n%len(steps)], 0)
		}
	}
	g, err := chain.New(stages, hosts)
	quicktest.Assert(t, err, quicktest.IsNil)
	return NewTable(g, meters, time.Unix(1, 0)), meters
}

func source(seed uint64) func() uint64 {
	return rand.New(rand.NewPCG(seed, seed)).Uint64
}

// share returns the part of the work that each server of one stage gets when
// requests stay in flight.
func share(t testing.TB, p Policy, n int, steps ...time.Duration) []float64 {
	table, meters := fleet(t, 1, len(steps), steps...)
	c := &ChainPicker{Policy: p, Rand: source(1), Now: second}
	counts := make([]float64, len(steps))
	for range n {
		h := c.Pick(table, nil)[0]
		h.Meter.InFlight.Add(1)
		counts[h.Server]++
	}
	quicktest.Assert(t, meters, quicktest.HasLen, len(steps))
	for i := range counts {
		counts[i] /= float64(n)
	}
	return counts
}

// Three kinds of accelerators differ sixfold in speed. Spread evenly, the
// slow ones would bound what the stage carries; the shipped policy gives each
// its part.
func TestCostFollowsCapacity(t *testing.T) {
	c := quicktest.New(t)
	ms := time.Millisecond
	got := share(t, LeastCost{}, 4000, 6*ms, 6*ms, 6*ms, 6*ms, 6*ms, 6*ms, 6*ms, 1*ms)
	c.Assert(got[7] > 0.42 && got[7] < 0.5, quicktest.IsTrue, quicktest.Commentf("%v", got))
}

// A baseline that does not reach every server of every stage would make the
// shipped policy look better than it is.
func TestRobinIsEven(t *testing.T) {
	c := quicktest.New(t)
	table, _ := fleet(t, 3, 6, time.Millisecond)
	chooser := &ChainPicker{Policy: NewRoundRobin(), Rand: source(5), Now: second}
	counts := map[int]int{}
	for range 60 {
		for _, h := range chooser.Pick(table, nil) {
			counts[h.Server]++
		}
	}
	c.Assert(counts, quicktest.HasLen, 18)
	for server, n := range counts {
		c.Check(n, quicktest.Equals, 10, quicktest.Commentf("server %d", server))
	}
}

// A suspect gets work only if there is no other server.
func TestAvoid(t *testing.T) {
	c := quicktest.New(t)
	table, _ := fleet(t, 1, 4, time.Millisecond)
	avoid := map[string]time.Time{}
	for _, n := range []int{0, 1, 2} {
		avoid[fmt.Sprintf("s0-%d", n)] = time.Unix(10, 0)
	}
	for _, p := range []Policy{LeastCost{}, Random{}, NewRoundRobin(), LeastRequests{}} {
		chooser := &ChainPicker{Policy: p, Rand: source(2), Now: second, Avoid: avoid}
		for range 50 {
			c.Assert(chooser.Pick(table, nil)[0].Server, quicktest.Equals, 3)
		}
		chooser.Now = 11 * second
		seen := map[int]bool{}
		for range 100 {
			seen[chooser.Pick(table, nil)[0].Server] = true
		}
		c.Assert(len(seen) > 1 || p == Policy(LeastRequests{}), quicktest.IsTrue)
	}
}

// One link degrades and says so only by its delay. New chains keep off it.
func TestSlowLinkIsLeft(t *testing.T) {
	c := quicktest.New(t)
	table, meters := fleet(t, 2, 2, time.Millisecond)
	l := meters["s0-0"].Link("s1-0")
	for range 100 {
		l.Delay.Observe(200 * time.Microsecond)
	}
	for range 20 {
		l.Delay.Observe(40 * time.Millisecond)
	}
	table = NewTable(table.Graph, meters, time.Unix(1, 0))
	chooser := &ChainPicker{Rand: source(3), Now: second}
	for range 200 {
		hops := chooser.Pick(table, nil)
		crossed := hops[0].Server == 0 && hops[1].Server == 2
		c.Assert(crossed, quicktest.IsFalse)
	}
	c.Assert(l.AvoidUntil.Load() > second, quicktest.IsTrue)
}

// Whatever the figures, a chain runs each layer once, in order.
func TestChainIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 12).Draw(t, "layers")
		hosts := []host.Host{{Name: "all", First: 0, End: layers}}
		meters := map[string]*server.Meter{"all": {}}
		for i := range rapid.IntRange(0, 10).Draw(t, "servers") {
			first := rapid.IntRange(0, layers-1).Draw(t, "first")
			h := host.Host{Name: fmt.Sprint(i), First: first, End: rapid.IntRange(first+1, layers).Draw(t, "end")}
			hosts = append(hosts, h)
			meters[h.Name] = &server.Meter{}
			meters[h.Name].Observe(1, time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "step")), 0)
		}
		g, err := chain.New(layers, hosts)
		if err != nil {
			t.Fatal(err)
		}
		policy, err := ParsePolicy(rapid.SampledFrom([]string{"cost", "random", "robin", "least"}).Draw(t, "policy"))
		if err != nil {
			t.Fatal(err)
		}
		chooser := &ChainPicker{Policy: policy, Rand: source(rapid.Uint64().Draw(t, "seed"))}
		at := 0
		for _, h := range chooser.Pick(NewTable(g, meters, time.Unix(0, 0)), nil) {
			if h.First != at {
				t.Fatalf("layer %d is due, %d came", at, h.First)
			}
			at = h.End
		}
		if at != layers {
			t.Fatalf("ran %d of %d layers", at, layers)
		}
	})
}

func TestAliasesKeepWeights(t *testing.T) {
	c := quicktest.New(t)
	o := aliases([]float64{1, 2, 5, 0.5, 1.5}, 10)
	counts := make([]float64, 5)
	random := source(4)
	const n = 200000
	for range n {
		counts[o.draw(uint32(random()))]++
	}
	for i, want := range []float64{0.1, 0.2, 0.5, 0.05, 0.15} {
		got := counts[i] / n
		c.Check(got > want-0.01 && got < want+0.01, quicktest.IsTrue, quicktest.Commentf("%d: %v", i, got))
	}
}

func BenchmarkChain(b *testing.B) {
	for _, shape := range []struct{ stages, width int }{{8, 75}, {24, 25}} {
		b.Run(fmt.Sprintf("%dx%d", shape.stages, shape.width), func(b *testing.B) {
			table, _ := fleet(b, shape.stages, shape.width, time.Millisecond, 2500*time.Microsecond, 6*time.Millisecond)
			c := &ChainPicker{Policy: LeastCost{}, Rand: rand.Uint64, Now: second}
			hops := make([]Hop, 0, shape.stages)
			b.ReportAllocs()
			for b.Loop() {
				hops = c.Pick(table, hops[:0])
			}
		})
	}
}

// A baseline that leaves servers idle would make any policy look good beside
// it.
func TestRobinUsesAllServersOfEachStage(t *testing.T) {
	c := quicktest.New(t)
	table, _ := fleet(t, 3, 6, time.Millisecond)
	chooser := &ChainPicker{Policy: &RoundRobin{}, Rand: source(4), Now: second}
	seen := map[int]int{}
	for range 60 {
		for _, hop := range chooser.Pick(table, nil) {
			seen[hop.Server]++
		}
	}
	c.Assert(seen, quicktest.HasLen, 18)
	for _, n := range seen {
		c.Assert(n, quicktest.Equals, 10)
	}
}
