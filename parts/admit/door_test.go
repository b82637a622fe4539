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

func newDoor(limit float64) *admit.Door {
	return &admit.Door{
		Bounds: admit.Bounds{Wait: time.Hour, Requests: 1000, Bytes: 1 << 20},
		Limit:  admit.Limit{Target: 1.5, Least: limit, Most: limit, Value: limit},
	}
}

func soon(team string) admit.Ask {
	return admit.Ask{Team: team, Weight: 1, Cost: 1, Deadline: time.Now().Add(time.Hour)}
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
			grant, e := d.Enter(ctx, soon("a"))
			if e != nil {
				c.Check(e.Verdict, qt.Equals, fault.NotRun)
				return
			}
			defer grant.Leave()
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
	c.Assert(d.Load(), qt.Equals, admit.Load{Limit: 3})
}

func TestDoorRefusesAtTheDeadline(t *testing.T) {
	c := qt.New(t)
	d := newDoor(1)
	grant, e := d.Enter(context.Background(), soon("a"))
	c.Assert(e == nil, qt.IsTrue)
	defer grant.Leave()
	late := soon("b")
	late.Deadline = time.Now().Add(time.Millisecond)
	_, e = d.Enter(context.Background(), late)
	c.Assert(e.Code, qt.Equals, fault.Deadline)
	c.Assert(e.Verdict, qt.Equals, fault.NotRun)
	c.Assert(d.Load(), qt.Equals, admit.Load{Limit: 1, Running: 1})
}

func BenchmarkDoor(b *testing.B) {
	d := newDoor(1000)
	a := soon("a")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			grant, e := d.Enter(context.Background(), a)
			if e != nil {
				b.Error(e)
				return
			}
			grant.Leave()
		}
	})
}
