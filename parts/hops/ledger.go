package hops

import (
	"sync"
	"time"
)

// Ledger counts what the requests under way take of each server: those of
// this entry host exactly, those of the others as they last told.
type Ledger struct {
	mu     sync.Mutex
	own    map[string]Usage
	others map[string]map[string]Usage
	full   map[string]time.Time
}

// fullFor is how long a server counts as full after it refused a request:
// some requests end there in that time.
const fullFor = 200 * time.Millisecond

// Refused notes that a server refused a request.
func (l *Ledger) Refused(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full == nil {
		l.full = map[string]time.Time{}
	}
	l.full[id] = now.Add(fullFor)
}

// Sweep forgets refusals that are over.
func (l *Ledger) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, until := range l.full {
		if now.After(until) {
			delete(l.full, id)
		}
	}
}

// Reserve books a chain for a request of the given size until release is
// called.
func (l *Ledger) Reserve(c Chain, tokens int) (release func()) {
	l.add(c, float64(tokens), 1)
	var once sync.Once
	return func() {
		once.Do(func() { l.add(c, -float64(tokens), -1) })
	}
}

func (l *Ledger) add(c Chain, tokens, requests float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own == nil {
		l.own = map[string]Usage{}
	}
	for i, p := range c {
		u := l.own[p.Server.ID]
		u.TokenLayers += tokens * float64(p.End-p.First)
		u.Requests += requests
		if i == 0 {
			u.Starts += requests
		}
		if u.Requests <= 0 {
			delete(l.own, p.Server.ID)
			continue
		}
		l.own[p.Server.ID] = u
	}
}

// Own returns what this entry host's requests take.
func (l *Ledger) Own() map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(map[string]Usage, len(l.own))
	for id, u := range l.own {
		own[id] = u
	}
	return own
}

// Tell replaces what another entry host's requests take; nil forgets it.
func (l *Ledger) Tell(entry string, used map[string]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.others == nil {
		l.others = map[string]map[string]Usage{}
	}
	if used == nil {
		delete(l.others, entry)
		return
	}
	l.others[entry] = used
}

// Used returns what all requests take of a server.
func (l *Ledger) Used(id string) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.own[id]
	_, u.Full = l.full[id]
	for _, used := range l.others {
		o := used[id]
		u.TokenLayers += o.TokenLayers
		u.Requests += o.Requests
		u.Starts += o.Starts
	}
	return u
}
