package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/quota"
	_ "fuchsiashelf.dev/parts/seed"
)

// Guards against parts of entry hosts that add up to more than the limit, for
// any demand, with the same information or on both sides of a partition.
func TestLocalRatesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.1, 1000).Draw(t, "limit")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 2000), 1, 12).Draw(t, "demands")
		split := rapid.IntRange(0, len(demands)).Draw(t, "split")
		sum := 0.0
		for _, side := range [][]float64{demands[:split], demands[split:]} {
			total := 0.0
			for _, d := range side {
				total += d
			}
			for _, d := range side {
				sum += admit.LocalRate(limit, d, total-d, len(side), len(demands))
			}
		}
		if sum > limit*1.000001 {
			t.Fatalf("local rates add up to %v, limit %v", sum, limit)
		}
	})
}

// Guards against refusals within the limit when the load balancer sends all
// requests of a team to one of four entry hosts: most would be refused if each
// entry host applied a fourth of the limit.
func TestLocalRateFollowsDemand(t *testing.T) {
	c := qt.New(t)
	q := quota.Quota{Rate: 100, Burst: 10}
	count := func(others func(string) float64) int {
		r := &admit.RateLimiter{}
		peers := admit.Peers{Listed: 4, Alive: 4, Rate: others}
		now := time.Now()
		allowed := 0
		for i := range 800 {
			if r.Allow(now.Add(time.Duration(i)*time.Second/80), "cantata", q, peers) == nil && i >= 400 {
				allowed++
			}
		}
		return allowed
	}
	c.Assert(count(func(string) float64 { return 0 }), qt.Equals, 400)
	// The demand at the others takes up their whole parts: little is left.
	busy := count(func(string) float64 { return 240 })
	c.Assert(busy >= 100 && busy <= 140, qt.IsTrue, qt.Commentf("%d", busy))
}

// Guards against a rate that is reported for ever after a team stopped sending
// requests: the other entry hosts would reserve part of its limit for requests
// that never come.
func TestUsageOfQuietTeamEnds(t *testing.T) {
	c := qt.New(t)
	r := &admit.RateLimiter{}
	now := time.Now()
	for i := range 300 {
		r.Allow(now.Add(time.Duration(i)*10*time.Millisecond), "cantata", quota.Quota{Rate: 10}, admit.Peers{Listed: 1, Alive: 1})
	}
	now = now.Add(3 * time.Second)
	c.Assert(r.Usage(now)["cantata"] > 50, qt.IsTrue)
	for range 30 {
		now = now.Add(time.Second)
		r.Usage(now)
	}
	c.Assert(r.Usage(now), qt.HasLen, 0)
}
