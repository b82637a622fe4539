package share

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// of returns the demand of a class whose requests take 10 each.
func of(rank int, running, waiting float64) demand {
	return demand{Usage: Usage{Running: running, Waiting: waiting}, rank: rank, served: running, perRequest: 10}
}

// Guards against a large team that leaves nothing free for a small one, against a small one
// that leaves something, and against one that gets more than its share by asking for more.
func TestTeamsOfOneRank(t *testing.T) {
	h := decide([]demand{of(0, 900, 500), of(0, 50, 50)})
	qt.Check(t, h.classes[1], qt.Equals, 0.0)
	// It leaves the 50 that wait and twice the deviation: the square root of 10 requests.
	qt.Check(t, math.Abs(h.reserved[1]-(50+2*math.Sqrt(100*10))) < 1, qt.IsTrue, qt.Commentf("%f", h.reserved[1]))
	qt.Check(t, math.Abs(h.classes[0]-0.1065) < 0.002, qt.IsTrue, qt.Commentf("%f", h.classes[0]))
	h = decide([]demand{of(0, 500, 500), of(0, 450, 5000)})
	qt.Check(t, h.classes[1], qt.Equals, 0.0)
	qt.Check(t, h.classes[0] < 0.03, qt.IsTrue, qt.Commentf("%f", h.classes[0]))
}

// Guards against more urgent requests that find no capacity, against starving the others,
// and against an order by teams that ends at the first rank.
func TestRanks(t *testing.T) {
	urgent, large, small := of(0, 200, 100), of(2, 700, 900), of(2, 50, 50)
	h := decide([]demand{large, urgent, small})
	qt.Check(t, h.classes[1], qt.Equals, 0.0)
	// Of 950 that run, the urgent ones lack 100, and 300 deviate by the square root of 30 requests.
	reserve := 100 + 2*math.Sqrt(300*10)
	qt.Check(t, math.Abs(h.classes[2]-reserve/(950+reserve)) < 1e-9, qt.IsTrue, qt.Commentf("%f", h.classes[2]))
	qt.Check(t, h.classes[0] > h.classes[2]+0.05, qt.IsTrue, qt.Commentf("%f", h.classes[0]))
	qt.Check(t, h.ranks[2], qt.Equals, h.classes[2])
	qt.Check(t, math.Abs(h.reserved[1]-reserve) < 1e-9, qt.IsTrue, qt.Commentf("%f", h.reserved[1]))
	h = decide([]demand{of(2, 40, 900), of(0, 900, 900), of(2, 10, 10)})
	qt.Check(t, h.classes, qt.DeepEquals, []float64{0, 0, 0})
}

// Guards against reserves without bound for callers that repeat refused requests at once,
// and for requests that wait, are refused and wait again.
func TestRefusedWorkIsBounded(t *testing.T) {
	repeats := of(0, 20, 0)
	repeats.Refused = 1e6
	all := totals{running: 1000, served: 500}
	qt.Check(t, repeats.unmet(all), qt.Equals, minShare*1000)
	repeats.Running = 100
	qt.Check(t, repeats.unmet(all), qt.Equals, 100.0)
	repeats.Waiting = 150
	qt.Check(t, repeats.unmet(all), qt.Equals, 250.0)
	repeats.Refused = 10 // These would run for two seconds.
	qt.Check(t, repeats.unmet(all), qt.Equals, 150.0)
}

// Guards against headrooms that are out of bounds, against nobody having access to free
// capacity, and against shares that exceed what there is.
func TestHeadroomsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amounts := rapid.Float64Range(0, 1e6)
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) demand {
			d := of(rapid.IntRange(0, 3).Draw(t, "rank"), amounts.Draw(t, "running"), amounts.Draw(t, "waiting"))
			d.Refused, d.served = amounts.Draw(t, "refused"), amounts.Draw(t, "served")
			return d
		}), 1, 8).Draw(t, "demands")
		h := decide(list)
		least := 1.0
		for _, f := range append(h.classes, h.ranks[:]...) {
			if math.IsNaN(f) || f < 0 || f > maxHeadroom {
				t.Fatalf("headroom %f", f)
			}
		}
		for _, f := range h.classes {
			least = min(least, f)
		}
		variances := make([]float64, len(list))
		demands, total := make([]float64, len(list)), 0.0
		for i, d := range list {
			demands[i], variances[i] = d.Running+d.Waiting, d.Running
			total += d.Running
		}
		sum := 0.0
		for _, f := range shares(total, demands, variances) {
			sum += f
		}
		if sum > total*1.000001 {
			t.Fatalf("shares of %f in %f", sum, total)
		}
		if least > 0 {
			t.Fatalf("nobody has access to all capacity: %v", fmt.Sprint(h.classes))
		}
	})
}
