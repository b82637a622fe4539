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

func holder(servers ...string) *view.Publisher {
	h := view.New("e1", "a")
	h.Update(func(s *view.Snapshot) {
		s.Config = &conf.Config{Revision: 1}
		s.Hosts = map[string]host.Host{}
		for _, name := range servers {
			s.Hosts[name] = host.Host{Name: name}
		}
	})
	return h
}

func stop(h *view.Publisher, server string) {
	h.Update(func(s *view.Snapshot) {
		s.Config = &conf.Config{Revision: s.Config.Revision + 1}
		s.Cordoned = view.Edit(s.Cordoned, func(m map[string]view.Reason) { m[server] = view.Stopping })
	})
}

// A request has chosen its servers just before a stop of one of them comes
// into force. If it still went there, the server could be taken away under
// it, and its caller would see half an answer.
func TestEnterAfterStop(t *testing.T) {
	c := quicktest.New(t)
	h := holder("a1", "a2")
	c.Assert(h.Acquire("a1", "a2"), quicktest.IsTrue)
	stop(h, "a2")
	count, revision, out := h.InFlight("a2")
	c.Assert([]any{count, revision, out}, quicktest.DeepEquals, []any{int64(1), uint64(2), true})
	c.Assert(h.Acquire("a1", "a2"), quicktest.IsFalse)
	c.Assert(h.Acquire("a1"), quicktest.IsTrue)
	h.Release("a1", "a2")
	count, _, _ = h.InFlight("a2")
	c.Assert(count, quicktest.Equals, int64(0))
	_, _, out = h.InFlight("a1")
	c.Assert(out, quicktest.IsFalse)
}

// Requests begin on several threads while a stop comes into force and is
// reported. Once a report says that nothing is in flight, no request may be
// on the server: the operators take it away on the strength of that report.
func TestEnterRacesReport(t *testing.T) {
	c := quicktest.New(t)
	const rounds, threads = 300, 4
	for range rounds {
		h := holder("a1")
		var safe atomic.Bool
		var late atomic.Int64
		var all sync.WaitGroup
		for range threads {
			all.Go(func() {
				for h.Acquire("a1") {
					if safe.Load() {
						late.Add(1)
					}
					h.Release("a1")
				}
			})
		}
		stop(h, "a1")
		for !safe.Load() {
			count, _, out := h.InFlight("a1")
			safe.Store(out && count == 0)
		}
		all.Wait()
		c.Assert(late.Load(), quicktest.Equals, int64(0))
	}
}
