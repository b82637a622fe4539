package state

import (
	"maps"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
)

// suspectPartitioned suspects all servers of other failure domains of which several are
// suspected. It returns the list, in which it replaces them.
func (s *Local) suspectPartitioned(list []*fleet.Server) []*fleet.Server {
	bad := map[domain.Name]int{}
	for _, server := range list {
		if server.Suspected && server.Domain != s.LocalDomain {
			bad[server.Domain]++
		}
	}
	for d, suspects := range bad {
		if suspects >= partitionMinSuspects && float64(suspects) > partitionShare*float64(countInDomain(list, d)) {
			suspectDomain(list, d)
		}
	}
	return list
}

func countInDomain(list []*fleet.Server, d domain.Name) int {
	n := 0
	for _, server := range list {
		if server.Domain == d {
			n++
		}
	}
	return n
}

func suspectDomain(list []*fleet.Server, d domain.Name) {
	for i, server := range list {
		if server.Domain == d && !server.Suspected {
			suspect := *server
			suspect.Suspected = true
			list[i] = &suspect
		}
	}
}

// Suspect avoids a server until the given time. It reports whether that is
// news.
func (s *Local) Suspect(id string, until, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspects == nil {
		s.suspects = map[string]time.Time{}
	}
	old, suspected := s.suspects[id]
	if suspected && !until.After(old) {
		return false
	}
	s.suspects[id] = until
	if !suspected || !now.Before(old) {
		s.update([]string{id}, false, now)
		return true
	}
	return false
}

// ClearSuspicion ends the suspicion against a server that has just served.
func (s *Local) ClearSuspicion(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, suspected := s.suspects[id]; suspected {
		delete(s.suspects, id)
		s.update([]string{id}, false, now)
	}
}

// Suspects returns until when which servers are avoided.
func (s *Local) Suspects() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]time.Time, len(s.suspects))
	for id, until := range s.suspects {
		list[id] = until
	}
	return list
}

// partitionTTL is how long two failure domains count as partitioned after a server of one
// timed out on a healthy server of the other.
const partitionTTL = 3 * time.Second

// MarkUnreachable notes that servers of one failure domain do not reach those of
// another.
func (s *Local) MarkUnreachable(from, to domain.Name, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partitions == nil {
		s.partitions = map[[2]domain.Name]time.Time{}
	}
	if _, known := s.partitions[[2]domain.Name{from, to}]; !known {
		s.Log.Warn("servers: domains cut off from each other", "from", from, "to", to)
	}
	s.partitions[[2]domain.Name{from, to}] = now.Add(partitionTTL)
	s.partitions[[2]domain.Name{to, from}] = now.Add(partitionTTL)
}

// Unreachable reports whether servers of one failure domain are taken not to reach
// those of another.
func (s *Local) Unreachable(from, to domain.Name) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, known := s.partitions[[2]domain.Name{from, to}]
	if known && time.Now().After(until) {
		delete(s.partitions, [2]domain.Name{from, to})
		return false
	}
	return known
}

const (
	// slownessTTL is how long a server is taken to be as slow as it last said. It is
	// asked again whenever a stream through it pauses.
	slownessTTL = 3 * time.Second
	// minSlowdown is the slowness from which on it matters: below it a server still
	// serves sooner than one in another failure domain.
	minSlowdown = 1.3
	// maxTransitTime is by how much a later expiry may be due to the transit time of a
	// message. Added up, transit times would keep an old report alive.
	maxTransitTime = 300 * time.Millisecond
)

// SlowServer is a server whose work takes longer than usual.
type SlowServer struct {
	ID string
	// Factor is how many times as long as usual its work takes.
	Factor float64
	// Until is when that is forgotten.
	Until time.Time
}

// RecordSlowness notes how many times as long as usual a server's work takes, as it says
// itself. It reports whether the server was not known to be that slow.
func (s *Local) RecordSlowness(id string, times float64, now time.Time) (news bool) {
	if times >= minSlowdown {
		return s.MergeSlow(SlowServer{ID: id, Factor: times, Until: now.Add(slownessTTL)}, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.slow[id]; known {
		delete(s.slow, id)
		s.Log.Info("servers: as fast as usual", "server", id)
		s.update([]string{id}, false, now)
	}
	return false
}

// MergeSlow notes that a server is slow. It reports whether it was not known to be
// that slow.
func (s *Local) MergeSlow(slow SlowServer, now time.Time) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.slow[slow.ID]
	if known && slow.Until.Sub(old.Until) < maxTransitTime {
		return false
	}
	if s.slow == nil {
		s.slow = map[string]SlowServer{}
	}
	s.slow[slow.ID] = slow
	if known && old.Factor == slow.Factor {
		return false
	}
	s.Log.Info("servers: slow", "server", slow.ID, "times", slow.Factor)
	s.update([]string{slow.ID}, false, now)
	return true
}

// SlowServers returns the servers that are slow.
func (s *Local) SlowServers() []SlowServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.slow))
}
