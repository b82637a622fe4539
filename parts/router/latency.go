package router

import (
	"math"
	"sync"
	"time"
)

const (
	// waitHalfLife is the time in which the weight of an observed wait halves.
	waitHalfLife = 250 * time.Millisecond
	// negligibleWait is a wait that does not affect any choice.
	negligibleWait = time.Millisecond
	// minReportedWait is the shortest wait that is sent to other entry hosts.
	minReportedWait = 20 * time.Millisecond
	// broadcastFactor is the factor by which a wait must exceed the last reported one
	// to be broadcast at once. broadcastInterval is the minimum interval between such
	// broadcasts.
	broadcastFactor   = 2
	broadcastInterval = time.Second
)

// StartLatency measures how long requests wait for their first event at the servers
// where their chains begin.
//
// Right after an outage all callers return at once, the load of other entry hosts is
// unknown, and the fastest server of each failure domain gets more requests than it
// has slots. Therefore the wait of a request counts while it still grows, so that a
// queue is noticed as it forms. Entry hosts exchange their waits, since each of them
// sees only a few of the requests.
//
// It is safe for concurrent use, and the zero value is ready.
type StartLatency struct {
	mu      sync.Mutex
	servers map[string]*serverWaits
	// broadcastAt is the time of the last broadcast.
	broadcastAt time.Time
}

// serverWaits holds the waits at one server.
type serverWaits struct {
	// pending holds the requests that have had no event yet.
	pending map[*PendingStart]struct{}
	// wait is the latest wait that this or another entry host observed, as of
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
	// threshold is the wait from which on it is broadcast to other entry hosts at
	// once.
	threshold time.Duration
}

// Track records that a request was sent to a server. Once it has waited for the
// threshold, ShouldBroadcast takes its wait into account.
func (s *StartLatency) Track(id string, threshold time.Duration, now time.Time) *PendingStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := &PendingStart{id: id, sentAt: now, threshold: threshold}
	s.server(id).pending[start] = struct{}{}
	return start
}

// server returns the waits at a server, adding it if needed. The mutex is held.
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

// expected returns the longest wait of a pending request or the last observed wait
// with its decay, whichever is longer.
func (w *serverWaits) expected(now time.Time) time.Duration {
	return max(w.longestPending(now), decayed(w.wait, now.Sub(w.observedAt)))
}

// longestPending returns how long the oldest pending request has waited.
func (w *serverWaits) longestPending(now time.Time) time.Duration {
	var longest time.Duration
	for start := range w.pending {
		longest = max(longest, now.Sub(start.sentAt))
	}
	return longest
}

// longestOverThreshold returns the longest wait of a pending request that has reached
// its threshold, or zero.
func (w *serverWaits) longestOverThreshold(now time.Time) time.Duration {
	var longest time.Duration
	for start := range w.pending {
		if wait := now.Sub(start.sentAt); wait >= start.threshold {
			longest = max(longest, wait)
		}
	}
	return longest
}

func decayed(wait, age time.Duration) time.Duration {
	return time.Duration(float64(wait) * math.Exp2(-max(0, float64(age))/float64(waitHalfLife)))
}

// Waits returns the expected waits by server, to be sent to other entry hosts.
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
// at once. If so it records the broadcast.
func (s *StartLatency) ShouldBroadcast(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.broadcastAt) < broadcastInterval {
		return false
	}
	for _, w := range s.servers {
		wait := w.longestOverThreshold(now)
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
