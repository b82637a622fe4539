// Package reach tells whether an entry host reaches the backend servers.
//
// A connection that a server refuses, or does not answer, has two explanations: the
// server is down, or this entry host is cut off from it. One attempt cannot tell them
// apart. A [Tracker] compares the attempts at all servers: an entry host is isolated if
// no server has accepted a connection since several of them did not.
//
// Only new connections count. Those that are open may live on while new ones are refused.
package reach

import (
	"sync"
	"time"
)

const (
	// minUnreached is how many servers must have accepted no connection before an entry
	// host counts as isolated, if it knows as many: a rack of servers may be down.
	minUnreached = 3
	// reachedFor is how long an accepted connection shows that servers are reached.
	reachedFor = 10 * time.Second
)

// State says whether an entry host reaches backend servers.
type State uint8

// The states of an entry host. They are part of the encoding of gossip.
const (
	// Unknown means that no connection was attempted lately.
	Unknown State = iota
	// Reaching means that a server has accepted a connection lately.
	Reaching
	// Isolated means that no server accepts connections of the entry host.
	Isolated
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Unknown:
		return "unknown"
	case Reaching:
		return "reaching"
	case Isolated:
		return "isolated"
	}
	return "invalid"
}

// Tracker records which servers accept connections of this entry host. Set the exported
// field before use.
type Tracker struct {
	// Known returns the number of servers in use; nil means that it is large.
	Known func() int

	mu sync.Mutex
	// attempts holds the latest attempt at each server, by address.
	attempts map[string]attempt
	// lastReached is when the latest attempt that was accepted began.
	lastReached time.Time
}

// attempt is an attempt to connect to a server.
type attempt struct {
	startedAt time.Time
	reached   bool
}

// Record records whether a server accepted a connection that was attempted at a time. It
// reports whether that changed the state of this entry host.
func (t *Tracker) Record(address string, reached bool, startedAt time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.isolated()
	if t.attempts == nil {
		t.attempts = map[string]attempt{}
	}
	if old := t.attempts[address]; !startedAt.Before(old.startedAt) {
		t.attempts[address] = attempt{startedAt: startedAt, reached: reached}
	}
	if reached && startedAt.After(t.lastReached) {
		t.lastReached = startedAt
	}
	return t.isolated() != before
}

// isolated reports whether this entry host is isolated. The mutex is held.
func (t *Tracker) isolated() bool {
	enough := minUnreached
	if t.Known != nil {
		enough = max(1, min(enough, t.Known()))
	}
	n := 0
	for _, a := range t.attempts {
		if !a.reached && a.startedAt.After(t.lastReached) {
			n++
		}
	}
	return n >= enough
}

// State returns the state of this entry host.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.isolated():
		return Isolated
	case now.Sub(t.lastReached) <= reachedFor:
		return Reaching
	}
	return Unknown
}

// Reached reports whether the latest attempt at a server was accepted. A server that was
// not tried counts as reached.
func (t *Tracker) Reached(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, tried := t.attempts[address]
	return a.reached || !tried
}

// Counts returns the numbers of servers whose latest attempt was accepted and was not.
func (t *Tracker) Counts() (reached, unreached int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.attempts {
		if a.reached {
			reached++
		} else {
			unreached++
		}
	}
	return reached, unreached
}

// Retain forgets the servers whose addresses are not in use.
func (t *Tracker) Retain(inUse func(address string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address := range t.attempts {
		if !inUse(address) {
			delete(t.attempts, address)
		}
	}
}
