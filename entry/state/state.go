// Package belief joins what an entry host knows into what a request reads: the
// configuration in force and the backend servers as they are believed to be.
//
// Both are immutable and stand behind atomic pointers. The configuration never
// goes back to an older version. A backend server whose entry vanished right
// after an outage of the object API is kept for a while: entries expire during the
// outage, and living servers register again.
package state

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/route"
)

// Decoder reads the objects of the object API.
type Decoder interface {
	Table(spec []byte) (*route.Table, error)
	Server(id string, spec []byte) (fleet.Server, error)
}

// Timeouts and intervals.
const (
	// expiredGrace is how long a server is kept whose entry expired in an outage: entries
	// of living servers are back within two seconds of its end.
	expiredGrace = 1900 * time.Millisecond
	// recoveryWindow is how long after the end of an outage a missing entry counts as
	// expired, not as removed.
	recoveryWindow = 1500 * time.Millisecond
	// probeWindow is how long probing the servers with expired entries takes.
	probeWindow = 400 * time.Millisecond
	// SuspectFor is how long a server is avoided after a failure. A crashed one
	// returns under a new ID, one behind a partition answers a probe.
	SuspectFor = 2 * time.Second
)

// Local is the belief of one entry host. Set the exported fields before use.
type Local struct {
	Decoder Decoder
	Log     *slog.Logger
	// LocalDomain is the failure domain of the entry host.
	LocalDomain domain.Name
	// ProbeExpired is called with the address of each server whose entry expired, to check
	// the server: some left for good during the outage.
	ProbeExpired func(address string)
	// Config and Servers are the mirrors that the state is built from.
	Config, Servers *mirror.Mirror

	table atomic.Pointer[route.Table]
	view  atomic.Pointer[fleet.View]

	mu sync.Mutex
	// decoded holds the servers by ID, with the revision they were read at.
	decoded map[string]decodedServer
	// cursor is the cursor of the mirror up to which entries are decoded.
	cursor uint64
	// expired holds servers that are gone from the mirror but kept until then.
	expired map[string]expiredServer
	// lastExpiry is when entries last lapsed.
	lastExpiry time.Time
	// suspects holds until when a server is avoided.
	suspects map[string]time.Time
	// slow holds the servers that say that they are slow.
	slow map[string]SlowServer
	// assignments holds the assignments to servers whose entries do not show them yet.
	assignments map[string]Assignment
	// partitions holds until when which failure domains do not reach which others.
	partitions map[[2]domain.Name]time.Time
	// recoveredAt is when the object API answered again after an outage.
	recoveredAt time.Time
	// adjustedServers are the servers of the view before those of a failure domain
	// that is cut off are suspected.
	adjustedServers []*fleet.Server
	// changed is closed and replaced when the view changes.
	changed chan struct{}
}

type decodedServer struct {
	revision uint64
	server   fleet.Server
}

type expiredServer struct {
	server fleet.Server
	until  time.Time
}

// Table returns the configuration in force, or nil before the first.
func (s *Local) Table() *route.Table {
	return s.table.Load()
}

// View returns the backend servers.
func (s *Local) View() *fleet.View {
	if v := s.view.Load(); v != nil {
		return v
	}
	return fleet.New(nil)
}

// Changed returns a channel that is closed at the next change of the view.
func (s *Local) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// StoreRecovered notes that the object API answers again after an outage.
func (s *Local) StoreRecovered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recoveredAt = now
}

// Probing reports whether servers whose entries lapsed are being asked whether
// they live. Those that do not answer are suspected by its end.
func (s *Local) Probing(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.lastExpiry.Add(probeWindow))
}

// KeepsExpired reports whether servers are kept whose entries lapsed.
func (s *Local) KeepsExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.expired) > 0
}

// ReadConfig takes the configuration from its mirror.
func (s *Local) ReadConfig(name string) {
	for _, item := range s.Config.Items() {
		if item.Name != name {
			continue
		}
		t, err := s.Decoder.Table(item.Spec)
		if err != nil {
			s.Log.Error("config: an unreadable configuration was left out", "revision", item.Revision, "error", err)
			return
		}
		s.applyTable(t, item.Revision)
	}
}

func (s *Local) applyTable(t *route.Table, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.table.Load()
	if old != nil && t.Version <= old.Version {
		return
	}
	t.Index()
	s.table.Store(t)
	s.Log.Info("config: taken", "version", t.Version, "revision", revision, "routes", len(t.Routes), "teams", len(t.Teams))
}

// ReadServers takes the changes of the servers from their mirror.
func (s *Local) ReadServers(now time.Time) {
	s.mu.Lock()
	changes, whole := s.Servers.Since(s.cursor)
	s.cursor = changes.Cursor
	gone := s.decode(changes.Items)
	if whole {
		gone = s.notListed(changes.Items)
	}
	lapsed := s.remove(gone, now)
	s.publishChanges(changes.Items, now)
	s.mu.Unlock()
	for _, address := range lapsed {
		s.ProbeExpired(address)
	}
}

// decode reads the entries that changed. It returns the IDs of those that are
// gone.
func (s *Local) decode(items []mirror.Object) (gone []string) {
	if s.decoded == nil {
		s.decoded = map[string]decodedServer{}
		s.expired = map[string]expiredServer{}
	}
	// A server that started again under its ID has a deletion and an entry among the
	// changes; the revision of the deletion need not be the lower one.
	present := map[string]bool{}
	for _, item := range items {
		old, seen := s.decoded[item.Name]
		if seen && old.revision == item.Revision {
			continue
		}
		if item.Deleted {
			gone = append(gone, item.Name)
			continue
		}
		server, err := s.Decoder.Server(item.Name, item.Spec)
		if err != nil {
			// Another writer's entry names no server; the others hold.
			s.Log.Warn("servers: an unreadable entry was left out", "server", item.Name, "revision", item.Revision, "error", err)
			gone = append(gone, item.Name)
			continue
		}
		if seen && server.StartedAt.After(old.server.StartedAt) {
			// A new run under an old ID holds nothing, and nothing that was
			// said of the old one holds for it.
			delete(s.assignments, item.Name)
			delete(s.suspects, item.Name)
			s.Log.Info("servers: started anew", "server", server.ID, "address", server.Address, "revision", item.Revision)
		}
		s.logChanges(old.server, server, seen, item.Revision)
		s.decoded[item.Name] = decodedServer{revision: item.Revision, server: server}
		delete(s.expired, item.Name)
		present[item.Name] = true
	}
	return slices.DeleteFunc(gone, func(id string) bool { return present[id] })
}

// notListed returns the IDs of servers that a complete list does not show as they
// were last decoded.
func (s *Local) notListed(list []mirror.Object) (gone []string) {
	listed := make(map[string]uint64, len(list))
	for _, item := range list {
		listed[item.Name] = item.Revision
	}
	for id, k := range s.decoded {
		if listed[id] != k.revision {
			gone = append(gone, id)
		}
	}
	return gone
}

// remove forgets servers whose entries are gone, and keeps lapsed ones. It returns
// the addresses of those that have just lapsed.
func (s *Local) remove(gone []string, now time.Time) (lapsed []string) {
	gone = slices.DeleteFunc(gone, func(id string) bool {
		_, seen := s.decoded[id]
		return !seen
	})
	// Many entries that vanish at once lapsed in an outage of the object API
	// that this entry host need not have seen itself.
	outage := now.Before(s.recoveredAt.Add(recoveryWindow)) || len(gone) > 2 && len(gone)*4 > len(s.decoded)
	for _, id := range gone {
		old := s.decoded[id].server
		delete(s.decoded, id)
		if outage && !old.Leaving {
			s.expired[id] = expiredServer{server: old, until: now.Add(expiredGrace)}
			s.lastExpiry = now
			lapsed = append(lapsed, old.Address)
		}
		s.Log.Info("servers: gone", "server", id, "address", old.Address, "kept", outage)
	}
	return lapsed
}

func (s *Local) logChanges(old, now fleet.Server, seen bool, revision uint64) {
	if !seen {
		s.Log.Info("servers: new", "server", now.ID, "service", now.Service, "address", now.Address,
			"domain", now.Domain, "card", now.Accelerator, "revision", revision)
	}
	if now.Leaving && !old.Leaving {
		s.Log.Info("servers: leaving", "server", now.ID, "address", now.Address, "revision", revision)
	}
	if old.First != now.First || old.End != now.End {
		s.Log.Info("servers: layers", "server", now.ID, "first", now.First, "end", now.End, "revision", revision)
	}
}
