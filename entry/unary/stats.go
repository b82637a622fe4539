package unary

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/health"
	"fuchsiashelf.dev/parts/subset"
)

// Parameters of the choice of a server.
const (
	// smoothing is the weight of a new duration or outcome in the moving averages: a
	// change shows after about ten requests.
	smoothing = 0.1
	// initialTime is the assumed duration at a server that has not responded yet.
	initialTime = 50 * time.Millisecond
	// failurePenalty is the cost of a failure, in time: the caller waits for a second
	// attempt or gets no response. It is multiplied by the failure rate.
	failurePenalty = 600 * time.Millisecond
	// remotePenalty is added for servers of other failure domains. It keeps requests in
	// the local domain while its servers are about as fast.
	remotePenalty = 8 * time.Millisecond
	// beyondPenalty is added for servers outside the subset to which the entry host keeps
	// connections. It is less than remotePenalty, and exceeds most differences by jitter.
	beyondPenalty = 7 * time.Millisecond
	// suspectPenalty is added for suspected servers, so that they rank last.
	suspectPenalty = 10 * time.Second
	// maxJitter limits a random addition that spreads requests over servers of about
	// equal cost.
	maxJitter = 10 * time.Millisecond
	// silentTimes is the number of mean times after which a server with requests in flight counts as
	// silent. Durations vary by less while a server is not overloaded.
	silentTimes = 3
	// statsAge is how long the statistics of a server are kept that no request could be sent to.
	// Servers that are replaced have new IDs.
	statsAge = 10 * time.Minute
)

// Stats holds recent durations and failures of requests to the servers of plain
// services. The zero value is ready to use.
type Stats struct {
	// Subsets holds the servers to which this host keeps connections; nil means all.
	Subsets *subset.Tracker

	mu        sync.Mutex
	servers   map[string]*serverStats
	droppedAt time.Time
}

// serverStats holds the statistics of one server.
type serverStats struct {
	// usedAt is when the server was last considered or used.
	usedAt   time.Time
	inFlight int
	// quietSince is when the last bytes of a response arrived, or when the first of the requests in
	// flight was sent.
	quietSince time.Time
	// recoveredAt is when the server last sent bytes after a silence.
	recoveredAt time.Time
	meanTime    time.Duration
	failureRate health.FailureRate
}

// get returns the statistics of a server. For a new one it drops those that are too old. The mutex
// is held.
func (s *Stats) get(id string, now time.Time) *serverStats {
	if s.servers == nil {
		s.servers = map[string]*serverStats{}
	}
	if s.servers[id] == nil {
		s.drop(now)
		s.servers[id] = &serverStats{meanTime: initialTime, failureRate: health.FailureRate{Weight: smoothing}}
	}
	s.servers[id].usedAt = now
	return s.servers[id]
}

// drop drops statistics that are too old, if it has not done so lately. The mutex is held.
func (s *Stats) drop(now time.Time) {
	if now.Sub(s.droppedAt) < statsAge/10 {
		return
	}
	s.droppedAt = now
	maps.DeleteFunc(s.servers, func(_ string, old *serverStats) bool {
		return old.inFlight == 0 && now.Sub(old.usedAt) > statsAge
	})
}

// Begin records that a request is sent to a server. The caller calls done when the
// request has ended.
func (s *Stats) Begin(id string) (done func(took time.Duration, failed bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	server := s.get(id, now)
	if server.inFlight == 0 {
		server.quietSince = now
	}
	server.inFlight++
	return func(took time.Duration, failed bool) {
		s.Cancel(id)
		s.Record(id, took, failed)
	}
}

// Record records the duration and the outcome of a request.
func (s *Stats) Record(id string, took time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	server := s.get(id, now)
	server.meanTime += time.Duration(smoothing * float64(took-server.meanTime))
	server.failureRate.Record(failed, now)
}

// Heard records that bytes of a response of a server have arrived. If it had sent nothing for the
// given time before, its silence has ended.
func (s *Stats) Heard(id string, silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	server := s.get(id, now)
	if silence > 0 && now.Sub(server.quietSince) >= silence {
		server.recoveredAt = now
	}
	server.quietSince = now
}

// RecoveredAt returns when a silence of a server last ended.
func (s *Stats) RecoveredAt(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(id, time.Now()).recoveredAt
}

// Silent reports whether a server has sent nothing for silentTimes its mean time, or for half of the
// timeout if that is less, although requests are in flight.
func (s *Stats) Silent(id string, timeout time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.get(id, now)
	return server.inFlight > 0 && now.Sub(server.quietSince) >= min(timeout/2, silentTimes*server.meanTime)
}

// Cancel records that a request for which Begin was called is not in flight any more, without an
// outcome.
func (s *Stats) Cancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(id, time.Now()).inFlight--
}

// Pick returns the server that is expected to respond soonest, or nil if there is none.
// It skips servers whose address is in avoid.
func (s *Stats) Pick(servers []*fleet.Server, localDomain domain.Name, avoid map[string]bool) *fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	preferred := s.subset(servers)
	var best *fleet.Server
	var lowestCost time.Duration
	for _, server := range servers {
		if server.Leaving || avoid[server.Address] {
			continue
		}
		cost := s.cost(server, localDomain, now)
		if !preferred.Has(server.ID) {
			cost += beyondPenalty
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = server, cost
		}
	}
	return best
}

// subset returns the subset of the servers of one service; nil means all.
func (s *Stats) subset(servers []*fleet.Server) *subset.Set {
	if s.Subsets == nil || len(servers) == 0 {
		return nil
	}
	return s.Subsets.Set(servers[0].Service)
}

// cost returns the expected time until a server responds, with penalties and a random
// jitter. The mutex is held.
func (s *Stats) cost(server *fleet.Server, localDomain domain.Name, now time.Time) time.Duration {
	stats := s.get(server.ID, now)
	failureRate := stats.failureRate.At(now)
	load := float64(stats.inFlight) / float64(max(server.Slots, 1))
	cost := time.Duration(float64(stats.meanTime)*(1+load)) + time.Duration(failureRate*float64(failurePenalty))
	if server.Domain != localDomain {
		cost += remotePenalty
	}
	if server.Suspected {
		cost += suspectPenalty
	}
	return cost + rand.N(maxJitter)
}
