package state

import (
	"maps"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
)

// suspectPartitioned marks all servers of a remote failure domain as suspected if many
// of them are. It replaces them in the list, which it returns. Silent servers are reached,
// and do not count.
func (s *Local) suspectPartitioned(list []*fleet.Server) []*fleet.Server {
	suspects := map[domain.Name]int{}
	for _, server := range list {
		if server.Lost() && server.Domain != s.LocalDomain {
			suspects[server.Domain]++
		}
	}
	for d, n := range suspects {
		if n >= partitionMinSuspects && float64(n) > partitionShare*float64(countInDomain(list, d)) {
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

// partitionTTL is how long two failure domains count as partitioned after a server of
// one timed out on a healthy server of the other.
const partitionTTL = 3 * time.Second

// MarkUnreachable records that the servers of two failure domains do not reach each
// other.
func (s *Local) MarkUnreachable(from, to domain.Name, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partitions == nil {
		s.partitions = map[[2]domain.Name]time.Time{}
	}
	if _, known := s.partitions[[2]domain.Name{from, to}]; !known {
		s.Log.Warn("servers: failure domains partitioned", "from", from, "to", to)
	}
	s.partitions[[2]domain.Name{from, to}] = now.Add(partitionTTL)
	s.partitions[[2]domain.Name{to, from}] = now.Add(partitionTTL)
}

// Unreachable reports whether two failure domains count as partitioned.
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
	// slownessTTL is how long a reported slowdown counts. The server is probed, and
	// reports it again, whenever a stream through it is silent.
	slownessTTL = 3 * time.Second
	// minSlowdown is the lowest slowdown factor that counts: below it a server still
	// responds sooner than one in another failure domain.
	minSlowdown = 1.3
	// maxTransitTime is the largest extension of a slowdown's expiry that is
	// attributed to the transit time of gossip, and ignored. Otherwise transit times
	// would add up and keep an old report alive.
	maxTransitTime = 300 * time.Millisecond
)

// SlowServer is a server whose work takes longer than usual.
type SlowServer struct {
	ID string
	// Factor is the ratio of the server's processing time to the usual one.
	Factor float64
	// Until is when the slowdown expires.
	Until time.Time
}

// RecordSlowness records the slowdown factor that a server has reported. It reports
// whether the server is slow and was not known to have this factor.
func (s *Local) RecordSlowness(id string, factor float64, now time.Time) (changed bool) {
	if factor >= minSlowdown {
		return s.MergeSlow(SlowServer{ID: id, Factor: factor, Until: now.Add(slownessTTL)}, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.slow[id]; known {
		delete(s.slow, id)
		s.Log.Info("servers: no longer slow", "server", id)
		s.update([]string{id}, false, now)
	}
	return false
}

// MergeSlow merges a slow server that this or another entry host has found. It reports
// whether the slowdown factor of the server changed.
func (s *Local) MergeSlow(report SlowServer, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.slow[report.ID]
	if known && report.Until.Sub(old.Until) < maxTransitTime {
		return false
	}
	if s.slow == nil {
		s.slow = map[string]SlowServer{}
	}
	s.slow[report.ID] = report
	if known && old.Factor == report.Factor {
		return false
	}
	s.Log.Info("servers: slow", "server", report.ID, "times", report.Factor)
	s.update([]string{report.ID}, false, now)
	return true
}

// SlowServers returns the slow servers.
func (s *Local) SlowServers() []SlowServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.slow))
}
