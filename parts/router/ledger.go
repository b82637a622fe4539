package router

import (
	"sync"
	"time"
)

// LoadTracker counts what the requests in flight take of each server: those of this entry
// host exactly, those of others as of their last message.
type LoadTracker struct {
	mu     sync.Mutex
	own    map[string]Usage
	others map[string]map[string]Usage
	// total is the sum of own and others. A choice reads it for every server; summing
	// up hundreds of entry hosts there takes longer than the choice itself.
	total map[string]Usage
	full  map[string]refusal
}

// refusal says until when a server counts as full, for how long it did, and
// whether that is over.
type refusal struct {
	until time.Time
	pause time.Duration
	over  bool
}

const (
	// fullFor is how long a server counts as full after it refused a request:
	// some requests end there in that time. It doubles while the server goes on
	// refusing, up to longestFull: one that is leaving refuses for seconds, and
	// its entry need not say so while the object API is away.
	fullFor     = 200 * time.Millisecond
	longestFull = 8 * fullFor
	// transitTime is by how much a later end may be due to the transit time of a
	// message. Added up, transit times would keep an old refusal alive.
	transitTime = fullFor / 2
)

// RecordRefusal records that a server refused a request. It reports whether the server did
// not count as full before.
func (l *LoadTracker) RecordRefusal(id string, now time.Time) (news bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full == nil {
		l.full = map[string]refusal{}
	}
	r, known := l.full[id]
	switch {
	case !known:
		r.pause = fullFor
	case !r.over:
		// The request was on its way when another was refused.
		return false
	default:
		r.pause = min(2*r.pause, longestFull)
	}
	l.full[id] = refusal{until: now.Add(r.pause), pause: r.pause}
	return true
}

// RecordRemoteRefusal records that a server refused a request of another entry host, for
// which it counts as full for the time left.
func (l *LoadTracker) RecordRemoteRefusal(id string, left time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full == nil {
		l.full = map[string]refusal{}
	}
	left = min(left, longestFull)
	r, known := l.full[id]
	if until := now.Add(left); !known || until.Sub(r.until) > transitTime {
		l.full[id] = refusal{until: until, pause: max(r.pause, fullFor)}
	}
}

// Saturated returns for how long which servers count as full.
func (l *LoadTracker) Saturated(now time.Time) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := map[string]time.Duration{}
	for id, r := range l.full {
		if left := r.until.Sub(now); left > 0 {
			list[id] = left
		}
	}
	return list
}

// RecordAccepted notes that the servers of a chain took a request.
func (l *LoadTracker) RecordAccepted(c Chain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range c {
		delete(l.full, p.Server.ID)
	}
}

// Sweep ends the pauses of servers that refused, and removes old ones.
func (l *LoadTracker) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.full {
		if now.After(r.until.Add(longestFull)) {
			delete(l.full, id)
			continue
		}
		r.over = now.After(r.until)
		l.full[id] = r
	}
}

// Reserve books a chain for a request of the given size until release is
// called.
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
	if l.own == nil {
		l.own = map[string]Usage{}
	}
	for i, p := range c {
		u := Usage{TokenLayers: tokens * float64(p.End-p.First), Requests: requests}
		if i == 0 {
			u.Starts = requests
		}
		sum(l.own, p.Server.ID, u, 1)
		l.sumTotal(p.Server.ID, u, 1)
	}
}

// sumTotal adds a usage to the total, or takes it away. The mutex is held.
func (l *LoadTracker) sumTotal(id string, u Usage, sign float64) {
	if l.total == nil {
		l.total = map[string]Usage{}
	}
	sum(l.total, id, u, sign)
}

// sum adds a usage to that of a server, or takes it away. A server without
// requests is left out.
func sum(of map[string]Usage, id string, u Usage, sign float64) {
	now := of[id]
	now.TokenLayers += sign * u.TokenLayers
	now.Requests += sign * u.Requests
	now.Starts += sign * u.Starts
	if now.Requests <= 0 {
		delete(of, id)
		return
	}
	of[id] = now
}

// Local returns what this entry host's requests take.
func (l *LoadTracker) Local() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(map[string]Usage, len(l.own))
	for id, u := range l.own {
		own[id] = u
	}
	return own
}

// SetRemote replaces what another entry host's requests take; nil forgets it.
func (l *LoadTracker) SetRemote(entry string, used map[string]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.others == nil {
		l.others = map[string]map[string]Usage{}
	}
	for id, u := range l.others[entry] {
		l.sumTotal(id, u, -1)
	}
	for id, u := range used {
		l.sumTotal(id, u, 1)
	}
	if used == nil {
		delete(l.others, entry)
		return
	}
	l.others[entry] = used
}

// Used returns what all requests take of a server.
func (l *LoadTracker) Used(id string) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.total[id]
	r, refused := l.full[id]
	u.Full = refused && !r.over
	return u
}
