package view_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/view"
)

func newPublisher(servers ...string) *view.Publisher {
	p := view.New("e1", "a")
	p.Update(func(snap *view.Snapshot) {
		snap.Config = &conf.Config{Revision: 1}
		snap.Hosts = map[string]host.Host{}
		for _, name := range servers {
			snap.Hosts[name] = host.Host{Name: name}
		}
	})
	return p
}

func cordon(p *view.Publisher, server string) {
	p.Update(func(snap *view.Snapshot) {
		snap.Config = &conf.Config{Revision: snap.Config.Revision + 1}
		snap.Cordoned = view.Edit(snap.Cordoned, func(reasons map[string]view.Reason) { reasons[server] = view.Stopping })
	})
}

// Guards against a truncated response: a stop comes into force after a request
// has chosen the server and before it is sent.
func TestAcquireAfterCordon(t *testing.T) {
	c := quicktest.New(t)
	p := newPublisher("a1", "a2")
	c.Assert(p.Acquire("a1", "a2"), quicktest.IsTrue)
	cordon(p, "a2")
	count, revision, cordoned := p.InFlight("a2")
	c.Assert([]any{count, revision, cordoned}, quicktest.DeepEquals, []any{int64(1), uint64(2), true})
	c.Assert(p.Acquire("a1", "a2"), quicktest.IsFalse)
	c.Assert(p.Acquire("a1"), quicktest.IsTrue)
	p.Release("a1", "a2")
	count, _, _ = p.InFlight("a2")
	c.Assert(count, quicktest.Equals, int64(0))
	_, _, cordoned = p.InFlight("a1")
	c.Assert(cordoned, quicktest.IsFalse)
}

// Guards against requests that start on a server after InFlight has reported
// zero for it: operators remove the server when they see zero.
func TestAcquireRacesInFlight(t *testing.T) {
	c := quicktest.New(t)
	const rounds, goroutines = 300, 4
	for range rounds {
		p := newPublisher("a1")
		var drained atomic.Bool
		var late atomic.Int64
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				for p.Acquire("a1") {
					if drained.Load() {
						late.Add(1)
					}
					p.Release("a1")
				}
			})
		}
		cordon(p, "a1")
		for !drained.Load() {
			count, _, cordoned := p.InFlight("a1")
			drained.Store(cordoned && count == 0)
		}
		wg.Wait()
		c.Assert(late.Load(), quicktest.Equals, int64(0))
	}
}
