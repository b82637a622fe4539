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
	_ "fuchsiashelf.dev/parts/seed"
	"fuchsiashelf.dev/parts/server"
)

const second = int64(time.Second)

// newMeasuredTable returns a table with the given number of stages and of
// servers per stage. The servers have the given step times in turn.
func newMeasuredTable(t testing.TB, stages, width int, steps ...time.Duration) (*Table, map[string]*server.Meter) {
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

// newSource returns a seeded source of random bits.
func newSource(seed uint64) func() uint64 {
	return rand.New(rand.NewPCG(seed, seed)).Uint64
}

// workShares returns the share of n requests that each server of a single
// stage gets while no request ends.
func workShares(t testing.TB, p Policy, n int, steps ...time.Duration) []float64 {
	table, meters := newMeasuredTable(t, 1, len(steps), steps...)
	c := &ChainPicker{Policy: p, Rand: newSource(1), Now: second}
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

// Guards against an even distribution over accelerators that differ sixfold in
// speed: the slow ones would limit the stage. The default policy gives each
// server work in proportion to its capacity.
func TestLeastCostFollowsCapacity(t *testing.T) {
	c := quicktest.New(t)
	ms := time.Millisecond
	got := workShares(t, LeastCost{}, 4000, 6*ms, 6*ms, 6*ms, 6*ms, 6*ms, 6*ms, 6*ms, 1*ms)
	c.Assert(got[7] > 0.42 && got[7] < 0.5, quicktest.IsTrue, quicktest.Commentf("%v", got))
}

// Guards against a round-robin policy that does not use every server of every
// stage: it serves as the baseline for the default policy, which would look
// better than it is.
func TestRoundRobinIsEven(t *testing.T) {
	c := quicktest.New(t)
	table, _ := newMeasuredTable(t, 3, 6, time.Millisecond)
	picker := &ChainPicker{Policy: NewRoundRobin(), Rand: newSource(5), Now: second}
	counts := map[int]int{}
	for range 60 {
		for _, h := range picker.Pick(table, nil) {
			counts[h.Server]++
		}
	}
	c.Assert(counts, quicktest.HasLen, 18)
	for server, n := range counts {
		c.Check(n, quicktest.Equals, 10, quicktest.Commentf("server %d", server))
	}
}

// Guards against requests on a suspected server while there is another one.
func TestAvoid(t *testing.T) {
	c := quicktest.New(t)
	table, _ := newMeasuredTable(t, 1, 4, time.Millisecond)
	avoid := map[string]time.Time{}
	for _, n := range []int{0, 1, 2} {
		avoid[fmt.Sprintf("s0-%d", n)] = time.Unix(10, 0)
	}
	for _, p := range []Policy{LeastCost{}, Random{}, NewRoundRobin(), LeastRequests{}} {
		picker := &ChainPicker{Policy: p, Rand: newSource(2), Now: second, Avoid: avoid}
		for range 50 {
			c.Assert(picker.Pick(table, nil)[0].Server, quicktest.Equals, 3)
		}
		picker.Now = 11 * second
		seen := map[int]bool{}
		for range 100 {
			seen[picker.Pick(table, nil)[0].Server] = true
		}
		c.Assert(len(seen) > 1 || p == Policy(LeastRequests{}), quicktest.IsTrue)
	}
}

// Guards against chains that use a degraded link, which only its delay shows.
func TestDegradedLinkIsAvoided(t *testing.T) {
	c := quicktest.New(t)
	table, meters := newMeasuredTable(t, 2, 2, time.Millisecond)
	l := meters["s0-0"].Link("s1-0")
	for range 100 {
		l.Delay.Observe(200 * time.Microsecond)
	}
	for range 20 {
		l.Delay.Observe(40 * time.Millisecond)
	}
	table = NewTable(table.Graph, meters, time.Unix(1, 0))
	picker := &ChainPicker{Rand: newSource(3), Now: second}
	for range 200 {
		hops := picker.Pick(table, nil)
		usedLink := hops[0].Server == 0 && hops[1].Server == 2
		c.Assert(usedLink, quicktest.IsFalse)
	}
	c.Assert(l.AvoidUntil.Load() > second, quicktest.IsTrue)
}

// Guards against chains that skip or repeat layers, for any measurements and
// each policy.
func TestChainIsComplete(t *testing.T) {
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
		picker := &ChainPicker{Policy: policy, Rand: newSource(rapid.Uint64().Draw(t, "seed"))}
		at := 0
		for _, h := range picker.Pick(NewTable(g, meters, time.Unix(0, 0)), nil) {
			if h.First != at {
				t.Fatalf("expected layer %d, got %d", at, h.First)
			}
			at = h.End
		}
		if at != layers {
			t.Fatalf("chain covers %d of %d layers", at, layers)
		}
	})
}

func TestAliasSamplerKeepsWeights(t *testing.T) {
	c := quicktest.New(t)
	sampler := newAliasSampler([]float64{1, 2, 5, 0.5, 1.5}, 10)
	counts := make([]float64, 5)
	random := newSource(4)
	const n = 200000
	for range n {
		counts[sampler.sample(uint32(random()))]++
	}
	for i, want := range []float64{0.1, 0.2, 0.5, 0.05, 0.15} {
		got := counts[i] / n
		c.Check(got > want-0.01 && got < want+0.01, quicktest.IsTrue, quicktest.Commentf("%d: %v", i, got))
	}
}

func BenchmarkChain(b *testing.B) {
	for _, shape := range []struct{ stages, width int }{{8, 75}, {24, 25}} {
		b.Run(fmt.Sprintf("%dx%d", shape.stages, shape.width), func(b *testing.B) {
			table, _ := newMeasuredTable(b, shape.stages, shape.width, time.Millisecond, 2500*time.Microsecond, 6*time.Millisecond)
			c := &ChainPicker{Policy: LeastCost{}, Rand: rand.Uint64, Now: second}
			hops := make([]Hop, 0, shape.stages)
			b.ReportAllocs()
			for b.Loop() {
				hops = c.Pick(table, hops[:0])
			}
		})
	}
}

// Guards against a zero RoundRobin that leaves servers idle: any other policy
// would look good compared with it.
func TestZeroRoundRobinIsEven(t *testing.T) {
	c := quicktest.New(t)
	table, _ := newMeasuredTable(t, 3, 6, time.Millisecond)
	picker := &ChainPicker{Policy: &RoundRobin{}, Rand: newSource(4), Now: second}
	seen := map[int]int{}
	for range 60 {
		for _, hop := range picker.Pick(table, nil) {
			seen[hop.Server]++
		}
	}
	c.Assert(seen, quicktest.HasLen, 18)
	for _, n := range seen {
		c.Assert(n, quicktest.Equals, 10)
	}
}
