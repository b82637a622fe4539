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

// many returns a belief of so many servers.
func many(n int) *state.Local {
	s := newLocal()
	var items []mirror.Object
	for i := range n {
		items = append(items, item(name(i), 1, 1))
	}
	s.Servers.Replace(items, 1)
	s.ReadServers(start)
	return s
}

func name(i int) string { return fmt.Sprintf("i-%04d", i) }

// mostBytes is what publishing one change of 3,000 servers may allocate.
const mostBytes = 100 << 10

// allocated returns the bytes that a function allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against entry hosts that are busy for half a minute after a start: each
// order, suspicion and pace of one of thousands of servers made the whole view
// anew.
func TestCostOfOneChangeDoesNotGrowWithTheServers(t *testing.T) {
	s := many(3000)
	at, revision := start, uint64(1)
	changes := map[string]func(){
		"order":   func() { s.Assign(state.Assignment{ID: name(7), First: 0, End: 5, Until: at}, at) },
		"suspect": func() { s.Suspect(name(8), at, at) },
		"clear":   func() { s.ClearSuspicion(name(8), at) },
		"slow":    func() { s.RecordSlowness(name(9), float64(at.Unix()), at) },
		"entry": func() {
			revision++
			s.Servers.Merge(mirror.Batch{After: revision - 1, Cursor: revision, Items: []mirror.Object{item(name(10), revision, 1)}})
			s.ReadServers(at)
		},
		"expiry": func() { s.Sweep(at) },
	}
	for what, change := range changes {
		at = at.Add(time.Second)
		bytes := allocated(change)
		qt.Check(t, bytes < mostBytes, qt.IsTrue, qt.Commentf("%s: %d bytes", what, bytes))
	}
}

// Guards against a view that keeps an order, a suspicion or a pace whose time is
// over, or that misses a server which came or went, when only changes are
// published.
func TestChangesArePublishedOneByOne(t *testing.T) {
	s := many(4)
	s.Assign(state.Assignment{ID: name(0), First: 0, End: 4, Until: start.Add(time.Second)}, start)
	s.Suspect(name(1), start.Add(time.Second), start)
	s.RecordSlowness(name(2), 12, start)
	v := s.View()
	qt.Check(t, v.ByID(name(0)).End, qt.Equals, 4)
	qt.Check(t, v.ByID(name(1)).Suspected, qt.IsTrue)
	qt.Check(t, v.ByID(name(2)).SlowdownFactor, qt.Equals, 12.0)
	s.Sweep(start.Add(time.Minute))
	for _, server := range s.View().Servers {
		qt.Check(t, server.End, qt.Equals, 10, qt.Commentf("%s", server.ID))
		qt.Check(t, server.Suspected, qt.IsFalse, qt.Commentf("%s", server.ID))
		qt.Check(t, server.SlowdownFactor, qt.Equals, 0.0, qt.Commentf("%s", server.ID))
	}
	s.Servers.Merge(mirror.Batch{After: 1, Cursor: 3, Items: []mirror.Object{item("new", 2, 1), {Name: name(3), Revision: 3, Deleted: true}}})
	s.ReadServers(start.Add(time.Minute))
	qt.Check(t, ids(s), qt.DeepEquals, []string{name(0), name(1), name(2), "new"})
	qt.Check(t, v.ByID(name(3)), qt.IsNotNil)
	s.Servers.Replace([]mirror.Object{item(name(1), 1, 1), item("new", 2, 1)}, 9)
	s.ReadServers(start.Add(time.Minute))
	qt.Check(t, ids(s), qt.DeepEquals, []string{name(1), "new"})
}

// Guards against a server that is left out since it started again under its ID: the
// end of its former entry and the new entry arrive together.
func TestServerThatIsBackUnderItsIDIsShown(t *testing.T) {
	// The deletion takes the revision of the answer that told of it.
	for _, deletion := range []uint64{2, 3} {
		s := many(2)
		s.Servers.Merge(mirror.Batch{After: 1, Cursor: 3, Items: []mirror.Object{
			{Name: name(0), Revision: deletion, Deleted: true}, item(name(0), 3, anew),
		}})
		s.ReadServers(start)
		qt.Assert(t, s.View().ByID(name(0)), qt.IsNotNil, qt.Commentf("deletion at %d", deletion))
		qt.Assert(t, s.View().ByID(name(0)).LayerCount(), qt.Equals, 0)
	}
}

// Guards against a server that counts as slow for good, since entry hosts hand each
// other the word and each transit time is added to it.
func TestSlownessEndsDespiteTransitTimes(t *testing.T) {
	one, other := many(1), many(1)
	now := start
	one.RecordSlowness(name(0), 12, now)
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
