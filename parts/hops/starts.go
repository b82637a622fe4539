package hops

import (
	"math"
	"sync"
	"time"
)

// startHalfLife is the time in which an observed wait loses half of its weight
// if no newer one is seen.
const startHalfLife = 250 * time.Millisecond

const (
	// forgottenWait is a wait that makes no difference to any choice.
	forgottenWait = time.Millisecond
	// toldFrom is the shortest wait that other entry hosts are told of.
	toldFrom = 20 * time.Millisecond
	// newsFactor is by how much a wait must exceed what was last told to be told
	// at once, and newsEvery the least time between two such messages: each goes
	// to a dozen entry hosts.
	newsFactor = 2
	newsEvery  = time.Second
)

// Starts measures how long requests wait for their first event at the servers
// at which their chains begin. It answers the load right after an outage: all
// callers are back at once, nothing is known of what other entry hosts send,
// and the fastest server of each failure domain gets more requests than it has
// slots. The wait of requests that have no event yet counts as it grows, so a
// queue is noticed while it forms, and entry hosts tell each other of it, since
// one of a hundred sends a server a request a second. The zero value is ready.
type Starts struct {
	mu      sync.Mutex
	servers map[string]*startQueue
	// announced is when there last was news.
	announced time.Time
}

// startQueue is what is known of one server.
type startQueue struct {
	// pending holds the requests without an event.
	pending map[*Start]struct{}
	// wait is the newest observed wait, here or at another entry host, at the time
	// seen.
	wait time.Duration
	seen time.Time
	// told is the longest wait that others were last told of, at toldAt.
	told   time.Duration
	toldAt time.Time
}

// Start is a request that waits for its first event.
type Start struct {
	id string
	// sent is when it was sent to the server.
	sent time.Time
	// notable is the wait that others should hear of at once.
	notable time.Duration
}

// Begin notes that a request was sent to a server. A wait is notable that its
// caller would hardly bear.
func (s *Starts) Begin(id string, notable time.Duration, now time.Time) *Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := &Start{id: id, sent: now, notable: notable}
	s.queue(id).pending[start] = struct{}{}
	return start
}

// queue returns what is known of a server. The mutex is held.
func (s *Starts) queue(id string) *startQueue {
	if s.servers == nil {
		s.servers = map[string]*startQueue{}
	}
	q := s.servers[id]
	if q == nil {
		q = &startQueue{pending: map[*Start]struct{}{}}
		s.servers[id] = q
	}
	return q
}

// Began notes the first event of a request.
func (s *Starts) Began(start *Start, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.servers[start.id]
	if q == nil {
		return
	}
	if _, waits := q.pending[start]; waits {
		q.wait, q.seen = now.Sub(start.sent), now
		delete(q.pending, start)
	}
}

// End forgets a request. One that had an event before changes nothing.
func (s *Starts) End(start *Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.servers[start.id]; q != nil {
		delete(q.pending, start)
	}
}

// Wait returns how long a request that is sent to a server now is expected to
// wait for its first event.
func (s *Starts) Wait(id string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.servers[id]
	if q == nil {
		return 0
	}
	return q.expected(now)
}

// expected is the longest wait of a request without an event, or the last
// observed wait, whose weight fades.
func (q *startQueue) expected(now time.Time) time.Duration {
	return max(q.longest(now), faded(q.wait, now.Sub(q.seen)))
}

// longest is how long the oldest request without an event has waited.
func (q *startQueue) longest(now time.Time) time.Duration {
	var longest time.Duration
	for start := range q.pending {
		longest = max(longest, now.Sub(start.sent))
	}
	return longest
}

// notable is the longest wait of a request without an event that others should
// hear of at once.
func (q *startQueue) notable(now time.Time) time.Duration {
	var longest time.Duration
	for start := range q.pending {
		if wait := now.Sub(start.sent); wait >= start.notable {
			longest = max(longest, wait)
		}
	}
	return longest
}

func faded(wait, age time.Duration) time.Duration {
	return time.Duration(float64(wait) * math.Exp2(-max(0, float64(age))/float64(startHalfLife)))
}

// Waits returns the waits that are worth telling other entry hosts, by server.
func (s *Starts) Waits(now time.Time) map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	waits := map[string]time.Duration{}
	for id, q := range s.servers {
		if wait := q.expected(now); wait >= toldFrom {
			waits[id] = wait
		}
	}
	return waits
}

// Tell takes the waits that another entry host expects.
func (s *Starts) Tell(waits map[string]time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, wait := range waits {
		q := s.queue(id)
		if wait <= faded(q.wait, now.Sub(q.seen)) {
			continue
		}
		q.wait, q.seen = wait, now
		if wait > faded(q.told, now.Sub(q.toldAt)) {
			q.told, q.toldAt = wait, now
		}
	}
}

// News reports whether others should be told at once of a wait that grows here.
func (s *Starts) News(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.announced) < newsEvery {
		return false
	}
	for _, q := range s.servers {
		wait := q.notable(now)
		if wait <= 0 || wait < newsFactor*faded(q.told, now.Sub(q.toldAt)) {
			continue
		}
		q.told, q.toldAt = wait, now
		s.announced = now
	}
	return s.announced.Equal(now)
}

// Sweep forgets servers at which nobody waits.
func (s *Starts) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, q := range s.servers {
		if len(q.pending) == 0 && q.expected(now) < forgottenWait {
			delete(s.servers, id)
		}
	}
}
