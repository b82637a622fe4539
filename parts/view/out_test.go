package view

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/host"
)

// A server refuses new work since it is leaving, while the host list, which
// lags, still calls it live. Were the mark lost with the next host list, the
// server would get work again and callers would see refusals.
func TestOutIsUnion(t *testing.T) {
	c := quicktest.New(t)
	h := New("e1", "a")
	h.Update(func(s *Snapshot) { s.Cordon(Refusing, "a1") })
	h.Update(func(s *Snapshot) { s.SetCordoned(HostLeaving, map[string]bool{"a1": true, "a2": true}) })
	c.Assert(h.Load().Cordoned, quicktest.DeepEquals, map[string]Reason{"a1": HostLeaving, "a2": HostLeaving})
	h.Update(func(s *Snapshot) { s.SetCordoned(HostLeaving, nil) })
	c.Assert(h.Load().Cordoned, quicktest.DeepEquals, map[string]Reason{"a1": Refusing})
	h.Update(func(s *Snapshot) { s.Uncordon(Refusing, "a1") })
	c.Assert(h.Load().Cordoned, quicktest.HasLen, 0)
}

// A server that is suspected twice is avoided for the longer of the two, and
// one whose time is over is forgotten.
func TestSuspect(t *testing.T) {
	c := quicktest.New(t)
	h := New("e1", "a")
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	h.Update(func(s *Snapshot) { s.Suspect("a1", at(10), at(1)) })
	before := h.Load()
	h.Update(func(s *Snapshot) { s.Suspect("a1", at(5), at(1)) })
	h.Update(func(s *Snapshot) { s.Suspect("a2", at(20), at(2)) })
	c.Assert(h.Load().SuspectedServers, quicktest.DeepEquals, map[string]time.Time{"a1": at(10), "a2": at(20)})
	h.Update(func(s *Snapshot) { s.Suspect("a3", at(30), at(10)) })
	c.Assert(h.Load().SuspectedServers, quicktest.DeepEquals, map[string]time.Time{"a2": at(20), "a3": at(30)})
	c.Assert(before.SuspectedServers, quicktest.HasLen, 1)
}

func TestEpoch(t *testing.T) {
	c := quicktest.New(t)
	h := New("e1", "a")
	h.Update(func(s *Snapshot) { s.Hosts = map[string]host.Host{"a1": {Name: "a1"}} })
	first := h.Load().Epoch
	h.Update(func(s *Snapshot) { s.SetCordoned(Stopping, map[string]bool{}) })
	c.Assert(h.Load().Epoch, quicktest.Equals, first)
	h.Update(func(s *Snapshot) { s.Cordon(Stopping, "a1") })
	c.Assert(h.Load().Epoch, quicktest.Equals, first+1)
}
