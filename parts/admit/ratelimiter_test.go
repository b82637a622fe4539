package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/quota"
)

// passed counts the requests of two seconds that entry hosts let through, of
// a hundred a second to each.
func passed(d quota.Quota, hosts []*admit.RateLimiter, listed int) int {
	n := 0
	now := time.Now()
	for i := range 200 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, r := range hosts {
			if r.Allow(at, "cantata", d, admit.Peers{Listed: listed, Alive: 1}) == nil {
				n++
			}
		}
	}
	return n
}

// Two failure domains are cut off from each other. Each host goes on with its
// own part of the limit, so that the hosts together never let more through
// than the quota allows, though none of them knows what the others do.
func TestRateHoldsOverHostsThatCannotReachEachOther(t *testing.T) {
	c := qt.New(t)
	d := quota.Quota{Rate: 20, Burst: 4}
	hosts := []*admit.RateLimiter{{}, {}, {}, {}}
	got := passed(d, hosts, 4)
	c.Assert(got >= 40 && got <= 44, qt.IsTrue, qt.Commentf("%d", got))
	c.Assert(passed(quota.Quota{}, hosts, 4), qt.Equals, 800)
}

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	c := qt.New(t)
	r := &admit.RateLimiter{}
	d := quota.Quota{Rate: 0.5, Burst: 1}
	now := time.Now()
	c.Assert(r.Allow(now, "cantata", d, admit.Peers{Listed: 1, Alive: 1}) == nil, qt.IsTrue)
	e := r.Allow(now, "cantata", d, admit.Peers{Listed: 1, Alive: 1})
	c.Assert(e.Code, qt.Equals, fault.OverLimit)
	c.Assert(e.Verdict, qt.Equals, fault.NotRun)
	c.Assert(e.RetryAfter > 1900*time.Millisecond && e.RetryAfter < 2100*time.Millisecond, qt.IsTrue)
}

// The number of entry hosts changes whenever one is replaced, a hundred times
// a day. A bucket that came back full each time would let a team far over its
// limit whenever the fleet is restless.
func TestChangesOfTheFleetFillNoBucket(t *testing.T) {
	c := qt.New(t)
	r := &admit.RateLimiter{}
	d := quota.Quota{Rate: 0.001, Burst: 100}
	now := time.Now()
	n := 0
	for i := range 400 {
		if r.Allow(now, "cantata", d, admit.Peers{Listed: 1 + i%2, Alive: 1}) == nil {
			n++
		}
	}
	c.Assert(n <= 101, qt.IsTrue, qt.Commentf("%d", n))
}
