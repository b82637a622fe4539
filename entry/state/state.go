// Package state maintains the state of an entry host that its requests use: the
// configuration in force and the view of the backend servers.
//
// Both are immutable and published through atomic pointers. The configuration never
// goes back to an older version. A backend server whose entry disappears right after
// an outage of the object API is kept for a while: entries expire during the outage,
// and live servers register again.
//
// An object API that was restored from an older copy shows servers as they were when the
// copy was made, until they write their entries again. A server that has said that it
// leaves, or has left, stays out of use, and older entries are not applied for a while.
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

// Decoder decodes the objects that the object API keeps.
type Decoder interface {
	Table(spec []byte) (*route.Table, error)
	Server(id string, spec []byte) (fleet.Server, error)
}

// Timeouts and intervals.
const (
	// expiredGrace is how long after the end of an outage a server is kept whose entry
	// expired in it. The entries of live servers are back within two seconds of the end.
	expiredGrace = 1900 * time.Millisecond
	// recoveryWindow is how long after the end of an outage a missing entry counts as
	// expired rather than removed.
	recoveryWindow = 1500 * time.Millisecond
	// probeWindow is how long it takes to probe the servers whose entries expired.
	probeWindow = 400 * time.Millisecond
	// SuspectFor is how long a server is suspected after a failure. A server that
	// crashed returns under a new ID; one behind a partition answers a probe.
	SuspectFor = 2 * time.Second
)

// Local is the state of one entry host. Set the exported fields before use.
type Local struct {
	Decoder Decoder
	Log     *slog.Logger
	// LocalDomain is the failure domain of this entry host.
	LocalDomain domain.Name
	// ProbeExpired is called with the address of each server whose entry expired.
	// Servers that stopped during the outage do not answer the probe.
	ProbeExpired func(address string)
	// Config and Servers are the mirrors that the state is built from.
	Config, Servers *mirror.Mirror

	table atomic.Pointer[route.Table]
	view  atomic.Pointer[fleet.View]

	mu sync.Mutex
	// tableSpec is the encoded configuration in force, and mirrorVersion the version of
	// the one in the Config mirror.
	tableSpec     []byte
	mirrorVersion uint64
	// decoded holds the servers of the Servers mirror by ID.
	decoded map[string]decodedServer
	// cursor is the position in the Servers mirror up to which entries are decoded.
	cursor mirror.Position
	// restored holds what is known of servers from before a restore of the object API.
	restored restored
	// departures holds the servers that get no new requests whatever their entries
	// say, by ID.
	departures map[string]departure
	// expired holds the servers whose entries expired and that are still kept, by ID.
	expired map[string]expiredServer
	// lastExpiry is when entries last expired.
	lastExpiry time.Time
	// suspects holds the suspicions, and silences the silences of servers that accept
	// connections, by server ID. A silence may outlast the suspicion.
	suspects map[string]suspicion
	silences map[string]silence
	// slow holds the slow servers by ID.
	slow map[string]SlowServer
	// assignments holds the assignments that the entries of their servers do not show
	// yet.
	assignments map[string]Assignment
	// partitions holds until when each pair of failure domains counts as partitioned.
	partitions map[[2]domain.Name]time.Time
	// recoveredAt is when the object API last answered again after an outage.
	recoveredAt time.Time
	// adjustedServers are the servers of the view before suspectPartitioned is
	// applied.
	adjustedServers []*fleet.Server
	// changed is closed when the view changes; nil if Changed was not called since.
	changed chan struct{}
	// configured is closed when the first configuration is in force; nil if Configured was not
	// called.
	configured chan struct{}
}

// decodedServer is a server with the position of its entry.
type decodedServer struct {
	at     mirror.Position
	server fleet.Server
}

// expiredServer is a server whose entry expired, kept until the given time.
type expiredServer struct {
	server fleet.Server
	until  time.Time
}

// Table returns the configuration in force, or nil if there is none yet.
func (s *Local) Table() *route.Table {
	return s.table.Load()
}

// Configured returns a channel that is closed once a configuration is in force.
func (s *Local) Configured() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configured == nil {
		s.configured = make(chan struct{})
		if s.table.Load() != nil {
			close(s.configured)
		}
	}
	return s.configured
}

// View returns the current view of the backend servers.
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

// StoreRecovered records that the object API answers again after an outage.
func (s *Local) StoreRecovered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recoveredAt = now
}

// Probing reports whether the servers with expired entries are being probed. Those
// that do not answer are suspected by the end of the probe window.
func (s *Local) Probing(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.lastExpiry.Add(probeWindow))
}

// KeepsExpired reports whether any server with an expired entry is kept.
func (s *Local) KeepsExpired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.expired) > 0
}

// ReadConfig applies the named configuration of the Config mirror.
func (s *Local) ReadConfig(name string) {
	version := uint64(0)
	for _, object := range s.Config.Items() {
		if object.Name != name {
			continue
		}
		t, err := s.Decoder.Table(object.Spec)
		if err != nil {
			s.Log.Error("config: unreadable configuration ignored", "revision", object.Revision, "error", err)
			return
		}
		version = t.Version
		s.applyTable(t, object.Spec, "revision", object.Revision)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirrorVersion = version
}

// MergeConfig applies an encoded configuration that is in force on another entry host.
func (s *Local) MergeConfig(spec []byte) {
	t, err := s.Decoder.Table(spec)
	if err != nil {
		s.Log.Error("config: unreadable configuration of another entry host ignored", "error", err)
		return
	}
	s.applyTable(t, spec, "from", "peer")
}

// ConfigInForce returns the version of the configuration in force; zero if there is none.
// The encoded configuration is returned only if it is newer than that of the Config
// mirror, which is the case after a restore of the object API.
func (s *Local) ConfigInForce() (version uint64, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.table.Load()
	if t == nil {
		return 0, nil
	}
	if s.mirrorVersion < t.Version {
		spec = s.tableSpec
	}
	return t.Version, spec
}

// applyTable puts a configuration in force if its version is newer. The log attributes
// say where it is from.
func (s *Local) applyTable(t *route.Table, spec []byte, source ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.table.Load()
	if old != nil && t.Version <= old.Version {
		if t.Version < old.Version {
			s.Log.Info("config: older configuration ignored", append(source, "version", t.Version, "current", old.Version)...)
		}
		return
	}
	t.Index()
	s.table.Store(t)
	s.tableSpec = spec
	if old == nil && s.configured != nil {
		close(s.configured)
	}
	ranked := 0
	for _, team := range t.Teams {
		if team.Priority != route.RoutePriority {
			ranked++
		}
	}
	s.Log.Info("config: taken", append(source, "version", t.Version, "routes", len(t.Routes), "teams", len(t.Teams), "prioritized", ranked)...)
	for _, what := range t.Replaced {
		s.Log.Warn("config: invalid value replaced", "version", t.Version, "value", what)
	}
}

// ReadServers applies the changes of the Servers mirror since the last call.
func (s *Local) ReadServers(now time.Time) {
	s.mu.Lock()
	changes, complete := s.Servers.Since(s.cursor)
	if changes.Era > s.cursor.Era && !s.cursor.IsZero() {
		s.beginRestore(changes.Era, now)
	}
	s.cursor = changes.Position()
	removed := s.decode(changes.Items, now)
	if complete {
		removed = s.notListed(changes.Items)
	}
	expired := s.remove(removed, now)
	s.publishChanges(changes.Items, now)
	s.mu.Unlock()
	for _, address := range expired {
		s.ProbeExpired(address)
	}
}

// decode decodes changed entries and returns the IDs of the removed servers.
func (s *Local) decode(objects []mirror.Object, now time.Time) (removed []string) {
	if s.decoded == nil {
		s.decoded = map[string]decodedServer{}
		s.expired = map[string]expiredServer{}
	}
	// A server that restarted under its ID has both a deletion and an entry among the
	// changes, and the deletion does not necessarily have the lower revision.
	present := map[string]bool{}
	for _, object := range objects {
		old, known := s.decoded[object.Name]
		at := mirror.Position{Era: s.cursor.Era, Revision: object.Revision}
		if known && old.at == at {
			continue
		}
		if object.Deleted {
			removed = append(removed, object.Name)
			continue
		}
		server, err := s.Decoder.Server(object.Name, object.Spec)
		if err != nil {
			// One malformed entry must not prevent the decoding of the others.
			s.Log.Warn("servers: unreadable entry ignored", "server", object.Name, "revision", object.Revision, "error", err)
			removed = append(removed, object.Name)
			continue
		}
		s.recordDeparture(server, now)
		if known && s.withhold(old.server, server, object, now) {
			s.decoded[object.Name] = decodedServer{at: at, server: old.server}
			present[object.Name] = true
			continue
		}
		if known && server.StartedAt.After(old.server.StartedAt) {
			// The new incarnation holds no layers, and what was known of the old one
			// does not apply to it.
			delete(s.assignments, object.Name)
			delete(s.suspects, object.Name)
			delete(s.silences, object.Name)
			s.Log.Info("servers: restarted", "server", server.ID, "address", server.Address, "revision", object.Revision)
		}
		s.logChanges(old.server, server, known, object.Revision)
		s.decoded[object.Name] = decodedServer{at: at, server: server}
		delete(s.expired, object.Name)
		present[object.Name] = true
	}
	return slices.DeleteFunc(removed, func(id string) bool { return present[id] })
}

// notListed returns the IDs of decoded servers that a complete list does not contain
// at the revision at which they were decoded.
func (s *Local) notListed(objects []mirror.Object) (removed []string) {
	listed := make(map[string]uint64, len(objects))
	for _, object := range objects {
		listed[object.Name] = object.Revision
	}
	for id, server := range s.decoded {
		if server.at.Era != s.cursor.Era || listed[id] != server.at.Revision {
			removed = append(removed, id)
		}
	}
	return removed
}

// remove removes the given servers, but keeps those whose entries expired in an outage
// among the expired ones, and returns the addresses of these.
func (s *Local) remove(removed []string, now time.Time) (expired []string) {
	removed = slices.DeleteFunc(removed, func(id string) bool {
		_, known := s.decoded[id]
		return !known
	})
	// Many entries that disappear at once have expired in an outage of the object API,
	// even if this entry host has not noticed one itself.
	recovered := now.Before(s.recoveredAt.Add(recoveryWindow))
	outage := recovered || len(removed) > 2 && len(removed)*4 > len(s.decoded)
	keepUntil := now.Add(expiredGrace)
	if recovered {
		keepUntil = s.recoveredAt.Add(expiredGrace)
	}
	for _, id := range removed {
		old := s.decoded[id].server
		delete(s.decoded, id)
		if !outage {
			s.recordRemoval(old, now)
		}
		if outage && !old.Leaving && !s.departed(old, now) {
			s.expired[id] = expiredServer{server: old, until: keepUntil}
			s.lastExpiry = now
			expired = append(expired, old.Address)
		}
		s.Log.Info("servers: gone", "server", id, "address", old.Address, "kept", outage)
	}
	return expired
}

// logChanges logs how a server's entry differs from the previous one.
func (s *Local) logChanges(old, server fleet.Server, known bool, revision uint64) {
	if !known {
		s.Log.Info("servers: new", "server", server.ID, "service", server.Service, "address", server.Address,
			"domain", server.Domain, "card", server.Accelerator, "revision", revision)
	}
	if server.Leaving && !old.Leaving {
		s.Log.Info("servers: leaving", "server", server.ID, "address", server.Address, "revision", revision)
	}
	if old.First != server.First || old.End != server.End {
		s.Log.Info("servers: layers", "server", server.ID, "first", server.First, "end", server.End, "revision", revision)
	}
}
