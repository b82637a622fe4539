package admit_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/fault"
)

// newController returns a controller with a fixed limit.
func newController(limit float64) *admit.Controller {
	return &admit.Controller{
		Limits:  admit.Limits{MaxWait: time.Hour, MaxRequests: 1000, MaxBytes: 1 << 20},
		Limiter: admit.Limiter{Target: 1.5, Min: limit, Max: limit, Value: limit},
	}
}

// newRequest returns a request with a distant deadline.
func newRequest(team string) admit.Request {
	return admit.Request{Team: team, Weight: 1, Cost: 1, Deadline: time.Now().Add(time.Hour)}
}

// Guards against more running requests than the limit, and against slots that
// are never released, when many callers send requests at once and some of them
// give up while they wait.
func TestControllerEnforcesLimit(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	ctl := newController(3)
	var running, peak, ran atomic.Int64
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%5 == 0 {
				go cancel()
			}
			grant, e := ctl.Admit(ctx, newRequest("a"))
			if e != nil {
				c.Check(e.Verdict, qt.Equals, fault.NotRun)
				return
			}
			defer grant.Release()
			now := running.Add(1)
			defer running.Add(-1)
			for old := peak.Load(); now > old && !peak.CompareAndSwap(old, now); old = peak.Load() {
			}
			ran.Add(1)
		})
	}
	callers.Wait()
	c.Assert(peak.Load() <= 3, qt.IsTrue)
	c.Assert(ran.Load() >= 160, qt.IsTrue)
	c.Assert(ctl.Stats(), qt.Equals, admit.Stats{Limit: 3})
}

func TestControllerRefusesAtDeadline(t *testing.T) {
	c := qt.New(t)
	ctl := newController(1)
	grant, e := ctl.Admit(context.Background(), newRequest("a"))
	c.Assert(e == nil, qt.IsTrue)
	defer grant.Release()
	late := newRequest("b")
	late.Deadline = time.Now().Add(time.Millisecond)
	_, e = ctl.Admit(context.Background(), late)
	c.Assert(e.Code, qt.Equals, fault.Deadline)
	c.Assert(e.Verdict, qt.Equals, fault.NotRun)
	c.Assert(ctl.Stats(), qt.Equals, admit.Stats{Limit: 1, Running: 1})
}

func BenchmarkController(b *testing.B) {
	ctl := newController(1000)
	req := newRequest("a")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			grant, e := ctl.Admit(context.Background(), req)
			if e != nil {
				b.Error(e)
				return
			}
			grant.Release()
		}
	})
}
