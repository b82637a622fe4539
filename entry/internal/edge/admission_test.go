package edge

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/quota"
	"fuchsiashelf.dev/parts/team"
	"fuchsiashelf.dev/parts/view"
)

func newAdmission(entries ...string) *Admission {
	holder := view.New("e1", "a")
	holder.Update(func(s *view.Snapshot) {
		s.Hosts = map[string]host.Host{}
		for _, name := range entries {
			s.Hosts[name] = host.Host{Name: name, Role: host.Entry, State: host.Live}
		}
	})
	return &Admission{View: holder, TargetWait: 1.5, Limits: admit.Limits{MaxWait: time.Second, MaxRequests: 10, MaxBytes: 1 << 20}}
}

func model(d quota.Quota) *entering {
	return &entering{
		request: "r1", team: team.Team{Name: "cantata", Quota: d},
		pool: pool.Pool{Name: "lake", Model: "lotus", Servers: []string{"a1"}}, cost: 4,
		deadline: time.Now().Add(time.Minute),
	}
}

// A team sends more than its quota allows, through one of four entry hosts.
// The host lets a quarter through, and the rest is told so at once, with the
// word that it did not run.
func TestTeamsBeyondTheirRateAreRefused(t *testing.T) {
	c := qt.New(t)
	a := newAdmission("e1", "e2", "e3", "e4")
	snap := a.View.Load()
	passed := 0
	for range 100 {
		grant, e := a.enter(context.Background(), snap, model(quota.Quota{Share: 1, Rate: 0.01, Burst: 40}))
		if e == nil {
			grant.Release()
			passed++
			continue
		}
		c.Assert(e.Code, qt.Equals, fault.OverLimit)
		c.Assert(e.Verdict, qt.Equals, fault.NotRun)
		c.Assert(e.RetryAfter > 0, qt.IsTrue)
	}
	c.Assert(passed, qt.Equals, 10)
}

// More requests come than the pool runs at once and than may wait. Each gets
// its answer on arrival, and one that ends makes room for the next.
func TestFullPoolRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	a := newAdmission("e1")
	a.Limits.MaxRequests = 0
	snap := a.View.Load()
	var grants []admit.Grant
	var last *fault.Error
	for last == nil {
		grant, e := a.enter(context.Background(), snap, model(quota.Quota{Share: 1}))
		if last = e; e == nil {
			grants = append(grants, grant)
		}
	}
	c.Assert(len(grants), qt.Equals, startPerServer)
	c.Assert(last.Code, qt.Equals, fault.Overloaded)
	c.Assert(last.Verdict, qt.Equals, fault.NotRun)
	grants[0].Release()
	_, e := a.enter(context.Background(), snap, model(quota.Quota{Share: 1}))
	c.Assert(e == nil, qt.IsTrue)
}

func TestNoAdmissionLetsAllThrough(t *testing.T) {
	c := qt.New(t)
	var none *Admission
	grant, e := none.enter(context.Background(), nil, model(quota.Quota{}))
	c.Assert(e == nil, qt.IsTrue)
	grant.Release()
	c.Assert(none.known("lake"), qt.IsNil)
}
