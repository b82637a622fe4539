// Package belief joins what an entry host knows into what a request reads: the
// configuration in force and the backend servers as they are believed to be.
//
// Both are immutable and stand behind atomic pointers. The configuration never
// goes back to an older version. A backend server whose entry vanished right
// after an outage of the object API is kept for a moment: entries lapse while
// it is away, and those of living servers come back.
package belief

import (
	"log/slog"
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
	// lapse is how long a server is kept whose entry expired in an outage: entries
	// of living servers are back within two seconds of its end.
	lapse = 1900 * time.Millisecond
	// afterOutage is how long after the end of an outage a missing entry counts as
	// expired, not as removed.
	afterOutage = 1500 * time.Millisecond
	// askFor is how long probing the servers with expired entries takes.
	askFor = 400 * time.Millisecond
	// SuspectFor is how long a server is avoided after a failure. A crashed one
	// returns under a new ID, one behind a partition answers a probe.
	SuspectFor = 2 * time.Second
)

// State is the belief of one entry host. Set the exported fields before use.
type State struct {
	Decoder Decoder
	Log     *slog.Logger
	// Home is the failure domain of the entry host.
	Home domain.Name
	// Lapsed is told the address of each server whose entry lapsed, so that it
	// is asked whether it lives. Servers leave for good during an outage as well,
	// and requests would be sent to them until all entries should be back.
	Lapsed func(address string)
	// Config and Servers are the mirrors that the state is built from.
	Config, Servers *mirror.Mirror

	table atomic.Pointer[route.Table]
	view  atomic.Pointer[fleet.View]

	mu sync.Mutex
	// decoded holds the servers by ID, with the revision they were read at.
	decoded map[string]known
	// lapsed holds servers that are gone from the mirror but kept until then.
	lapsed map[string]keep
	// asked is when entries last lapsed.
	asked time.Time
	// suspects holds until when a server is avoided.
	suspects map[string]time.Time
	// slows holds the servers that say that they are slow.
	slows map[string]slow
	// orders holds what servers were told to hold and have not reported yet.
	orders map[string]Order
	// cuts holds until when which failure domains do not reach which others.
	cuts map[[2]domain.Name]time.Time
	// back is when the object API answered again after an outage.
	back time.Time
	// changed is closed and replaced when the view changes.
	changed chan struct{}
}

type known struct {
	revision uint64
	server   fleet.Server
}

type keep struct {
	server fleet.Server
	until  time.Time
}

// Table returns the configuration in force, or nil before the first.
func (s *State) Table() *route.Table {
	return s.table.Load()
}

// View returns the backend servers.
func (s *State) View() *fleet.View {
	if v := s.view.Load(); v != nil {
		return v
	}
	return fleet.New(nil)
}

// Changed returns a channel that is closed at the next change of the view.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Returned notes that the object API answers again after an outage.
func (s *State) Returned(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back = now
}

// Asking reports whether servers whose entries lapsed are being asked whether
// they live. Those that do not answer are suspected by its end.
func (s *State) Asking(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.asked.Add(askFor))
}

// Lapsing reports whether servers are kept whose entries lapsed.
func (s *State) Lapsing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lapsed) > 0
}

// ReadConfig takes the configuration from its mirror.
func (s *State) ReadConfig(name string) {
	for _, item := range s.Config.Items() {
		if item.Name != name {
			continue
		}
		t, err := s.Decoder.Table(item.Spec)
		if err != nil {
			s.Log.Error("config: an unreadable configuration was left out", "revision", item.Revision, "error", err)
			return
		}
		s.takeTable(t, item.Revision)
	}
}

func (s *State) takeTable(t *route.Table, revision uint64) {
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

// ReadServers builds the view anew from the mirror of the servers.
func (s *State) ReadServers(now time.Time) {
	s.mu.Lock()
	lapsed := s.decode(now)
	s.publish(now)
	s.mu.Unlock()
	for _, address := range lapsed {
		s.Lapsed(address)
	}
}

// decode reads the entries that changed, and keeps lapsed ones. It returns the
// addresses of those that have just lapsed.
func (s *State) decode(now time.Time) (lapsed []string) {
	fresh := map[string]known{}
	for _, item := range s.Servers.Items() {
		old, seen := s.decoded[item.Name]
		if seen && old.revision == item.Revision {
			fresh[item.Name] = old
			continue
		}
		server, err := s.Decoder.Server(item.Name, item.Spec)
		if err != nil {
			// Another writer's entry names no server; the others hold.
			s.Log.Warn("servers: an unreadable entry was left out", "server", item.Name, "revision", item.Revision, "error", err)
			continue
		}
		if seen && server.Born.After(old.server.Born) {
			// A new run under an old ID holds nothing, and nothing that was
			// said of the old one holds for it.
			delete(s.orders, item.Name)
			delete(s.suspects, item.Name)
			s.Log.Info("servers: started anew", "server", server.ID, "address", server.Address, "revision", item.Revision)
		}
		s.tell(old.server, server, seen, item.Revision)
		fresh[item.Name] = known{revision: item.Revision, server: server}
	}
	if s.lapsed == nil {
		s.lapsed = map[string]keep{}
	}
	gone := 0
	for id := range s.decoded {
		if _, stays := fresh[id]; !stays {
			gone++
		}
	}
	// Many entries that vanish at once lapsed in an outage of the object API
	// that this entry host need not have seen itself.
	outage := now.Before(s.back.Add(afterOutage)) || gone > 2 && gone*4 > len(s.decoded)
	for id, old := range s.decoded {
		if _, stays := fresh[id]; stays {
			continue
		}
		if outage && !old.server.Leaving {
			s.lapsed[id] = keep{server: old.server, until: now.Add(lapse)}
			s.asked = now
			lapsed = append(lapsed, old.server.Address)
		}
		s.Log.Info("servers: gone", "server", id, "address", old.server.Address, "kept", outage)
	}
	for id := range fresh {
		delete(s.lapsed, id)
	}
	s.decoded = fresh
	return lapsed
}

func (s *State) tell(old, now fleet.Server, seen bool, revision uint64) {
	if !seen {
		s.Log.Info("servers: new", "server", now.ID, "service", now.Service, "address", now.Address,
			"domain", now.Domain, "card", now.Card, "revision", revision)
	}
	if now.Leaving && !old.Leaving {
		s.Log.Info("servers: leaving", "server", now.ID, "address", now.Address, "revision", revision)
	}
	if old.First != now.First || old.End != now.End {
		s.Log.Info("servers: layers", "server", now.ID, "first", now.First, "end", now.End, "revision", revision)
	}
}

// publish makes the view from the decoded entries, suspicions and orders.
func (s *State) publish(now time.Time) {
	list := make([]fleet.Server, 0, len(s.decoded)+len(s.lapsed))
	for id, k := range s.decoded {
		list = append(list, s.adjusted(id, k.server, now))
	}
	for id, k := range s.lapsed {
		if now.Before(k.until) {
			list = append(list, s.adjusted(id, k.server, now))
			continue
		}
		delete(s.lapsed, id)
	}
	s.away(list)
	s.view.Store(fleet.New(list))
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// awayShare and awayLeast say from how many suspected servers on a failure
// domain is taken to be cut off as a whole, which a partition shows sooner than
// each of its servers.
const (
	awayShare = 0.25
	awayLeast = 3
)

// Sweep ends suspicions and lapses whose time is over.
func (s *State) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := false
	for _, until := range s.suspects {
		due = due || !now.Before(until)
	}
	for id, slow := range s.slows {
		if !now.Before(slow.until) {
			delete(s.slows, id)
			due = true
		}
	}
	for _, k := range s.lapsed {
		due = due || !now.Before(k.until)
	}
	if due {
		s.publish(now)
	}
}
