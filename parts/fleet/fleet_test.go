package fleet_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fleet"
)

// Guards against requests to a server that has ended: its entry remains for a
// while, and a newer server that refuses them may use its address.
func TestAddressBelongsToNewestServer(t *testing.T) {
	v := fleet.New([]*fleet.Server{
		{ID: "old", Service: "assist", Address: "a:1", StartedAt: time.Unix(1, 0), First: 0, End: 80},
		{ID: "young", Service: "assist", Address: "a:1", StartedAt: time.Unix(9, 0)},
		{ID: "other", Service: "assist", Address: "b:1", StartedAt: time.Unix(1, 0)},
		{ID: "moved", Service: "booking", Address: "b:1", StartedAt: time.Unix(2, 0)},
	})
	qt.Check(t, v.Servers, qt.HasLen, 2)
	qt.Check(t, v.Service("assist"), qt.HasLen, 1)
	qt.Check(t, v.Service("assist")[0].ID, qt.Equals, "young")
	qt.Check(t, v.ByAddress("a:1").ID, qt.Equals, "young")
	qt.Check(t, v.ByAddress("b:1").ID, qt.Equals, "moved")
}

// Guards against a view that mixes servers of two moments after one of them
// changed.
func TestWithStates(t *testing.T) {
	before := fleet.New([]*fleet.Server{
		{ID: "b", Service: "assist", Address: "b:1"}, {ID: "a", Service: "assist", Address: "a:1"}, {ID: "c", Service: "booking", Address: "c:1"},
	})
	at, known := before.Index("b")
	qt.Assert(t, known, qt.IsTrue)
	changed := slices.Clone(before.Servers)
	changed[at] = &fleet.Server{ID: "b", Service: "assist", Address: "b:1", Leaving: true}
	after := before.WithStates(changed)
	for name, s := range map[string]*fleet.Server{"address": after.ByAddress("b:1"), "id": after.ByID("b"), "service": after.Service("assist")[1]} {
		qt.Check(t, s.Leaving, qt.IsTrue, qt.Commentf("by %s", name))
	}
	qt.Check(t, before.ByID("b").Leaving, qt.IsFalse)
	qt.Check(t, after.ByID("a"), qt.Equals, before.ByID("a"))
	qt.Check(t, after.Service("booking"), qt.HasLen, 1)
	qt.Check(t, after.Service("none"), qt.HasLen, 0)
	qt.Check(t, after.ByID("none"), qt.IsNil)
}
