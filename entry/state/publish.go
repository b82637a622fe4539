package state

import (
	"maps"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
)

// publishChanges publishes changed entries and drops expired suspicions, slowdowns,
// assignments and servers.
func (s *Local) publishChanges(objects []mirror.Object, now time.Time) {
	ids, rebuild := s.staleServers(now)
	v := s.View()
	for _, object := range objects {
		ids = append(ids, object.Name)
		rebuild = rebuild || !s.sameIndexKeys(v, object.Name)
	}
	s.update(ids, rebuild || len(v.Servers) != len(s.decoded)+len(s.expired), now)
}

// sameIndexKeys reports whether a view indexes a server by the values of its current
// entry.
func (s *Local) sameIndexKeys(v *fleet.View, id string) bool {
	shown := v.ByID(id)
	current, known := s.decoded[id]
	return shown != nil && known && current.server.Address == shown.Address && current.server.Service == shown.Service && current.server.StartedAt.Equal(shown.StartedAt)
}

// update publishes the view after the given servers changed. The view is rebuilt only
// if rebuild is set, because servers were added or removed: to rebuild it for each
// suspicion, slowdown and assignment of thousands of servers would take seconds of
// processor time.
func (s *Local) update(ids []string, rebuild bool, now time.Time) {
	if rebuild {
		s.rebuildView(now)
		return
	}
	v := s.View()
	for _, id := range ids {
		i, shown := v.Index(id)
		server, known := s.entry(id)
		if !shown || !known {
			s.dropExpired(id, now)
			continue
		}
		s.adjustedServers[i] = s.adjusted(id, server, now)
	}
	s.publish(v)
}

// dropExpired drops an expired suspicion or assignment of a server that is not in the
// view.
func (s *Local) dropExpired(id string, now time.Time) {
	s.suspicion(id, now)
	if a, known := s.assignments[id]; known && now.After(a.Until) {
		delete(s.assignments, id)
	}
}

// rebuildView builds and publishes the view from the decoded entries and from those
// expired ones whose grace period is not over.
func (s *Local) rebuildView(now time.Time) {
	list := make([]*fleet.Server, 0, len(s.decoded)+len(s.expired))
	for id, entry := range s.decoded {
		list = append(list, s.adjusted(id, entry.server, now))
	}
	for id, entry := range s.expired {
		if now.Before(entry.until) {
			list = append(list, s.adjusted(id, entry.server, now))
			continue
		}
		delete(s.expired, id)
	}
	base := fleet.New(list)
	s.adjustedServers = base.Servers
	s.publish(base)
}

// entry returns a server as described by its entry, which may have expired.
func (s *Local) entry(id string) (fleet.Server, bool) {
	if e, known := s.decoded[id]; known {
		return e.server, true
	}
	e, kept := s.expired[id]
	return e.server, kept
}

// publish stores the view of the adjusted servers and notifies those that wait for a
// change. The base view must contain the same servers.
func (s *Local) publish(base *fleet.View) {
	list := s.suspectPartitioned(slices.Clone(s.adjustedServers))
	s.view.Store(base.WithStates(list))
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// A remote failure domain counts as partitioned when more than partitionShare of its
// servers, and at least partitionMinSuspects, are suspected. This detects a partition
// sooner than suspecting each server separately.
const (
	partitionShare       = 0.25
	partitionMinSuspects = 3
)

// Sweep drops expired suspicions, slowdowns, assignments and departures, and the servers
// with expired entries whose grace period is over. It applies entries that a restore of
// the object API brought back once they are known not to be replaced.
func (s *Local) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if objects := s.applyWithheld(now); len(objects) > 0 {
		s.publishChanges(objects, now)
	}
	ids, rebuild := s.staleServers(now)
	ids = append(ids, s.sweepDepartures(now)...)
	if rebuild || len(ids) > 0 {
		s.update(ids, rebuild, now)
	}
}

// staleServers returns the servers with an expired suspicion, slowdown or assignment,
// and reports whether the grace period of a server with an expired entry is over. It
// drops expired slowdowns.
func (s *Local) staleServers(now time.Time) (ids []string, graceOver bool) {
	for id, suspect := range s.suspects {
		if !now.Before(suspect.until) {
			ids = append(ids, id)
		}
	}
	maps.DeleteFunc(s.silences, func(_ string, silence silence) bool { return silence.over(now) })
	for id, report := range s.slow {
		if !now.Before(report.Until) {
			delete(s.slow, id)
			ids = append(ids, id)
		}
	}
	for id, a := range s.assignments {
		if now.After(a.Until) {
			ids = append(ids, id)
		}
	}
	for _, e := range s.expired {
		graceOver = graceOver || !now.Before(e.until)
	}
	return ids, graceOver
}
