package flow_test

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/flow"
	_ "fuchsiashelf.dev/parts/seed"
)

func TestCapacity(t *testing.T) {
	slow := flow.Server{Name: "slow", First: 0, End: 8, Rate: 100}
	fast := flow.Server{Name: "fast", First: 0, End: 8, Rate: 600}
	rest := flow.Server{Name: "rest", First: 8, End: 24, Rate: 500}
	whole := flow.Server{Name: "whole", First: 0, End: 24, Rate: 50}
	for _, test := range []struct {
		name string
		pool flow.Pool
		want flow.Capacity
	}{
		{"empty", flow.Pool{Layers: 24}, flow.Capacity{}},
		{"no cover", flow.Pool{Layers: 24, Servers: []flow.Server{slow, fast}}, flow.Capacity{}},
		{
			"last stage limits",
			flow.Pool{Layers: 24, Servers: []flow.Server{slow, fast, rest}},
			flow.Capacity{Rate: 500, Servers: []string{"rest"}},
		},
		{
			"a server with all layers adds",
			flow.Pool{Layers: 24, Servers: []flow.Server{whole, slow, rest}},
			flow.Capacity{Rate: 150, Servers: []string{"slow", "whole"}},
		},
		{
			"a link limits",
			flow.Pool{
				Layers: 24, Servers: []flow.Server{slow, fast, rest},
				Links: []flow.Link{{From: "fast", To: "rest", Rate: 30}},
			},
			flow.Capacity{Rate: 130, Servers: []string{"slow"}, Links: []flow.Link{{From: "fast", To: "rest", Rate: 30}}},
		},
		{
			"a link of no adjacent servers",
			flow.Pool{
				Layers: 24, Servers: []flow.Server{slow, rest},
				Links: []flow.Link{{From: "rest", To: "slow", Rate: 1}, {From: "gone", To: "rest", Rate: 1}},
			},
			flow.Capacity{Rate: 100, Servers: []string{"slow"}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Assert(test.pool.Capacity(), qt.DeepEquals, test.want)
		})
	}
}

// Checks that the maximum flow equals the minimum cut, which the test finds by
// trying every set of servers and links.
func TestCapacityEqualsMinimumCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPool(t)
		got := p.Capacity()
		if want := minimumCut(p); got.Rate != want {
			t.Fatalf("capacity %v, minimum cut %v of %+v", got.Rate, want, p)
		}
		if rate := rateOf(p, got); rate != got.Rate {
			t.Fatalf("capacity %v, but the returned cut has %v of %+v", got.Rate, rate, p)
		}
	})
}

// drawPool returns a random pool.
func drawPool(t *rapid.T) *flow.Pool {
	p := &flow.Pool{Layers: 4}
	for i := range rapid.IntRange(0, 6).Draw(t, "servers") {
		first := rapid.IntRange(0, 3).Draw(t, "first")
		p.Servers = append(p.Servers, flow.Server{
			Name: fmt.Sprint("s", i), First: first,
			End:  rapid.IntRange(first+1, 4).Draw(t, "end"),
			Rate: float64(rapid.IntRange(0, 9).Draw(t, "rate")),
		})
	}
	seen := map[flow.Link]bool{}
	for range rapid.IntRange(0, 4).Draw(t, "links") {
		l := flow.Link{
			From: fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "from")),
			To:   fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "to")),
		}
		if seen[l] {
			continue
		}
		seen[l] = true
		l.Rate = float64(rapid.IntRange(0, 9).Draw(t, "link rate"))
		p.Links = append(p.Links, l)
	}
	return p
}

// minimumCut tries to remove every set of servers and links, and returns the
// lowest rate of a set that leaves no path.
func minimumCut(p *flow.Pool) float64 {
	best := math.Inf(1)
	for set := range 1 << (len(p.Servers) + len(p.Links)) {
		rate := 0.0
		removed, cut := map[string]bool{}, map[[2]string]bool{}
		for i, s := range p.Servers {
			if set>>i&1 == 1 {
				rate += s.Rate
				removed[s.Name] = true
			}
		}
		for i, l := range p.Links {
			if set>>(len(p.Servers)+i)&1 == 1 {
				rate += l.Rate
				cut[[2]string{l.From, l.To}] = true
			}
		}
		if rate < best && !hasPath(p, removed, cut, "", 0) {
			best = rate
		}
	}
	return best
}

// hasPath reports whether a chain remains from the given server and boundary
// on.
func hasPath(p *flow.Pool, removed map[string]bool, cut map[[2]string]bool, from string, at int) bool {
	if at == p.Layers {
		return true
	}
	for _, s := range p.Servers {
		if s.First == at && !removed[s.Name] && !cut[[2]string{from, s.Name}] &&
			hasPath(p, removed, cut, s.Name, s.End) {
			return true
		}
	}
	return false
}

// rateOf returns the total rate of the servers and links of a minimum cut.
func rateOf(p *flow.Pool, c flow.Capacity) float64 {
	rate := 0.0
	for _, l := range c.Links {
		rate += l.Rate
	}
	for _, name := range c.Servers {
		for _, s := range p.Servers {
			if s.Name == name {
				rate += s.Rate
			}
		}
	}
	return rate
}

func BenchmarkCapacity(b *testing.B) {
	p := &flow.Pool{Layers: 48}
	speeds := []float64{1, 2.5, 6}
	for i := range 600 {
		first := i % 6 * 8
		p.Servers = append(p.Servers, flow.Server{
			Name: fmt.Sprint("s", i), First: first, End: first + 8, Rate: 100 * speeds[i/6%3],
		})
	}
	for b.Loop() {
		p.Capacity()
	}
}
