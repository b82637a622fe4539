package state

import (
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
)

const (
	// departureTTL is how long a server that has said that it leaves is remembered once
	// it has no entry, and one whose entry was removed. It is longer than the servers go
	// on serving, and than the copies are old from which the object API is restored.
	departureTTL = time.Minute
	// restoreGrace is how long after a restore older entries are not applied. By then
	// live servers have written theirs again, and those of others have expired.
	restoreGrace = 5 * time.Second
)

// Departure is a server that gets no new requests whatever its entry says.
type Departure struct {
	ID string
	// StartedAt identifies the incarnation of the server.
	StartedAt time.Time
	Until     time.Time
	// Announced says that a response of the server has said that it leaves, so that it
	// gets no new requests before it has restarted.
	Announced bool
}

// departure is a Departure without its ID.
type departure struct {
	startedAt, until time.Time
	announced        bool
}

// removal is a server whose entry was removed in an era.
type removal struct {
	startedAt, at time.Time
	era           uint64
}

// restored is what is known of servers from before a restore of the object API.
type restored struct {
	// at is the time of the last restore, and until the end of its grace period.
	at, until time.Time
	// withheld holds older entries by ID. They are applied at the end of the grace period
	// unless newer ones arrive.
	withheld map[string]mirror.Object
	// removals holds the servers whose entries were removed, by ID.
	removals map[string]removal
}

// beginRestore records that the object API was restored from an older copy. The mutex is
// held.
func (s *Local) beginRestore(era uint64, now time.Time) {
	s.Log.Warn("servers: entries restored from an older copy", "era", era)
	s.recoveredAt = now
	s.restored.at = now
	s.restored.until = now.Add(restoreGrace)
	s.restored.withheld = map[string]mirror.Object{}
}

// withhold reports whether an entry is older than the known state of the server, because
// the object API was restored from a copy. The mutex is held.
func (s *Local) withhold(known, server fleet.Server, object mirror.Object, now time.Time) bool {
	if !now.Before(s.restored.until) {
		return false
	}
	delete(s.restored.withheld, object.Name)
	sameIncarnation := server.StartedAt.Equal(known.StartedAt)
	if server.StartedAt.After(known.StartedAt) || sameIncarnation && server.EntryWrites >= known.EntryWrites {
		return false
	}
	s.restored.withheld[object.Name] = object
	s.Log.Info("servers: older entry withheld", "server", server.ID, "revision", object.Revision)
	return true
}

// applyWithheld applies the withheld entries once the grace period is over, and returns
// them. The mutex is held.
func (s *Local) applyWithheld(now time.Time) []mirror.Object {
	if now.Before(s.restored.until) || len(s.restored.withheld) == 0 {
		return nil
	}
	var objects []mirror.Object
	for id, object := range s.restored.withheld {
		if known, exists := s.decoded[id]; exists && known.at.Revision == object.Revision {
			known.at = mirror.Position{}
			s.decoded[id] = known
			objects = append(objects, object)
		}
	}
	s.restored.withheld = nil
	s.decode(objects, now)
	return objects
}

// recordDeparture records that a server has said that it leaves, or that its entry had
// been removed before a restore brought it back. The mutex is held.
func (s *Local) recordDeparture(server fleet.Server, now time.Time) {
	if server.Leaving {
		s.depart(Departure{ID: server.ID, StartedAt: server.StartedAt, Until: now.Add(departureTTL)})
		return
	}
	r, removed := s.restored.removals[server.ID]
	if removed && r.era < s.cursor.Era && r.startedAt.Equal(server.StartedAt) && now.Before(s.restored.until) {
		s.depart(Departure{ID: server.ID, StartedAt: server.StartedAt, Until: s.restored.until})
	}
}

// recordRemoval records that the entry of a server was removed. The mutex is held.
func (s *Local) recordRemoval(server fleet.Server, now time.Time) {
	if s.restored.removals == nil {
		s.restored.removals = map[string]removal{}
	}
	s.restored.removals[server.ID] = removal{startedAt: server.StartedAt, at: now, era: s.cursor.Era}
}

// depart keeps new requests from a server. It reports whether that was not known. The
// mutex is held.
func (s *Local) depart(d Departure) (isNew bool) {
	if s.departures == nil {
		s.departures = map[string]departure{}
	}
	known, exists := s.departures[d.ID]
	same := exists && known.startedAt.Equal(d.StartedAt)
	announced := d.Announced || same && known.announced
	if exists && known.startedAt.After(d.StartedAt) || same && announced == known.announced && d.Until.Sub(known.until) < maxTransitTime {
		return false
	}
	s.departures[d.ID] = departure{startedAt: d.StartedAt, until: d.Until, announced: announced}
	return !same
}

// RecordLeaving records that a response of a server has said that it leaves. It reports
// whether that was not known.
func (s *Local) RecordLeaving(id string, startedAt, now time.Time) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.depart(Departure{ID: id, StartedAt: startedAt, Until: now.Add(departureTTL), Announced: true}) {
		return false
	}
	s.Log.Info("servers: leaving, by its response", "server", id)
	s.update([]string{id}, false, now)
	return true
}

// departed reports whether a server gets no new requests whatever its entry says. The
// mutex is held.
func (s *Local) departed(server fleet.Server, now time.Time) bool {
	d, known := s.departures[server.ID]
	return known && d.startedAt.Equal(server.StartedAt) && now.Before(d.until)
}

// Departures returns the servers that get no new requests whatever their entries say,
// except for those of which the entries on other entry hosts say the same: unless the
// object API was restored lately, these are all whose responses have not said it.
func (s *Local) Departures(now time.Time) []Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := now.Sub(s.restored.at) <= departureTTL
	var list []Departure
	for id, d := range s.departures {
		server, exists := s.incarnation(id, d.startedAt)
		if restored || d.announced && exists && !server.Leaving {
			list = append(list, Departure{ID: id, StartedAt: d.startedAt, Until: d.until, Announced: d.announced})
		}
	}
	return list
}

// incarnation returns the entry of an incarnation of a server. The mutex is held.
func (s *Local) incarnation(id string, startedAt time.Time) (server fleet.Server, exists bool) {
	server, exists = s.entry(id)
	return server, exists && server.StartedAt.Equal(startedAt)
}

// MergeDeparture applies a departure that another entry host knows.
func (s *Local) MergeDeparture(d Departure, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.depart(d) {
		return
	}
	if !d.Announced {
		// This entry host may have started after the restore, and hands it on as well.
		s.restored.at = now
	}
	s.update([]string{d.ID}, false, now)
}

// sweepDepartures drops old departures and removals, and returns the IDs of the servers
// whose departure is over. A departure that a response announced lasts as long as the
// incarnation has an entry. The mutex is held.
func (s *Local) sweepDepartures(now time.Time) (ids []string) {
	for id, d := range s.departures {
		if _, exists := s.incarnation(id, d.startedAt); exists && d.announced {
			d.until = now.Add(departureTTL)
			s.departures[id] = d
			continue
		}
		if !now.Before(d.until) {
			delete(s.departures, id)
			ids = append(ids, id)
		}
	}
	for id, r := range s.restored.removals {
		if now.Sub(r.at) > departureTTL {
			delete(s.restored.removals, id)
		}
	}
	return ids
}
