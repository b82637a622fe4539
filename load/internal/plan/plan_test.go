package plan_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/load/internal/plan"
	_ "fuchsiashelf.dev/parts/seed"
)

func newPlan(c *qt.C, rate string) *plan.Plan {
	ramp, err := plan.ParseRamp(rate)
	c.Assert(err, qt.IsNil)
	teams, err := plan.ParseMix("cantata:10,lyra:1")
	c.Assert(err, qt.IsNil)
	sizes, err := plan.ParseSizes("16:3,64:1")
	c.Assert(err, qt.IsNil)
	return &plan.Plan{Seed: 7, Ramp: ramp, Duration: 100 * time.Second, Teams: teams, Sizes: sizes, Prompts: 5}
}

func TestArrivalsRepeatWithTheSeed(t *testing.T) {
	c := qt.New(t)
	p := newPlan(c, "20")
	first, second := slices.Collect(p.Arrivals()), slices.Collect(p.Arrivals())
	c.Assert(first, qt.DeepEquals, second)
	p.Seed++
	c.Assert(slices.Collect(p.Arrivals()), qt.Not(qt.DeepEquals), first)
}

func TestArrivalsFollowRateAndWeights(t *testing.T) {
	c := qt.New(t)
	p := newPlan(c, "0s:0,100s:40")
	arrivals := slices.Collect(p.Arrivals())
	half := slices.IndexFunc(arrivals, func(a plan.Arrival) bool { return a.At > 50*time.Second })
	// A ramp from 0 to 40 per second gives 2,000 arrivals in 100 s, a quarter of
	// them in the first half.
	c.Assert(len(arrivals) > 1850 && len(arrivals) < 2150, qt.IsTrue, qt.Commentf("%d", len(arrivals)))
	c.Assert(half > 420 && half < 580, qt.IsTrue, qt.Commentf("%d", half))
	lyraCount := 0
	for _, a := range arrivals {
		if a.Team == "lyra" {
			lyraCount++
		}
	}
	c.Assert(lyraCount > 140 && lyraCount < 225, qt.IsTrue, qt.Commentf("%d", lyraCount))
}

func TestLimitBoundsArrivals(t *testing.T) {
	c := qt.New(t)
	p := newPlan(c, "1000")
	p.Limit = 17
	c.Assert(slices.Collect(p.Arrivals()), qt.HasLen, 17)
}

func TestRampStaysBetweenItsPoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r plan.Ramp
		at, low, high := time.Duration(0), 1e9, 0.0
		for range rapid.IntRange(1, 6).Draw(t, "points") {
			rate := rapid.Float64Range(0, 1e4).Draw(t, "rate")
			low, high = min(low, rate), max(high, rate)
			r = append(r, plan.Point{At: at, Rate: rate})
			at += time.Duration(rapid.IntRange(1, 1e9).Draw(t, "step"))
		}
		got := r.Rate(time.Duration(rapid.Int64Range(0, 7e9).Draw(t, "at")))
		const tolerance = 1e-6
		if got < low-tolerance || got > high+tolerance {
			t.Fatalf("rate %v outside %v to %v", got, low, high)
		}
	})
}

func TestInvalidSettingsAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "x", "-1", "5s:1,5s:2", "5s:1,2s:3", "q:1"} {
		_, err := plan.ParseRamp(text)
		c.Check(err, qt.ErrorMatches, "rate: .*", qt.Commentf("%q", text))
	}
	for _, text := range []string{"", "a:0", ":1", "a:x"} {
		_, err := plan.ParseMix(text)
		c.Check(err, qt.ErrorMatches, "mix: .*", qt.Commentf("%q", text))
	}
	_, err := plan.ParseSizes("16,many")
	c.Assert(err, qt.ErrorMatches, "tokens: .*")
}
