package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/quota"
)

// Whatever the hosts of a fleet are asked for, the parts of those that know
// the same never add up to more than the limit, on both sides of a partition
// taken together too.
func TestPartsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.1, 1000).Draw(t, "limit")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 2000), 1, 12).Draw(t, "demands")
		cut := rapid.IntRange(0, len(demands)).Draw(t, "cut")
		sum := 0.0
		for _, side := range [][]float64{demands[:cut], demands[cut:]} {
			total := 0.0
			for _, d := range side {
				total += d
			}
			for _, d := range side {
				sum += admit.LocalRate(limit, d, total-d, len(side), len(demands))
			}
		}
		if sum > limit*1.000001 {
			t.Fatalf("parts add up to %v of %v", sum, limit)
		}
	})
}

// The balancer sends all requests of a team to one of four entry hosts. They
// are within the team's limit, and yet most would be refused if each host let
// a fourth of the limit through.
func TestLimitFollowsTheRequests(t *testing.T) {
	c := qt.New(t)
	d := quota.Quota{Rate: 100, Burst: 10}
	count := func(others func(string) float64) int {
		r := &admit.RateLimiter{}
		fleet := admit.Peers{Listed: 4, Alive: 4, Rate: others}
		now := time.Now()
		passed := 0
		for i := range 800 {
			if r.Allow(now.Add(time.Duration(i)*time.Second/80), "cantata", d, fleet) == nil && i >= 400 {
				passed++
			}
		}
		return passed
	}
	c.Assert(count(func(string) float64 { return 0 }), qt.Equals, 400)
	// The others are asked for as much as their whole part: little is left.
	busy := count(func(string) float64 { return 240 })
	c.Assert(busy >= 100 && busy <= 140, qt.IsTrue, qt.Commentf("%d", busy))
}

// A team goes quiet. Were its last rate told on for good, the other hosts
// would leave room for requests that never come.
func TestUsageOfAQuietTeamEnds(t *testing.T) {
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
