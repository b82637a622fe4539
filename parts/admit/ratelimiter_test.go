package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/quota"
)

// countAllowed returns how many requests of two seconds the entry hosts allow,
// at a hundred per second on each.
func countAllowed(q quota.Quota, limiters []*admit.RateLimiter, listed int) int {
	n := 0
	now := time.Now()
	for i := range 200 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, r := range limiters {
			if r.Allow(at, "cantata", q, admit.Peers{Listed: listed, Alive: 1}) == nil {
				n++
			}
		}
	}
	return n
}

// Guards against exceeding the quota when two failure domains are partitioned
// and no entry host knows the demand on the other side: each keeps to its own
// part of the limit.
func TestRateLimitHoldsInPartition(t *testing.T) {
	c := qt.New(t)
	q := quota.Quota{Rate: 20, Burst: 4}
	limiters := []*admit.RateLimiter{{}, {}, {}, {}}
	got := countAllowed(q, limiters, 4)
	c.Assert(got >= 40 && got <= 44, qt.IsTrue, qt.Commentf("%d", got))
	c.Assert(countAllowed(quota.Quota{}, limiters, 4), qt.Equals, 800)
}

func TestRefusalSetsRetryAfter(t *testing.T) {
	c := qt.New(t)
	r := &admit.RateLimiter{}
	q := quota.Quota{Rate: 0.5, Burst: 1}
	now := time.Now()
	c.Assert(r.Allow(now, "cantata", q, admit.Peers{Listed: 1, Alive: 1}) == nil, qt.IsTrue)
	e := r.Allow(now, "cantata", q, admit.Peers{Listed: 1, Alive: 1})
	c.Assert(e.Code, qt.Equals, fault.OverLimit)
	c.Assert(e.Verdict, qt.Equals, fault.NotRun)
	c.Assert(e.RetryAfter > 1900*time.Millisecond && e.RetryAfter < 2100*time.Millisecond, qt.IsTrue)
}

// Guards against a team that far exceeds its limit because each change of the
// number of entry hosts refills its bucket. Entry hosts are replaced a hundred
// times a day.
func TestMembershipChangesDoNotRefillBuckets(t *testing.T) {
	c := qt.New(t)
	r := &admit.RateLimiter{}
	q := quota.Quota{Rate: 0.001, Burst: 100}
	now := time.Now()
	n := 0
	for i := range 400 {
		if r.Allow(now, "cantata", q, admit.Peers{Listed: 1 + i%2, Alive: 1}) == nil {
			n++
		}
	}
	c.Assert(n <= 101, qt.IsTrue, qt.Commentf("%d", n))
}
