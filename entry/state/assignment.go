package state

import (
	"time"

	"fuchsiashelf.dev/parts/fleet"
)

// Assignment is the range of layers that a server was ordered to hold.
type Assignment struct {
	ID         string
	First, End int
	// Until is when the assignment expires, unless the server's entry shows it before.
	Until time.Time
	// Done says that the server has reported the layers as loaded. Its entry shows
	// that up to a heartbeat later.
	Done bool
}

// adjusted returns a copy of a server with its suspicion, slowdown and assignment
// applied. It drops a suspicion that has expired, and an assignment that has expired
// or that the entry shows.
func (s *Local) adjusted(id string, server fleet.Server, now time.Time) *fleet.Server {
	suspect, suspected := s.suspicion(id, now)
	server.Suspected, server.Silent = suspected, suspect.silent
	server.SlowdownFactor = s.slow[id].Factor
	server.Leaving = server.Leaving || s.departed(server, now)
	server.MemoryLayers = server.LayerCount()
	a, assigned := s.assignments[id]
	switch {
	case !assigned:
	case server.First == a.First && server.End == a.End || now.After(a.Until):
		delete(s.assignments, id)
	case a.Done:
		server.First, server.End = a.First, a.End
		server.MemoryLayers = server.LayerCount()
	default:
		// The server accepts no new requests for layers that it gives up, and the
		// layers that it loads take memory already.
		server.MemoryLayers = max(server.MemoryLayers, a.End-a.First)
		server.AwaitsReload = a.First < server.First || a.End > server.End
		server.First, server.End = max(server.First, a.First), min(server.End, a.End)
		if server.First >= server.End {
			server.First, server.End = 0, 0
		}
	}
	return &server
}

// Assign records an assignment, so that no request is sent to the server for layers
// that it gives up. It reports whether the assignment was unknown.
func (s *Local) Assign(a Assignment, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignments == nil {
		s.assignments = map[string]Assignment{}
	}
	old, known := s.assignments[a.ID]
	if known && !(a.Done && !old.Done) && (old.First == a.First && old.End == a.End || a.Until.Before(old.Until)) {
		return false
	}
	if entry, exists := s.decoded[a.ID]; exists && entry.server.First == a.First && entry.server.End == a.End {
		return false
	}
	s.assignments[a.ID] = a
	s.update([]string{a.ID}, false, now)
	return true
}

// Assignments returns the assignments that the entries of their servers do not show
// yet.
func (s *Local) Assignments() []Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Assignment, 0, len(s.assignments))
	for _, a := range s.assignments {
		list = append(list, a)
	}
	return list
}
