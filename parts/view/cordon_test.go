package view

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/host"
)

// Guards against new work for a server that refuses it because it is leaving,
// while the host list, which lags, still shows the server as live.
func TestCordonedIsUnionOfSources(t *testing.T) {
	c := quicktest.New(t)
	p := New("e1", "a")
	p.Update(func(s *Snapshot) { s.Cordon(Refusing, "a1") })
	p.Update(func(s *Snapshot) { s.SetCordoned(HostLeaving, map[string]bool{"a1": true, "a2": true}) })
	c.Assert(p.Load().Cordoned, quicktest.DeepEquals, map[string]Reason{"a1": HostLeaving, "a2": HostLeaving})
	p.Update(func(s *Snapshot) { s.SetCordoned(HostLeaving, nil) })
	c.Assert(p.Load().Cordoned, quicktest.DeepEquals, map[string]Reason{"a1": Refusing})
	p.Update(func(s *Snapshot) { s.Uncordon(Refusing, "a1") })
	c.Assert(p.Load().Cordoned, quicktest.HasLen, 0)
}

// A server that is suspected twice stays so for the longer of the two times,
// and expired entries are dropped.
func TestSuspect(t *testing.T) {
	c := quicktest.New(t)
	p := New("e1", "a")
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	p.Update(func(s *Snapshot) { s.Suspect("a1", at(10), at(1)) })
	before := p.Load()
	p.Update(func(s *Snapshot) { s.Suspect("a1", at(5), at(1)) })
	p.Update(func(s *Snapshot) { s.Suspect("a2", at(20), at(2)) })
	c.Assert(p.Load().SuspectedServers, quicktest.DeepEquals, map[string]time.Time{"a1": at(10), "a2": at(20)})
	p.Update(func(s *Snapshot) { s.Suspect("a3", at(30), at(10)) })
	c.Assert(p.Load().SuspectedServers, quicktest.DeepEquals, map[string]time.Time{"a2": at(20), "a3": at(30)})
	c.Assert(before.SuspectedServers, quicktest.HasLen, 1)
}

// Guards against caches that are rebuilt although nothing changed, or kept
// although the set of cordoned servers changed.
func TestEpoch(t *testing.T) {
	c := quicktest.New(t)
	p := New("e1", "a")
	p.Update(func(s *Snapshot) { s.Hosts = map[string]host.Host{"a1": {Name: "a1"}} })
	first := p.Load().Epoch
	p.Update(func(s *Snapshot) { s.SetCordoned(Stopping, map[string]bool{}) })
	c.Assert(p.Load().Epoch, quicktest.Equals, first)
	p.Update(func(s *Snapshot) { s.Cordon(Stopping, "a1") })
	c.Assert(p.Load().Epoch, quicktest.Equals, first+1)
}
