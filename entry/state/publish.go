package state

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
)

// show publishes changed entries, and drops what has expired meanwhile.
func (s *Local) show(items []mirror.Object, now time.Time) {
	ids, rebuild := s.expired(now)
	v := s.View()
	for _, item := range items {
		ids = append(ids, item.Name)
		rebuild = rebuild || !s.indexed(v, item.Name)
	}
	s.refresh(ids, rebuild || len(v.Servers) != len(s.decoded)+len(s.lapsed), now)
}

// indexed reports whether the index of a view fits the entry of a server.
func (s *Local) indexed(v *fleet.View, id string) bool {
	shown := v.ByID(id)
	k, known := s.decoded[id]
	return shown != nil && known && k.server.Address == shown.Address && k.server.Service == shown.Service && k.server.StartedAt.Equal(shown.StartedAt)
}

// refresh publishes the view after some servers changed; rebuild says that servers
// were added or removed. Rebuilding the view for each order, suspicion and pace of
// thousands of servers takes seconds of processor time.
func (s *Local) refresh(ids []string, rebuild bool, now time.Time) {
	if rebuild {
		s.publish(now)
		return
	}
	v := s.View()
	for _, id := range ids {
		at, shown := v.Index(id)
		server, known := s.entry(id)
		if !shown || !known {
			s.expire(id, now)
			continue
		}
		s.adjustedServers[at] = s.adjusted(id, server, now)
	}
	s.store(v)
}

// expire drops an expired suspicion or order of a server that does not exist.
func (s *Local) expire(id string, now time.Time) {
	if until, known := s.suspects[id]; known && !now.Before(until) {
		delete(s.suspects, id)
	}
	if o, known := s.orders[id]; known && now.After(o.Until) {
		delete(s.orders, id)
	}
}

// publish makes the view from the decoded entries, suspicions and orders.
func (s *Local) publish(now time.Time) {
	list := make([]*fleet.Server, 0, len(s.decoded)+len(s.lapsed))
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
	base := fleet.New(list)
	s.adjustedServers = base.Servers
	s.store(base)
}

// entry returns a server as its own entry shows it.
func (s *Local) entry(id string) (fleet.Server, bool) {
	if k, known := s.decoded[id]; known {
		return k.server, true
	}
	k, kept := s.lapsed[id]
	return k.server, kept
}

// store publishes the adjusted servers. The view is one of the same servers.
func (s *Local) store(of *fleet.View) {
	list := s.away(slices.Clone(s.adjustedServers))
	s.view.Store(of.WithStates(list))
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

// Sweep drops suspicions, paces, orders and lapsed entries that have expired.
func (s *Local) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ids, lapsed := s.expired(now); lapsed || len(ids) > 0 {
		s.refresh(ids, lapsed, now)
	}
}

// expired returns the servers with an expired suspicion, pace or order, and whether
// a server whose entry lapsed is to be removed.
func (s *Local) expired(now time.Time) (ids []string, lapsed bool) {
	for id, until := range s.suspects {
		if !now.Before(until) {
			ids = append(ids, id)
		}
	}
	for id, slow := range s.slows {
		if !now.Before(slow.Until) {
			delete(s.slows, id)
			ids = append(ids, id)
		}
	}
	for id, o := range s.orders {
		if now.After(o.Until) {
			ids = append(ids, id)
		}
	}
	for _, k := range s.lapsed {
		lapsed = lapsed || !now.Before(k.until)
	}
	return ids, lapsed
}
