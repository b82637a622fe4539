package unary

import (
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/health"
)

// The weights of the choice among plain servers.
const (
	// smoothing is the part of a new time or outcome in the running mean: some ten
	// requests tell of a change.
	smoothing = 0.1
	// initialTime stands for the time of a server that has not answered yet.
	initialTime = 50 * time.Millisecond
	// failurePenalty is what a failure costs, as time: the caller waits for a
	// second answer, or gets none.
	failurePenalty = 600 * time.Millisecond
	// remotePenalty keeps requests in the failure domain of the entry host while its
	// server is about as fast as others.
	remotePenalty = 8 * time.Millisecond
	// suspectPenalty puts suspected servers last.
	suspectPenalty = 10 * time.Second
	// maxJitter spreads requests over servers that are alike.
	maxJitter = 10 * time.Millisecond
)

// Stats holds how plain servers did lately. The zero value is ready.
type Stats struct {
	mu      sync.Mutex
	servers map[string]*serverStats
}

type serverStats struct {
	inFlight    int
	meanTime    time.Duration
	failureRate health.FailureRate
}

func (s *Stats) get(id string) *serverStats {
	if s.servers == nil {
		s.servers = map[string]*serverStats{}
	}
	if s.servers[id] == nil {
		s.servers[id] = &serverStats{meanTime: initialTime, failureRate: health.FailureRate{Weight: smoothing}}
	}
	return s.servers[id]
}

// Begin notes that a request goes to a server, until done is called.
func (s *Stats) Begin(id string) (done func(took time.Duration, failed bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(id).inFlight++
	return func(took time.Duration, failed bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		sc := s.get(id)
		sc.inFlight--
		sc.meanTime += time.Duration(smoothing * float64(took-sc.meanTime))
		sc.failureRate.Record(failed, time.Now())
	}
}

// Pick returns the server that is expected to answer soonest, or nil.
func (s *Stats) Pick(servers []*fleet.Server, home domain.Name, avoid map[string]bool) *fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var best *fleet.Server
	var least time.Duration
	for _, server := range servers {
		if server.Leaving || avoid[server.Address] {
			continue
		}
		cost := s.cost(server, home, now)
		if best == nil || cost < least {
			best, least = server, cost
		}
	}
	return best
}

func (s *Stats) cost(server *fleet.Server, home domain.Name, now time.Time) time.Duration {
	sc := s.get(server.ID)
	failed := sc.failureRate.At(now)
	load := float64(sc.inFlight) / float64(max(server.Slots, 1))
	cost := time.Duration(float64(sc.meanTime)*(1+load)) + time.Duration(failed*float64(failurePenalty))
	if server.Domain != home {
		cost += remotePenalty
	}
	if server.Suspected {
		cost += suspectPenalty
	}
	return cost + rand.N(maxJitter)
}
