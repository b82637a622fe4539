package view

import (
	"testing"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/host"
)

// A server refuses new work since it is leaving, while the host list, which
// lags, still calls it live. Were the mark lost with the next host list, the
// server would get work again and callers would see refusals.
func TestOutIsUnion(t *testing.T) {
	c := quicktest.New(t)
	h := New("e1", "a")
	h.Update(func(s *Snapshot) { s.MarkOut(Refusing, "a1") })
	h.Update(func(s *Snapshot) { s.SetOut(HostLeaving, map[string]bool{"a1": true, "a2": true}) })
	c.Assert(h.Load().Out, quicktest.DeepEquals, map[string]Reason{"a1": HostLeaving, "a2": HostLeaving})
	h.Update(func(s *Snapshot) { s.SetOut(HostLeaving, nil) })
	c.Assert(h.Load().Out, quicktest.DeepEquals, map[string]Reason{"a1": Refusing})
	h.Update(func(s *Snapshot) { s.ClearOut(Refusing, "a1") })
	c.Assert(h.Load().Out, quicktest.HasLen, 0)
}

func TestEpoch(t *testing.T) {
	c := quicktest.New(t)
	h := New("e1", "a")
	h.Update(func(s *Snapshot) { s.Hosts = map[string]host.Host{"a1": {Name: "a1"}} })
	first := h.Load().Epoch
	h.Update(func(s *Snapshot) { s.SetOut(Stopping, map[string]bool{}) })
	c.Assert(h.Load().Epoch, quicktest.Equals, first)
	h.Update(func(s *Snapshot) { s.MarkOut(Stopping, "a1") })
	c.Assert(h.Load().Epoch, quicktest.Equals, first+1)
}
