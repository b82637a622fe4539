package router

import (
	"math"
	"sync"
	"time"
)

const (
	// startHalfLife is the half-life of an observed wait.
	startHalfLife = 250 * time.Millisecond
	// forgottenWait is a wait that makes no difference to any choice.
	forgottenWait = time.Millisecond
	// reportFrom is the shortest wait that is sent to other entry hosts.
	reportFrom = 20 * time.Millisecond
	// announceFactor is by how much a wait must exceed the last reported one to be
	// sent at once, and announceEvery the minimum interval between such messages.
	announceFactor = 2
	announceEvery  = time.Second
)

// StartLatency measures how long requests wait for their first event at the servers
// at which their chains begin. It answers the load right after an outage: all
// callers return at once, the load of other entry hosts is unknown, and the
// fastest server of each failure domain gets more requests than it has slots.
// The wait of a request counts while it grows, so that a queue is noticed as it
// forms, and entry hosts exchange their waits, since each of them sees few of
// the requests. The zero value is ready.
type StartLatency struct {
	mu      sync.Mutex
	servers map[string]*startQueue
	// announced is when a wait was last sent at once.
	announced time.Time
}

// startQueue is what is known of one server.
type startQueue struct {
	// pending holds the requests without an event.
	pending map[*PendingStart]struct{}
	// wait is the newest observed wait, here or at another entry host, at the time
	// seen.
	wait time.Duration
	seen time.Time
	// reported is the longest wait that was last sent or received, at reportedAt.
	reported   time.Duration
	reportedAt time.Time
}

// PendingStart is a request that waits for its first event.
type PendingStart struct {
	id string
	// sent is when it was sent to the server.
	sent time.Time
	// notable is the wait from which on it is sent to other entry hosts at once.
	notable time.Duration
}

// Track notes that a request was sent to a server. From the notable wait on,
// other entry hosts are told at once.
func (s *StartLatency) Track(id string, notable time.Duration, now time.Time) *PendingStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := &PendingStart{id: id, sent: now, notable: notable}
	s.queue(id).pending[start] = struct{}{}
	return start
}

// queue returns what is known of a server. The mutex is held.
func (s *StartLatency) queue(id string) *startQueue {
	if s.servers == nil {
		s.servers = map[string]*startQueue{}
	}
	q := s.servers[id]
	if q == nil {
		q = &startQueue{pending: map[*PendingStart]struct{}{}}
		s.servers[id] = q
	}
	return q
}

// RecordFirstEvent notes the first event of a request.
func (s *StartLatency) RecordFirstEvent(start *PendingStart, now time.Time) {
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

// Untrack forgets a request. One that had an event before changes nothing.
func (s *StartLatency) Untrack(start *PendingStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.servers[start.id]; q != nil {
		delete(q.pending, start)
	}
}

// Wait returns how long a request that is sent to a server now is expected to
// wait for its first event.
func (s *StartLatency) Wait(id string, now time.Time) time.Duration {
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

// notable is the longest notable wait of a request without an event.
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

// Waits returns the waits to send to other entry hosts, by server.
func (s *StartLatency) Waits(now time.Time) map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	waits := map[string]time.Duration{}
	for id, q := range s.servers {
		if wait := q.expected(now); wait >= reportFrom {
			waits[id] = wait
		}
	}
	return waits
}

// Merge takes the waits of another entry host.
func (s *StartLatency) Merge(waits map[string]time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, wait := range waits {
		q := s.queue(id)
		if wait <= faded(q.wait, now.Sub(q.seen)) {
			continue
		}
		q.wait, q.seen = wait, now
		if wait > faded(q.reported, now.Sub(q.reportedAt)) {
			q.reported, q.reportedAt = wait, now
		}
	}
}

// ShouldBroadcast reports whether the waits should be sent to other entry hosts at once,
// and notes that they are.
func (s *StartLatency) ShouldBroadcast(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.announced) < announceEvery {
		return false
	}
	for _, q := range s.servers {
		wait := q.notable(now)
		if wait <= 0 || wait < announceFactor*faded(q.reported, now.Sub(q.reportedAt)) {
			continue
		}
		q.reported, q.reportedAt = wait, now
		s.announced = now
	}
	return s.announced.Equal(now)
}

// Sweep forgets servers at which nobody waits.
func (s *StartLatency) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, q := range s.servers {
		if len(q.pending) == 0 && q.expected(now) < forgottenWait {
			delete(s.servers, id)
		}
	}
}
