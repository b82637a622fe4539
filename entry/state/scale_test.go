package state_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/mirror"
)

// localWithServers returns the state of an entry host that knows n servers.
func localWithServers(n int) *state.Local {
	s := newLocal()
	var objects []mirror.Object
	for i := range n {
		objects = append(objects, object(serverID(i), 1, 1))
	}
	s.Servers.Replace(objects, mirror.Position{Revision: 1})
	s.ReadServers(start)
	return s
}

func serverID(i int) string { return fmt.Sprintf("i-%04d", i) }

// maxBytesPerChange limits the memory that publishing one change may allocate with
// 3,000 servers.
const maxBytesPerChange = 100 << 10

// allocated returns the bytes that a function allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against rebuilding the whole view for each assignment, suspicion and
// slowdown of one of thousands of servers, which would keep entry hosts busy for half
// a minute after a start.
func TestCostOfOneChangeDoesNotGrowWithTheServers(t *testing.T) {
	s := localWithServers(3000)
	at, revision := start, uint64(1)
	changes := map[string]func(){
		"order":   func() { s.Assign(state.Assignment{ID: serverID(7), First: 0, End: 5, Until: at}, at) },
		"suspect": func() { s.Suspect(serverID(8), at, at) },
		"clear":   func() { s.ClearSuspicion(serverID(8), at) },
		"slow":    func() { s.RecordSlowness(serverID(9), float64(at.Unix()), at) },
		"entry": func() {
			revision++
			s.Servers.Merge(mirror.Batch{After: revision - 1, Cursor: revision, Items: []mirror.Object{object(serverID(10), revision, 1)}})
			s.ReadServers(at)
		},
		"expiry": func() { s.Sweep(at) },
	}
	for name, change := range changes {
		at = at.Add(time.Second)
		bytes := allocated(change)
		qt.Check(t, bytes < maxBytesPerChange, qt.IsTrue, qt.Commentf("%s: %d bytes", name, bytes))
	}
}

// Guards against incremental publishing that keeps an expired assignment, suspicion
// or slowdown, or misses a server that was added or removed.
func TestIncrementalChangesArePublished(t *testing.T) {
	s := localWithServers(4)
	s.Assign(state.Assignment{ID: serverID(0), First: 0, End: 4, Until: start.Add(time.Second)}, start)
	s.Suspect(serverID(1), start.Add(time.Second), start)
	s.RecordSlowness(serverID(2), 12, start)
	v := s.View()
	qt.Check(t, v.ByID(serverID(0)).End, qt.Equals, 4)
	qt.Check(t, v.ByID(serverID(1)).Suspected, qt.IsTrue)
	qt.Check(t, v.ByID(serverID(2)).SlowdownFactor, qt.Equals, 12.0)
	s.Sweep(start.Add(time.Minute))
	for _, server := range s.View().Servers {
		qt.Check(t, server.End, qt.Equals, 10, qt.Commentf("%s", server.ID))
		qt.Check(t, server.Suspected, qt.IsFalse, qt.Commentf("%s", server.ID))
		qt.Check(t, server.SlowdownFactor, qt.Equals, 0.0, qt.Commentf("%s", server.ID))
	}
	s.Servers.Merge(mirror.Batch{After: 1, Cursor: 3, Items: []mirror.Object{object("new", 2, 1), {Name: serverID(3), Revision: 3, Deleted: true}}})
	s.ReadServers(start.Add(time.Minute))
	qt.Check(t, ids(s), qt.DeepEquals, []string{serverID(0), serverID(1), serverID(2), "new"})
	qt.Check(t, v.ByID(serverID(3)), qt.IsNotNil)
	s.Servers.Replace([]mirror.Object{object(serverID(1), 1, 1), object("new", 2, 1)}, mirror.Position{Revision: 9})
	s.ReadServers(start.Add(time.Minute))
	qt.Check(t, ids(s), qt.DeepEquals, []string{serverID(1), "new"})
}

// Guards against dropping a server that restarted under its ID: the deletion of its
// old entry and the new entry arrive together.
func TestRestartedServerIsShown(t *testing.T) {
	// The deletion has the revision of the response that contained it.
	for _, deletion := range []uint64{2, 3} {
		s := localWithServers(2)
		s.Servers.Merge(mirror.Batch{After: 1, Cursor: 3, Items: []mirror.Object{
			{Name: serverID(0), Revision: deletion, Deleted: true}, object(serverID(0), 3, restarted),
		}})
		s.ReadServers(start)
		qt.Assert(t, s.View().ByID(serverID(0)), qt.IsNotNil, qt.Commentf("deletion at %d", deletion))
		qt.Assert(t, s.View().ByID(serverID(0)).LayerCount(), qt.Equals, 0)
	}
}

// Guards against a server that counts as slow forever, because entry hosts gossip the
// slowdown to each other and each transit time is added to its expiry.
func TestSlowdownExpiresDespiteTransitTimes(t *testing.T) {
	one, other := localWithServers(1), localWithServers(1)
	now := start
	one.RecordSlowness(serverID(0), 12, now)
	for range 60 {
		for _, pair := range [][2]*state.Local{{one, other}, {other, one}} {
			list := pair[0].SlowServers()
			sent := now
			now = now.Add(60 * time.Millisecond)
			for _, slow := range list {
				pair[1].MergeSlow(state.SlowServer{ID: slow.ID, Factor: slow.Factor, Until: now.Add(slow.Until.Sub(sent))}, now)
			}
		}
		one.Sweep(now)
		other.Sweep(now)
	}
	qt.Check(t, one.SlowServers(), qt.HasLen, 0)
	qt.Check(t, other.SlowServers(), qt.HasLen, 0)
}
