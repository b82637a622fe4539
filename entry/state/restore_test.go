package state_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
)

// entryDecoder takes the bytes of an entry as the number of its writes, the end of the
// server's layers, and whether it leaves.
type entryDecoder struct{ decoder }

func (entryDecoder) Server(id string, spec []byte) (fleet.Server, error) {
	return fleet.Server{
		ID: id, Address: id + ":1", Service: "s", Domain: "a", StartedAt: start,
		EntryWrites: uint64(spec[0]), End: int(spec[1]), Leaving: spec[2] == 1,
	}, nil
}

// restoredLocal returns a state before and after a restore to a copy of revision 5.
func restoredLocal(before, copied []mirror.Object) *state.Local {
	s := newLocal()
	s.Decoder = entryDecoder{}
	s.Servers.Replace(before, mirror.Position{Era: 1, Revision: 9})
	s.ReadServers(start)
	s.Servers.Replace(copied, mirror.Position{Era: 2, Revision: 5})
	s.ReadServers(start)
	return s
}

// Guards against new requests to a leaving server because a restored object API shows it
// as it was before.
func TestRestoreKeepsServerLeaving(t *testing.T) {
	s := restoredLocal([]mirror.Object{object("a", 8, 2, 10, 1)}, []mirror.Object{object("a", 5, 1, 10, 0)})
	qt.Check(t, s.View().ByID("a").Leaving, qt.IsTrue)
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(time.Second) {
		s.Sweep(at)
		qt.Check(t, s.View().ByID("a").Leaving, qt.IsTrue, qt.Commentf("%s", at.Sub(start)))
	}
	// A heartbeat of the same incarnation that still shows it as ready.
	s.Servers.Merge(mirror.Batch{Era: 2, After: 5, Cursor: 6, Items: []mirror.Object{object("a", 6, 3, 10, 0)}})
	s.ReadServers(start.Add(30 * time.Second))
	qt.Check(t, s.View().ByID("a").Leaving, qt.IsTrue)
}

// Guards against new requests to a server that has left because a restored object API
// holds its entry again. A live one may be used once its entry has outlasted the grace
// period.
func TestRestoreKeepsRemovedServerOut(t *testing.T) {
	s := newLocal()
	s.Decoder = entryDecoder{}
	s.Servers.Replace([]mirror.Object{object("a", 3, 1, 10, 0), object("b", 3, 1, 10, 0)}, mirror.Position{Era: 1, Revision: 5})
	s.ReadServers(start)
	s.Servers.Merge(mirror.Batch{Era: 1, After: 5, Cursor: 9, Items: []mirror.Object{{Name: "a", Revision: 9, Deleted: true}}})
	s.ReadServers(start)
	qt.Assert(t, ids(s), qt.DeepEquals, []string{"b"})
	s.Servers.Replace([]mirror.Object{object("a", 3, 1, 10, 0), object("b", 3, 1, 10, 0)}, mirror.Position{Era: 2, Revision: 5})
	s.ReadServers(start)
	s.Sweep(start.Add(4 * time.Second))
	qt.Check(t, s.View().ByID("a").Leaving, qt.IsTrue)
	qt.Check(t, s.View().ByID("b").Leaving, qt.IsFalse)
	s.Sweep(start.Add(6 * time.Second))
	qt.Check(t, s.View().ByID("a").Leaving, qt.IsFalse)
}

// Guards against chains through layers that a server gave up after the copy was made
// from which the object API was restored.
func TestRestoreDoesNotBringBackLayers(t *testing.T) {
	s := restoredLocal([]mirror.Object{object("a", 8, 7, 20, 0)}, []mirror.Object{object("a", 5, 3, 10, 0)})
	qt.Check(t, s.View().ByID("a").End, qt.Equals, 20)
	s.Servers.Merge(mirror.Batch{Era: 2, After: 5, Cursor: 6, Items: []mirror.Object{object("a", 6, 8, 25, 0)}})
	s.ReadServers(start.Add(time.Second))
	qt.Check(t, s.View().ByID("a").End, qt.Equals, 25)
	s.Sweep(start.Add(time.Minute))
	qt.Check(t, s.View().ByID("a").End, qt.Equals, 25)
}

// Guards against a withheld entry that is never applied, although the server does not
// write another.
func TestWithheldEntryIsAppliedLater(t *testing.T) {
	s := restoredLocal([]mirror.Object{object("a", 8, 7, 20, 0)}, []mirror.Object{object("a", 5, 3, 10, 0)})
	s.Sweep(start.Add(4 * time.Second))
	qt.Check(t, s.View().ByID("a").End, qt.Equals, 20)
	s.Sweep(start.Add(6 * time.Second))
	qt.Check(t, s.View().ByID("a").End, qt.Equals, 10)
}

// Guards against a server that started after the copy was made, and is dropped before it
// can register again.
func TestRestoreKeepsServerThatRegistersAgain(t *testing.T) {
	s := restoredLocal([]mirror.Object{object("a", 3, 1, 10, 0), object("new", 8, 1, 10, 0)}, []mirror.Object{object("a", 3, 1, 10, 0)})
	qt.Check(t, ids(s), qt.DeepEquals, []string{"a", "new"})
	s.Servers.Merge(mirror.Batch{Era: 2, After: 5, Cursor: 6, Items: []mirror.Object{object("new", 6, 2, 10, 0)}})
	s.ReadServers(start.Add(time.Second))
	s.Sweep(start.Add(time.Minute))
	qt.Check(t, ids(s), qt.DeepEquals, []string{"a", "new"})
}

// Guards against an entry host that starts after a restore and uses a server which the
// others know to leave.
func TestDepartureIsHandedOn(t *testing.T) {
	s := restoredLocal([]mirror.Object{object("a", 8, 2, 10, 1)}, []mirror.Object{object("a", 5, 1, 10, 0)})
	fresh := newLocal()
	fresh.Decoder = entryDecoder{}
	fresh.Servers.Replace([]mirror.Object{object("a", 5, 1, 10, 0)}, mirror.Position{Era: 2, Revision: 5})
	fresh.ReadServers(start)
	departures := s.Departures(start)
	qt.Assert(t, departures, qt.HasLen, 1)
	qt.Check(t, fresh.View().ByID("a").Leaving, qt.IsFalse)
	fresh.MergeDeparture(departures[0], start)
	qt.Check(t, fresh.View().ByID("a").Leaving, qt.IsTrue)
	qt.Check(t, fresh.Departures(start), qt.HasLen, 1)
	qt.Check(t, s.Departures(start.Add(2*time.Minute)), qt.HasLen, 0)
}

// Guards against a configuration that is older than the one in force, because a restored
// object API holds it, on an entry host that starts after the restore.
func TestConfigInForceIsHandedOnAfterRestore(t *testing.T) {
	s := newLocal()
	s.Config.Replace([]mirror.Object{object("main", 8, 7)}, mirror.Position{Era: 1, Revision: 9})
	s.ReadConfig("main")
	version, spec := s.ConfigInForce()
	qt.Check(t, version, qt.Equals, uint64(7))
	qt.Check(t, spec, qt.HasLen, 0)
	s.Config.Replace([]mirror.Object{object("main", 5, 6)}, mirror.Position{Era: 2, Revision: 5})
	s.ReadConfig("main")
	version, spec = s.ConfigInForce()
	qt.Check(t, version, qt.Equals, uint64(7))
	qt.Check(t, spec, qt.DeepEquals, []byte{7})
	fresh := newLocal()
	fresh.Config.Replace([]mirror.Object{object("main", 5, 6)}, mirror.Position{Era: 2, Revision: 5})
	fresh.ReadConfig("main")
	fresh.MergeConfig(spec)
	qt.Check(t, fresh.Table().Version, qt.Equals, uint64(7))
	// It hands the configuration on itself, until the object API holds it.
	_, spec = fresh.ConfigInForce()
	qt.Check(t, spec, qt.DeepEquals, []byte{7})
	fresh.Config.Merge(mirror.Batch{Era: 2, After: 5, Cursor: 6, Items: []mirror.Object{object("main", 6, 7)}})
	fresh.ReadConfig("main")
	_, spec = fresh.ConfigInForce()
	qt.Check(t, spec, qt.HasLen, 0)
}

// Guards against a server that gets requests again a minute after its responses said that it
// leaves, although the process still has an entry; also on another entry host.
func TestAnnouncedDepartureLastsUntilProcessIsGone(t *testing.T) {
	s := newLocal()
	s.Decoder = entryDecoder{}
	s.Servers.Replace([]mirror.Object{object("a", 1, 1, 10, 0)}, mirror.Position{Era: 1, Revision: 1})
	s.ReadServers(start)
	startedAt := s.View().ByID("a").StartedAt
	qt.Check(t, s.RecordLeaving("a", startedAt, start), qt.IsTrue)
	qt.Check(t, s.RecordLeaving("a", startedAt, start), qt.IsFalse)
	other := newLocal()
	other.Decoder = entryDecoder{}
	other.Servers.Replace([]mirror.Object{object("a", 1, 1, 10, 0)}, mirror.Position{Era: 1, Revision: 1})
	other.ReadServers(start)
	for _, d := range s.Departures(start) {
		other.MergeDeparture(d, start)
	}
	for minutes := range 10 {
		now := start.Add(time.Duration(minutes) * time.Minute)
		s.Sweep(now)
		other.Sweep(now)
		qt.Check(t, s.View().ByID("a").Leaving, qt.IsTrue)
		qt.Check(t, other.View().ByID("a").Leaving, qt.IsTrue)
		qt.Check(t, other.Departures(now), qt.HasLen, 1)
	}
}
