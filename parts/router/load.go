package router

import (
	"sync"
	"time"
)

// LoadTracker tracks the load that requests in flight put on each server: exactly for
// this entry host's requests, and as of the last message for those of other entry
// hosts. It also tracks which servers count as saturated after a refusal. It is safe
// for concurrent use, and the zero value is ready.
type LoadTracker struct {
	mu     sync.Mutex
	local  map[string]Usage
	remote map[string]map[string]Usage
	// total is the sum of local and remote. Each choice of a chain reads it for every
	// server; summing over hundreds of entry hosts instead would take longer than the
	// choice itself.
	total    map[string]Usage
	refusals map[string]refusal
}

// refusal records that a server refused a request: the time until which it counts as
// saturated, its backoff, and whether Sweep has found that time to be over.
type refusal struct {
	until   time.Time
	backoff time.Duration
	expired bool
}

const (
	// initialBackoff is how long a server counts as saturated after it refused a
	// request; some of its requests end in that time. The backoff doubles while the
	// server keeps refusing, up to maxBackoff: a server that is leaving refuses for
	// seconds, and its entry may not show that while the object API is unavailable.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 8 * initialBackoff
	// transitTolerance is the largest extension of a refusal that is attributed to the
	// transit time of a message and ignored. If transit times added up, gossip would
	// keep an old refusal alive.
	transitTolerance = initialBackoff / 2
)

// RecordRefusal records that a server refused a request of this entry host. It reports
// whether the refusal is new, that is, the server did not count as saturated before.
func (l *LoadTracker) RecordRefusal(id string, now time.Time) (isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusals == nil {
		l.refusals = map[string]refusal{}
	}
	r, known := l.refusals[id]
	switch {
	case !known:
		r.backoff = initialBackoff
	case !r.expired:
		// The request was sent before the earlier refusal was known.
		return false
	default:
		r.backoff = min(2*r.backoff, maxBackoff)
	}
	l.refusals[id] = refusal{until: now.Add(r.backoff), backoff: r.backoff}
	return true
}

// RecordRemoteRefusal records that a server refused a request of another entry host
// and counts as saturated for the remaining time.
func (l *LoadTracker) RecordRemoteRefusal(id string, remaining time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusals == nil {
		l.refusals = map[string]refusal{}
	}
	remaining = min(remaining, maxBackoff)
	r, known := l.refusals[id]
	if until := now.Add(remaining); !known || until.Sub(r.until) > transitTolerance {
		l.refusals[id] = refusal{until: until, backoff: max(r.backoff, initialBackoff)}
	}
}

// Saturated returns the servers that count as saturated, each with the remaining time.
func (l *LoadTracker) Saturated(now time.Time) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := map[string]time.Duration{}
	for id, r := range l.refusals {
		if remaining := r.until.Sub(now); remaining > 0 {
			list[id] = remaining
		}
	}
	return list
}

// Remaining returns how much longer a server counts as saturated.
func (l *LoadTracker) Remaining(id string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.refusals[id].until.Sub(now))
}

// RecordAccepted records that the servers of a chain accepted a request; they no
// longer count as saturated.
func (l *LoadTracker) RecordAccepted(c Chain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range c {
		delete(l.refusals, s.Server.ID)
	}
}

// Sweep marks refusals as expired once their backoff is over, and removes old ones.
func (l *LoadTracker) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.refusals {
		if now.After(r.until.Add(maxBackoff)) {
			delete(l.refusals, id)
			continue
		}
		r.expired = now.After(r.until)
		l.refusals[id] = r
	}
}

// Reserve adds a request of the given size to the load of the servers of a chain until
// release is called.
func (l *LoadTracker) Reserve(c Chain, tokens int) (release func()) {
	l.add(c, float64(tokens), 1)
	var once sync.Once
	return func() {
		once.Do(func() { l.add(c, -float64(tokens), -1) })
	}
}

func (l *LoadTracker) add(c Chain, tokens, requests float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local == nil {
		l.local = map[string]Usage{}
	}
	for i, s := range c {
		u := Usage{TokenLayers: tokens * float64(s.End-s.First), Requests: requests}
		if i == 0 {
			u.Starts = requests
		}
		addUsage(l.local, s.Server.ID, u, 1)
		l.addTotal(s.Server.ID, u, 1)
	}
}

// addTotal adds a usage to the total, or subtracts it if sign is -1. The mutex is
// held.
func (l *LoadTracker) addTotal(id string, u Usage, sign float64) {
	if l.total == nil {
		l.total = map[string]Usage{}
	}
	addUsage(l.total, id, u, sign)
}

// addUsage adds a usage to that of a server, or subtracts it if sign is -1. A server
// without requests is removed.
func addUsage(loads map[string]Usage, id string, u Usage, sign float64) {
	current := loads[id]
	current.TokenLayers += sign * u.TokenLayers
	current.Requests += sign * u.Requests
	current.Starts += sign * u.Starts
	if current.Requests <= 0 {
		delete(loads, id)
		return
	}
	loads[id] = current
}

// Local returns the load of this entry host's requests.
func (l *LoadTracker) Local() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	local := make(map[string]Usage, len(l.local))
	for id, u := range l.local {
		local[id] = u
	}
	return local
}

// SetRemote replaces the load of another entry host's requests; nil removes it.
func (l *LoadTracker) SetRemote(host string, load map[string]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remote == nil {
		l.remote = map[string]map[string]Usage{}
	}
	for id, u := range l.remote[host] {
		l.addTotal(id, u, -1)
	}
	for id, u := range load {
		l.addTotal(id, u, 1)
	}
	if load == nil {
		delete(l.remote, host)
		return
	}
	l.remote[host] = load
}

// Used returns the load of all requests on a server.
func (l *LoadTracker) Used(id string) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.total[id]
	r, refused := l.refusals[id]
	u.Full = refused && !r.expired
	return u
}
