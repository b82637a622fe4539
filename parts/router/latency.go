package router

import (
	"math"
	"sync"
	"time"
)

const (
	// waitHalfLife is the half-life of an observed wait.
	waitHalfLife = 250 * time.Millisecond
	// negligibleWait is a wait that does not affect any choice.
	negligibleWait = time.Millisecond
	// minReportedWait is the shortest wait that is sent to other entry hosts.
	minReportedWait = 20 * time.Millisecond
	// broadcastFactor is by how much a wait must exceed the last reported one to be
	// broadcast at once, and broadcastInterval the minimum interval between such
	// broadcasts.
	broadcastFactor   = 2
	broadcastInterval = time.Second
)

// StartLatency measures how long requests wait for their first event at the servers
// where their chains begin.
//
// Right after an outage all callers return at once, the load of other entry hosts is
// unknown, and the fastest server of each failure domain gets more requests than it
// has slots. The wait of a request therefore counts while it grows, so that a queue
// is noticed as it forms, and entry hosts exchange their waits, since each of them
// sees only few of the requests.
//
// It is safe for concurrent use, and the zero value is ready.
type StartLatency struct {
	mu      sync.Mutex
	servers map[string]*serverWaits
	// broadcastAt is when a wait was last broadcast at once.
	broadcastAt time.Time
}

// serverWaits is the wait state of one server.
type serverWaits struct {
	// pending holds the requests without an event.
	pending map[*PendingStart]struct{}
	// wait is the latest observed wait, here or at another entry host, at the time
	// observedAt.
	wait       time.Duration
	observedAt time.Time
	// reported is the wait that was last sent or received, at reportedAt.
	reported   time.Duration
	reportedAt time.Time
}

// PendingStart is a request that was sent to a server and waits for its first event.
type PendingStart struct {
	id string
	// sentAt is when it was sent to the server.
	sentAt time.Time
	// notable is the wait from which on it is broadcast to other entry hosts at once.
	notable time.Duration
}

// Track records that a request was sent to a server. From the notable wait on, it
// makes ShouldBroadcast report true.
func (s *StartLatency) Track(id string, notable time.Duration, now time.Time) *PendingStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := &PendingStart{id: id, sentAt: now, notable: notable}
	s.server(id).pending[start] = struct{}{}
	return start
}

// server returns the wait state of a server, which it creates if needed. The mutex is
// held.
func (s *StartLatency) server(id string) *serverWaits {
	if s.servers == nil {
		s.servers = map[string]*serverWaits{}
	}
	w := s.servers[id]
	if w == nil {
		w = &serverWaits{pending: map[*PendingStart]struct{}{}}
		s.servers[id] = w
	}
	return w
}

// RecordFirstEvent records the first event of a request.
func (s *StartLatency) RecordFirstEvent(start *PendingStart, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.servers[start.id]
	if w == nil {
		return
	}
	if _, isPending := w.pending[start]; isPending {
		w.wait, w.observedAt = now.Sub(start.sentAt), now
		delete(w.pending, start)
	}
}

// Untrack removes a request. It has no effect after the first event.
func (s *StartLatency) Untrack(start *PendingStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.servers[start.id]; w != nil {
		delete(w.pending, start)
	}
}

// Wait returns how long a request that is sent to a server now is expected to wait
// for its first event.
func (s *StartLatency) Wait(id string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.servers[id]
	if w == nil {
		return 0
	}
	return w.expected(now)
}

// expected returns the longest wait of a pending request or the decayed last observed
// wait, whichever is longer.
func (w *serverWaits) expected(now time.Time) time.Duration {
	return max(w.longest(now), decayed(w.wait, now.Sub(w.observedAt)))
}

// longest returns how long the oldest pending request has waited.
func (w *serverWaits) longest(now time.Time) time.Duration {
	var longest time.Duration
	for start := range w.pending {
		longest = max(longest, now.Sub(start.sentAt))
	}
	return longest
}

// notable returns the longest wait of a pending request that has become notable, or
// zero.
func (w *serverWaits) notable(now time.Time) time.Duration {
	var longest time.Duration
	for start := range w.pending {
		if wait := now.Sub(start.sentAt); wait >= start.notable {
			longest = max(longest, wait)
		}
	}
	return longest
}

func decayed(wait, age time.Duration) time.Duration {
	return time.Duration(float64(wait) * math.Exp2(-max(0, float64(age))/float64(waitHalfLife)))
}

// Waits returns the expected waits to send to other entry hosts, by server.
func (s *StartLatency) Waits(now time.Time) map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	waits := map[string]time.Duration{}
	for id, w := range s.servers {
		if wait := w.expected(now); wait >= minReportedWait {
			waits[id] = wait
		}
	}
	return waits
}

// Merge applies the waits of another entry host that are longer than those known
// here.
func (s *StartLatency) Merge(waits map[string]time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, wait := range waits {
		w := s.server(id)
		if wait <= decayed(w.wait, now.Sub(w.observedAt)) {
			continue
		}
		w.wait, w.observedAt = wait, now
		if wait > decayed(w.reported, now.Sub(w.reportedAt)) {
			w.reported, w.reportedAt = wait, now
		}
	}
}

// ShouldBroadcast reports whether the waits should be broadcast to other entry hosts
// at once, and records that they are.
func (s *StartLatency) ShouldBroadcast(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.broadcastAt) < broadcastInterval {
		return false
	}
	for _, w := range s.servers {
		wait := w.notable(now)
		if wait <= 0 || wait < broadcastFactor*decayed(w.reported, now.Sub(w.reportedAt)) {
			continue
		}
		w.reported, w.reportedAt = wait, now
		s.broadcastAt = now
	}
	return s.broadcastAt.Equal(now)
}

// Sweep removes servers without pending requests and with a negligible wait.
func (s *StartLatency) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range s.servers {
		if len(w.pending) == 0 && w.expected(now) < negligibleWait {
			delete(s.servers, id)
		}
	}
}
