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

func newDoor(limit float64) *admit.Controller {
	return &admit.Controller{
		Limits:  admit.Limits{MaxWait: time.Hour, MaxRequests: 1000, MaxBytes: 1 << 20},
		Limiter: admit.Limiter{Target: 1.5, Min: limit, Max: limit, Value: limit},
	}
}

func soon(team string) admit.Request {
	return admit.Request{Team: team, Weight: 1, Cost: 1, Deadline: time.Now().Add(time.Hour)}
}

// Many callers at once, some of which give up while they wait. Never do more
// than the limit run, and at the end no place is lost.
func TestDoorKeepsTheLimit(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	d := newDoor(3)
	var running, most, ran atomic.Int64
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%5 == 0 {
				go cancel()
			}
			grant, e := d.Admit(ctx, soon("a"))
			if e != nil {
				c.Check(e.Verdict, qt.Equals, fault.NotRun)
				return
			}
			defer grant.Release()
			now := running.Add(1)
			defer running.Add(-1)
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
			}
			ran.Add(1)
		})
	}
	callers.Wait()
	c.Assert(most.Load() <= 3, qt.IsTrue)
	c.Assert(ran.Load() >= 160, qt.IsTrue)
	c.Assert(d.Stats(), qt.Equals, admit.Stats{Limit: 3})
}

func TestDoorRefusesAtTheDeadline(t *testing.T) {
	c := qt.New(t)
	d := newDoor(1)
	grant, e := d.Admit(context.Background(), soon("a"))
	c.Assert(e == nil, qt.IsTrue)
	defer grant.Release()
	late := soon("b")
	late.Deadline = time.Now().Add(time.Millisecond)
	_, e = d.Admit(context.Background(), late)
	c.Assert(e.Code, qt.Equals, fault.Deadline)
	c.Assert(e.Verdict, qt.Equals, fault.NotRun)
	c.Assert(d.Stats(), qt.Equals, admit.Stats{Limit: 1, Running: 1})
}

func BenchmarkDoor(b *testing.B) {
	d := newDoor(1000)
	a := soon("a")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			grant, e := d.Admit(context.Background(), a)
			if e != nil {
				b.Error(e)
				return
			}
			grant.Release()
		}
	})
}
