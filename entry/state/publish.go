package state

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
)

// publishChanges publishes changed entries, and drops what has expired meanwhile.
func (s *Local) publishChanges(items []mirror.Object, now time.Time) {
	ids, rebuild := s.staleServers(now)
	v := s.View()
	for _, item := range items {
		ids = append(ids, item.Name)
		rebuild = rebuild || !s.sameIndexKeys(v, item.Name)
	}
	s.update(ids, rebuild || len(v.Servers) != len(s.decoded)+len(s.expired), now)
}

// sameIndexKeys reports whether the index of a view fits the entry of a server.
func (s *Local) sameIndexKeys(v *fleet.View, id string) bool {
	shown := v.ByID(id)
	k, known := s.decoded[id]
	return shown != nil && known && k.server.Address == shown.Address && k.server.Service == shown.Service && k.server.StartedAt.Equal(shown.StartedAt)
}

// update publishes the view after some servers changed; rebuild says that servers
// were added or removed. Rebuilding the view for each order, suspicion and pace of
// thousands of servers takes seconds of processor time.
func (s *Local) update(ids []string, rebuild bool, now time.Time) {
	if rebuild {
		s.rebuild(now)
		return
	}
	v := s.View()
	for _, id := range ids {
		at, shown := v.Index(id)
		server, known := s.entry(id)
		if !shown || !known {
			s.dropExpired(id, now)
			continue
		}
		s.adjustedServers[at] = s.adjusted(id, server, now)
	}
	s.publish(v)
}

// dropExpired drops an expired suspicion or order of a server that does not exist.
func (s *Local) dropExpired(id string, now time.Time) {
	if until, known := s.suspects[id]; known && !now.Before(until) {
		delete(s.suspects, id)
	}
	if o, known := s.assignments[id]; known && now.After(o.Until) {
		delete(s.assignments, id)
	}
}

// rebuild makes the view from the decoded entries, suspicions and orders.
func (s *Local) rebuild(now time.Time) {
	list := make([]*fleet.Server, 0, len(s.decoded)+len(s.expired))
	for id, k := range s.decoded {
		list = append(list, s.adjusted(id, k.server, now))
	}
	for id, k := range s.expired {
		if now.Before(k.until) {
			list = append(list, s.adjusted(id, k.server, now))
			continue
		}
		delete(s.expired, id)
	}
	base := fleet.New(list)
	s.adjustedServers = base.Servers
	s.publish(base)
}

// entry returns a server as its own entry shows it.
func (s *Local) entry(id string) (fleet.Server, bool) {
	if k, known := s.decoded[id]; known {
		return k.server, true
	}
	k, kept := s.expired[id]
	return k.server, kept
}

// publish publishes the adjusted servers. The view is one of the same servers.
func (s *Local) publish(of *fleet.View) {
	list := s.suspectPartitioned(slices.Clone(s.adjustedServers))
	s.view.Store(of.WithStates(list))
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// partitionShare and partitionMinSuspects say from how many suspected servers on a failure
// domain is taken to be cut off as a whole, which a partition shows sooner than
// each of its servers.
const (
	partitionShare       = 0.25
	partitionMinSuspects = 3
)

// Sweep drops suspicions, paces, orders and lapsed entries that have expired.
func (s *Local) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ids, lapsed := s.staleServers(now); lapsed || len(ids) > 0 {
		s.update(ids, lapsed, now)
	}
}

// staleServers returns the servers with an staleServers suspicion, pace or order, and whether
// a server whose entry lapsed is to be removed.
func (s *Local) staleServers(now time.Time) (ids []string, lapsed bool) {
	for id, until := range s.suspects {
		if !now.Before(until) {
			ids = append(ids, id)
		}
	}
	for id, slow := range s.slow {
		if !now.Before(slow.Until) {
			delete(s.slow, id)
			ids = append(ids, id)
		}
	}
	for id, o := range s.assignments {
		if now.After(o.Until) {
			ids = append(ids, id)
		}
	}
	for _, k := range s.expired {
		lapsed = lapsed || !now.Before(k.until)
	}
	return ids, lapsed
}
