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

// restarted is the entry of a server that restarted under its ID.
const restarted = 9

// decoder takes the first byte of an object as the version of a configuration, or as a
// sign that a server restarted.
type decoder struct{}

func (decoder) Table(spec []byte) (*route.Table, error) {
	if len(spec) == 0 {
		return nil, errors.New("empty")
	}
	// Loads of the layers of a server take 2 s beside others.
	engine := &route.Engine{Layers: 10, Load: time.Second}
	return &route.Table{Version: uint64(spec[0]), Services: map[string]route.Service{"s": {Engine: engine}}}, nil
}

func (decoder) Server(id string, spec []byte) (fleet.Server, error) {
	if len(spec) == 0 {
		return fleet.Server{}, errors.New("empty")
	}
	s := fleet.Server{ID: id, Address: id + ":1", Service: "s", Domain: "a", First: 0, End: 10, StartedAt: start}
	if spec[0] == restarted {
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

func object(name string, revision uint64, spec ...byte) mirror.Object {
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

// Guards against an older or unreadable configuration that replaces a newer one: a
// revoked key would be accepted again.
func TestConfigIsNeverReplacedByOlder(t *testing.T) {
	s := newLocal()
	s.Config.Replace([]mirror.Object{object("main", 5, 7)}, mirror.Position{Revision: 5})
	s.ReadConfig("main")
	qt.Assert(t, s.Table().Version, qt.Equals, uint64(7))
	s.Config.Merge(mirror.Batch{After: 5, Cursor: 6, Items: []mirror.Object{object("main", 6, 6)}})
	s.ReadConfig("main")
	qt.Assert(t, s.Table().Version, qt.Equals, uint64(7))
	s.Config.Merge(mirror.Batch{After: 6, Cursor: 7, Items: []mirror.Object{object("main", 7)}})
	s.ReadConfig("main")
	qt.Assert(t, s.Table().Version, qt.Equals, uint64(7))
}

// Guards against requests that wait for the first configuration after it is in force, and against
// a panic at the second one.
func TestConfiguredEndsWithFirstConfig(t *testing.T) {
	s := newLocal()
	before := s.Configured()
	select {
	case <-before:
		t.Fatal("configured without a configuration")
	default:
	}
	s.MergeConfig([]byte{1})
	<-before
	s.MergeConfig([]byte{2})
	<-s.Configured()
	late := newLocal()
	late.MergeConfig([]byte{1})
	<-late.Configured()
}

// Guards against dropping live servers whose entries expired in an outage of the
// object API. They register again within seconds; without them no request could be
// served.
func TestServersWithExpiredEntriesAreKept(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{object("i-1", 1, 1), object("i-2", 2, 1)}, mirror.Position{Revision: 2})
	s.ReadServers(start)
	s.StoreRecovered(start)
	s.Servers.Replace(nil, mirror.Position{Revision: 3})
	s.ReadServers(start.Add(100 * time.Millisecond))
	qt.Assert(t, ids(s), qt.DeepEquals, []string{"i-1", "i-2"})
	qt.Assert(t, s.KeepsExpired(), qt.IsTrue)
	s.Servers.Merge(mirror.Batch{After: 3, Cursor: 4, Items: []mirror.Object{object("i-2", 4, 1)}})
	s.ReadServers(start.Add(time.Second))
	s.Sweep(start.Add(3 * time.Second))
	qt.Assert(t, ids(s), qt.DeepEquals, []string{"i-2"})
	qt.Assert(t, s.KeepsExpired(), qt.IsFalse)
}

// Guards against requests to a server that left a second after an outage ended. Its entry
// was missing when all live servers had registered again.
func TestServerThatLeavesAfterOutageIsDropped(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{object("i-1", 1, 1), object("i-2", 2, 1)}, mirror.Position{Revision: 2})
	s.ReadServers(start)
	s.StoreRecovered(start)
	s.Servers.Merge(mirror.Batch{After: 2, Cursor: 3, Items: []mirror.Object{{Name: "i-1", Revision: 3, Deleted: true}}})
	s.ReadServers(start.Add(1400 * time.Millisecond))
	s.Sweep(start.Add(2 * time.Second))
	qt.Assert(t, ids(s), qt.DeepEquals, []string{"i-2"})
}

// Guards against sending requests for two seconds to servers that stopped during an
// outage of the object API. Their entries are missing afterwards, but so are those of
// live servers.
func TestServersWithExpiredEntriesAreProbed(t *testing.T) {
	s := newLocal()
	var probed []string
	s.ProbeExpired = func(address string) { probed = append(probed, address) }
	s.Servers.Replace([]mirror.Object{object("i-1", 1, 1), object("i-2", 2, 1)}, mirror.Position{Revision: 2})
	s.ReadServers(start)
	s.StoreRecovered(start)
	qt.Assert(t, s.Probing(start), qt.IsFalse)
	s.Servers.Merge(mirror.Batch{After: 2, Cursor: 3, Items: []mirror.Object{{Name: "i-1", Revision: 3, Deleted: true}}})
	s.ReadServers(start.Add(100 * time.Millisecond))
	qt.Assert(t, probed, qt.HasLen, 1)
	qt.Assert(t, s.Probing(start.Add(100*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, s.Probing(start.Add(time.Second)), qt.IsFalse)
}

// Guards against sending requests to a server that left and whose entry was removed
// while the object API was available: they would be cut off.
func TestRemovedServersAreDroppedAtOnce(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{object("i-1", 1, 1), object("i-2", 2, 1), object("i-3", 3)}, mirror.Position{Revision: 3})
	s.ReadServers(start)
	qt.Assert(t, ids(s), qt.DeepEquals, []string{"i-1", "i-2"})
	s.Servers.Merge(mirror.Batch{After: 3, Cursor: 4, Items: []mirror.Object{{Name: "i-1", Revision: 4, Deleted: true}}})
	s.ReadServers(start.Add(time.Minute))
	qt.Assert(t, ids(s), qt.DeepEquals, []string{"i-2"})
}

// Guards against sending requests for layers that a server was ordered to give up,
// because it refuses them, and against planning with memory that layers being loaded
// take before the server's entry shows them.
func TestAssignedLayersTakeEffectAtOnce(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{object("i-1", 1, 1)}, mirror.Position{Revision: 1})
	s.ReadServers(start)
	qt.Assert(t, s.Assign(state.Assignment{ID: "i-1", First: 5, End: 25, Until: start.Add(time.Minute)}, start), qt.IsTrue)
	server := s.View().Servers[0]
	qt.Assert(t, []int{server.First, server.End, server.MemoryLayers}, qt.DeepEquals, []int{5, 10, 20})
	qt.Assert(t, s.Assign(state.Assignment{ID: "i-1", First: 5, End: 25, Until: start.Add(time.Minute)}, start), qt.IsFalse)
	s.ReadServers(start.Add(2 * time.Minute))
	qt.Assert(t, s.View().Servers[0].LayerCount(), qt.Equals, 10)
}

// Guards against refusing requests for lack of layers that a server has reported as
// loaded: its entry shows them only a heartbeat later.
func TestReportedAssignmentPrecedesTheEntry(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{object("i-1", 1, 1)}, mirror.Position{Revision: 1})
	s.ReadServers(start)
	assignment := state.Assignment{ID: "i-1", First: 5, End: 25, Until: start.Add(time.Minute)}
	s.Assign(assignment, start)
	assignment.Done, assignment.Until = true, start.Add(2*time.Second)
	qt.Assert(t, s.Assign(assignment, start), qt.IsTrue)
	server := s.View().Servers[0]
	qt.Assert(t, []int{server.First, server.End, server.MemoryLayers}, qt.DeepEquals, []int{5, 25, 20})
	qt.Assert(t, s.Assign(assignment, start), qt.IsFalse)
	s.ReadServers(start.Add(3 * time.Second))
	qt.Assert(t, s.View().Servers[0].End, qt.Equals, 10)
}

func TestSuspicionEnds(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{object("i-1", 1, 1)}, mirror.Position{Revision: 1})
	s.ReadServers(start)
	qt.Assert(t, s.Suspect("i-1", start.Add(time.Second), start), qt.IsTrue)
	qt.Assert(t, s.View().Servers[0].Suspected, qt.IsTrue)
	s.Sweep(start.Add(2 * time.Second))
	qt.Assert(t, s.View().Servers[0].Suspected, qt.IsFalse)
	s.Suspect("i-1", start.Add(5*time.Second), start.Add(3*time.Second))
	s.ClearSuspicion("i-1", start.Add(3*time.Second))
	qt.Assert(t, s.View().Servers[0].Suspected, qt.IsFalse)
}

// Guards against applying the assignment and the suspicion of a crashed server to its
// next incarnation under the same ID. It holds no layers, but they would seem to be
// loading for seconds.
func TestRestartUnderTheSameID(t *testing.T) {
	s := newLocal()
	s.Servers.Replace([]mirror.Object{object("i-1", 1, 1)}, mirror.Position{Revision: 1})
	s.ReadServers(start)
	s.Assign(state.Assignment{ID: "i-1", First: 0, End: 20, Until: start.Add(time.Hour)}, start)
	s.Suspect("i-1", start.Add(time.Hour), start)
	s.Servers.Merge(mirror.Batch{After: 1, Cursor: 2, Items: []mirror.Object{object("i-1", 2, restarted)}})
	s.ReadServers(start.Add(time.Minute))
	server := s.View().Servers[0]
	qt.Assert(t, []int{server.LayerCount(), server.MemoryLayers}, qt.DeepEquals, []int{0, 0})
	qt.Assert(t, server.Suspected, qt.IsFalse)
	qt.Assert(t, s.Assignments(), qt.HasLen, 0)
}
