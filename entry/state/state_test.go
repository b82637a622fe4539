package state_test

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/route"
)

// anew is the entry of a server that has started again under its ID.
const anew = 9

// decoder reads a version from one byte, and a server from its domain.
type decoder struct{}

func (decoder) Table(spec []byte) (*route.Table, error) {
	if len(spec) == 0 {
		return nil, errors.New("empty")
	}
	return &route.Table{Version: uint64(spec[0])}, nil
}

func (decoder) Server(id string, spec []byte) (fleet.Server, error) {
	if len(spec) == 0 {
		return fleet.Server{}, errors.New("empty")
	}
	s := fleet.Server{ID: id, Address: id + ":1", Service: "s", Domain: "a", First: 0, End: 10, StartedAt: start}
	if spec[0] == anew {
		s.First, s.End, s.StartedAt = 0, 0, start.Add(time.Minute)
	}
	return s, nil
}

func newLocal() *state.Local {
	return &state.Local{
		Decoder: decoder{}, Log: slog.New(slog.DiscardHandler), LocalDomain: "a",
		Config: &mirror.Mirror{Kind: "config"}, Servers: &mirror.Mirror{Kind: "servers"}, ProbeExpired: func(string) {},
	}
}

func item(name string, revision uint64, spec ...byte) mirror.Object {
	return mirror.Object{Name: name, Revision: revision, Spec: spec}
}

var start = time.Unix(1_700_000_000, 0)

func ids(s *state.Local) []string {
	var list []string
	for _, server := range s.View().Servers {
		list = append(list, server.ID)
	}
	return list
}

// An older configuration arrives after a newer one, or one that cannot be read.
// In force, a key that was taken away would be served again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := newLocal()
	s.Config.Replace([]mirror.Object{item("main", 5, 7)}, 5)
	s.ReadConfig("main")
	qt.Assert(t, s.Table().Version, qt.Equals, uint64(7))
	s.Config.Merge(mirror.Batch{After: 5, Cursor: 6, Items: []mirror.Object{item("main", 6, 6)}})
	s.ReadConfig("main")
	qt.Assert(t, s.Table().Version, qt.Equals, uint64(7))
	s.Config.Merge(mirror.Batch{After: 6, Cursor: 7, Items: []mirror.Object{item("main", 7)}})
	s.ReadConfig("main")
	qt.Assert(t, s.Table().Version, qt.Equals, uint64(7))
}

// The object API was away, and the entries of servers lapsed meanwhile. They
// live, and are back within seconds; left out at once, nobody would be served.
func TestLapsedServersAreKept(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{item("i-1", 1, 1), item("i-2", 2, 1)}, 2)
	s.ReadServers(start)
	s.StoreRecovered(start)
	s.Servers.Replace(nil, 3)
	s.ReadServers(start.Add(100 * time.Millisecond))
	qt.Assert(t, ids(s), qt.DeepEquals, []string{"i-1", "i-2"})
	qt.Assert(t, s.KeepsExpired(), qt.IsTrue)
	s.Servers.Merge(mirror.Batch{After: 3, Cursor: 4, Items: []mirror.Object{item("i-2", 4, 1)}})
	s.ReadServers(start.Add(time.Second))
	s.Sweep(start.Add(3 * time.Second))
	qt.Assert(t, ids(s), qt.DeepEquals, []string{"i-2"})
	qt.Assert(t, s.KeepsExpired(), qt.IsFalse)
}

// Some servers leave while the object API is away, and their entries are gone
// when it returns, as are those of servers that live. Requests went to all of
// them for two seconds; now each is asked.
func TestLapsedServersAreAsked(t *testing.T) {
	s := newLocal()
	var asked []string
	s.ProbeExpired = func(address string) { asked = append(asked, address) }
	s.Servers.Replace([]mirror.Object{item("i-1", 1, 1), item("i-2", 2, 1)}, 2)
	s.ReadServers(start)
	s.StoreRecovered(start)
	qt.Assert(t, s.Probing(start), qt.IsFalse)
	s.Servers.Merge(mirror.Batch{After: 2, Cursor: 3, Items: []mirror.Object{{Name: "i-1", Revision: 3, Deleted: true}}})
	s.ReadServers(start.Add(100 * time.Millisecond))
	qt.Assert(t, asked, qt.HasLen, 1)
	qt.Assert(t, s.Probing(start.Add(100*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, s.Probing(start.Add(time.Second)), qt.IsFalse)
}

// The entry of a server that left is removed while all is well. Requests sent
// to it later would be cut off.
func TestGoneServersAreLeftOutAtOnce(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{item("i-1", 1, 1), item("i-2", 2, 1), item("i-3", 3)}, 3)
	s.ReadServers(start)
	qt.Assert(t, ids(s), qt.DeepEquals, []string{"i-1", "i-2"})
	s.Servers.Merge(mirror.Batch{After: 3, Cursor: 4, Items: []mirror.Object{{Name: "i-1", Revision: 4, Deleted: true}}})
	s.ReadServers(start.Add(time.Minute))
	qt.Assert(t, ids(s), qt.DeepEquals, []string{"i-2"})
}

// A server was told to hold other layers. Asked for those that it gives up it
// refuses, and what it loads takes memory before its entry shows it.
func TestOrderedServersGiveUpLayersAtOnce(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{item("i-1", 1, 1)}, 1)
	s.ReadServers(start)
	qt.Assert(t, s.Assign(state.Assignment{ID: "i-1", First: 5, End: 25, Until: start.Add(time.Minute)}, start), qt.IsTrue)
	server := s.View().Servers[0]
	qt.Assert(t, []int{server.First, server.End, server.MemoryLayers}, qt.DeepEquals, []int{5, 10, 20})
	qt.Assert(t, s.Assign(state.Assignment{ID: "i-1", First: 5, End: 25, Until: start.Add(time.Minute)}, start), qt.IsFalse)
	s.ReadServers(start.Add(2 * time.Minute))
	qt.Assert(t, s.View().Servers[0].LayerCount(), qt.Equals, 10)
}

// A server has loaded layers that its domain lacked, and says so when it is
// asked, but its entry shows that a heartbeat later. Until then callers would
// be refused for want of layers that are held.
func TestCarriedOutOrderGoesBeforeTheEntry(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{item("i-1", 1, 1)}, 1)
	s.ReadServers(start)
	order := state.Assignment{ID: "i-1", First: 5, End: 25, Until: start.Add(time.Minute)}
	s.Assign(order, start)
	order.Done, order.Until = true, start.Add(2*time.Second)
	qt.Assert(t, s.Assign(order, start), qt.IsTrue)
	server := s.View().Servers[0]
	qt.Assert(t, []int{server.First, server.End, server.MemoryLayers}, qt.DeepEquals, []int{5, 25, 20})
	qt.Assert(t, s.Assign(order, start), qt.IsFalse)
	s.ReadServers(start.Add(3 * time.Second))
	qt.Assert(t, s.View().Servers[0].End, qt.Equals, 10)
}

func TestSuspicionsEnd(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{item("i-1", 1, 1)}, 1)
	s.ReadServers(start)
	qt.Assert(t, s.Suspect("i-1", start.Add(time.Second), start), qt.IsTrue)
	qt.Assert(t, s.View().Servers[0].Suspected, qt.IsTrue)
	s.Sweep(start.Add(2 * time.Second))
	qt.Assert(t, s.View().Servers[0].Suspected, qt.IsFalse)
	s.Suspect("i-1", start.Add(5*time.Second), start.Add(3*time.Second))
	s.ClearSuspicion("i-1", start.Add(3*time.Second))
	qt.Assert(t, s.View().Servers[0].Suspected, qt.IsFalse)
}

// A server crashes and starts again under its ID, holding nothing. What it was
// told before, and that it was suspected, is of its old run; kept, its layers
// would be thought to be on their way for seconds.
func TestNewRunUnderOldID(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{item("i-1", 1, 1)}, 1)
	s.ReadServers(start)
	s.Assign(state.Assignment{ID: "i-1", First: 0, End: 20, Until: start.Add(time.Hour)}, start)
	s.Suspect("i-1", start.Add(time.Hour), start)
	s.Servers.Merge(mirror.Batch{After: 1, Cursor: 2, Items: []mirror.Object{item("i-1", 2, anew)}})
	s.ReadServers(start.Add(time.Minute))
	server := s.View().Servers[0]
	qt.Assert(t, []int{server.LayerCount(), server.MemoryLayers}, qt.DeepEquals, []int{0, 0})
	qt.Assert(t, server.Suspected, qt.IsFalse)
	qt.Assert(t, s.Assignments(), qt.HasLen, 0)
}
