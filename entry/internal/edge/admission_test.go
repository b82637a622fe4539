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
	publisher := view.New("e1", "a")
	publisher.Update(func(s *view.Snapshot) {
		s.Hosts = map[string]host.Host{}
		for _, name := range entries {
			s.Hosts[name] = host.Host{Name: name, Role: host.Entry, State: host.Live}
		}
	})
	return &Admission{View: publisher, TargetWait: 1.5, Limits: admit.Limits{MaxWait: time.Second, MaxRequests: 10, MaxBytes: 1 << 20}}
}

func modelRequest(q quota.Quota) *admissionRequest {
	return &admissionRequest{
		id: "r1", team: team.Team{Name: "cantata", Quota: q},
		pool: pool.Pool{Name: "lake", Model: "lotus", Servers: []string{"a1"}}, cost: 4,
		deadline: time.Now().Add(time.Minute),
	}
}

// A team exceeds its quota through one of four entry hosts. The entry host admits
// a quarter of the quota and refuses the rest at once, as not run.
func TestRateLimitRefusesExcess(t *testing.T) {
	c := qt.New(t)
	a := newAdmission("e1", "e2", "e3", "e4")
	snap := a.View.Load()
	admitted := 0
	for range 100 {
		grant, e := a.admit(context.Background(), snap, modelRequest(quota.Quota{Share: 1, Rate: 0.01, Burst: 40}))
		if e == nil {
			grant.Release()
			admitted++
			continue
		}
		c.Assert(e.Code, qt.Equals, fault.OverLimit)
		c.Assert(e.Verdict, qt.Equals, fault.NotRun)
		c.Assert(e.RetryAfter > 0, qt.IsTrue)
	}
	c.Assert(admitted, qt.Equals, 10)
}

// More requests arrive than the pool may run and queue. They are refused on
// arrival, and a request that ends makes room for the next.
func TestFullPoolRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	a := newAdmission("e1")
	a.Limits.MaxRequests = 0
	snap := a.View.Load()
	var grants []admit.Grant
	var refusal *fault.Error
	for refusal == nil {
		grant, e := a.admit(context.Background(), snap, modelRequest(quota.Quota{Share: 1}))
		if refusal = e; e == nil {
			grants = append(grants, grant)
		}
	}
	c.Assert(len(grants), qt.Equals, initialLimitPerServer)
	c.Assert(refusal.Code, qt.Equals, fault.Overloaded)
	c.Assert(refusal.Verdict, qt.Equals, fault.NotRun)
	grants[0].Release()
	_, e := a.admit(context.Background(), snap, modelRequest(quota.Quota{Share: 1}))
	c.Assert(e == nil, qt.IsTrue)
}

func TestNilAdmissionAdmitsAll(t *testing.T) {
	c := qt.New(t)
	var a *Admission
	grant, e := a.admit(context.Background(), nil, modelRequest(quota.Quota{}))
	c.Assert(e == nil, qt.IsTrue)
	grant.Release()
	c.Assert(a.lookup("lake"), qt.IsNil)
}
