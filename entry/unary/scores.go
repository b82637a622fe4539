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
	// learn is the part of a new time or outcome in the running mean: some ten
	// requests tell of a change.
	learn = 0.1
	// usualTime stands for the time of a server that has not answered yet.
	usualTime = 50 * time.Millisecond
	// failedTime is what a failure costs, as time: the caller waits for a
	// second answer, or gets none.
	failedTime = 600 * time.Millisecond
	// awayTime keeps requests in the failure domain of the entry host while its
	// server is about as fast as others.
	awayTime = 8 * time.Millisecond
	// suspectTime puts suspected servers last.
	suspectTime = 10 * time.Second
	// jitterTime spreads requests over servers that are alike.
	jitterTime = 10 * time.Millisecond
)

// Stats holds how plain servers did lately. The zero value is ready.
type Stats struct {
	mu     sync.Mutex
	scores map[string]*score
}

type score struct {
	inFlight int
	time     time.Duration
	failed   health.FailureRate
}

func (s *Stats) of(id string) *score {
	if s.scores == nil {
		s.scores = map[string]*score{}
	}
	if s.scores[id] == nil {
		s.scores[id] = &score{time: usualTime, failed: health.FailureRate{Weight: learn}}
	}
	return s.scores[id]
}

// Begin notes that a request goes to a server, until done is called.
func (s *Stats) Begin(id string) (done func(took time.Duration, failed bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(id).inFlight++
	return func(took time.Duration, failed bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		sc := s.of(id)
		sc.inFlight--
		sc.time += time.Duration(learn * float64(took-sc.time))
		sc.failed.Record(failed, time.Now())
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
	sc := s.of(server.ID)
	failed := sc.failed.At(now)
	load := float64(sc.inFlight) / float64(max(server.Slots, 1))
	cost := time.Duration(float64(sc.time)*(1+load)) + time.Duration(failed*float64(failedTime))
	if server.Domain != home {
		cost += awayTime
	}
	if server.Suspected {
		cost += suspectTime
	}
	return cost + rand.N(jitterTime)
}
