package state

import (
	"time"

	"fuchsiashelf.dev/parts/fleet"
)

// Assignment is the range of layers that a server was ordered to hold.
type Assignment struct {
	ID         string
	First, End int
	// Until is when the order is forgotten, for want of an entry that shows it
	// carried out.
	Until time.Time
	// Done says that the server itself has reported it carried out. Its entry
	// shows that up to a heartbeat later.
	Done bool
}

// adjusted applies what is known beyond a server's own entry, to a copy.
func (s *Local) adjusted(id string, server fleet.Server, now time.Time) *fleet.Server {
	if until, suspected := s.suspects[id]; suspected {
		server.Suspected = now.Before(until)
		if !server.Suspected {
			delete(s.suspects, id)
		}
	}
	server.SlowdownFactor = s.slow[id].Factor
	server.MemoryLayers = server.LayerCount()
	o, ordered := s.assignments[id]
	switch {
	case !ordered:
	case server.First == o.First && server.End == o.End || now.After(o.Until):
		delete(s.assignments, id)
	case o.Done:
		server.First, server.End = o.First, o.End
		server.MemoryLayers = server.LayerCount()
	default:
		// Layers being given up accept no new requests, and layers being loaded take
		// memory already.
		server.MemoryLayers = max(server.MemoryLayers, o.End-o.First)
		server.AwaitsReload = o.First < server.First || o.End > server.End
		server.First, server.End = max(server.First, o.First), min(server.End, o.End)
		if server.First >= server.End {
			server.First, server.End = 0, 0
		}
	}
	return &server
}

// Assign records an order, so that no request is sent for layers that the server
// gives up. It reports whether the order was unknown.
func (s *Local) Assign(o Assignment, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignments == nil {
		s.assignments = map[string]Assignment{}
	}
	old, known := s.assignments[o.ID]
	if known && !(o.Done && !old.Done) && (old.First == o.First && old.End == o.End || o.Until.Before(old.Until)) {
		return false
	}
	if at, exists := s.decoded[o.ID]; exists && at.server.First == o.First && at.server.End == o.End {
		return false
	}
	s.assignments[o.ID] = o
	s.update([]string{o.ID}, false, now)
	return true
}

// Assignments returns the orders that are not shown as carried out yet.
func (s *Local) Assignments() []Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Assignment, 0, len(s.assignments))
	for _, o := range s.assignments {
		list = append(list, o)
	}
	return list
}
