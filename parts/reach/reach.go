// Package reach tracks whether an entry host reaches the backend servers.
//
// A connection that a server refuses, or does not answer, has two explanations: the
// server is down, or this entry host is cut off from it. One attempt cannot
// distinguish them. A [Tracker] compares the attempts at all servers: an entry host is
// isolated if no server has accepted a connection since several of them did not.
//
// A host with few requests may connect only to servers that have crashed together. If
// Candidates is set, a host is therefore isolated only after some *checks* have failed too:
// attempts at servers that are chosen for no failure of theirs. [Tracker.DueChecks] says which.
// Servers that are known to be down from other hosts show nothing and do not count.
//
// Only new connections count. Those that are open may live on while new ones are refused.
//
// While an entry host does not reach a server, it connects through another host that does.
// The Tracker says when: see [Tracker.Direct].
package reach

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// minUnreached is how many servers must have accepted no connection before an entry
	// host counts as isolated, if it knows as many: a rack of servers may be down.
	minUnreached = 3
	// minChecks is how many checks must have failed, if there are as many servers.
	minChecks = 3
	// checkInterval is the shortest interval between two rounds of checks that are due.
	checkInterval = 200 * time.Millisecond
	// relayedFor is how long connections to a server go through another entry host after
	// the last direct attempt failed. Then a direct one is made again.
	relayedFor = 2 * time.Second
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
// fields before use. Its functions must not call the Tracker.
type Tracker struct {
	// Known returns the number of servers in use; nil means that it is large.
	Known func() int
	// Down reports whether a server is known to be down, not only from attempts of this
	// entry host; nil means that none is.
	Down func(address string) bool
	// Candidates returns the servers that may be checked, the preferred ones first, in a new list;
	// nil means that isolation needs no checks.
	Candidates func() []string

	mu sync.Mutex
	// attempts holds the latest attempt at each server, by address.
	attempts map[string]attempt
	// lastReached is when the latest attempt that was accepted began.
	lastReached time.Time
	// lastRelayed is when another entry host last connected to a server for this one.
	lastRelayed time.Time
	// lastChecks is when checks were last due.
	lastChecks time.Time
	isolated   bool
}

// attempt is an attempt to connect to a server.
type attempt struct {
	startedAt time.Time
	reached   bool
	// relayed says that another entry host has reached the server since.
	relayed bool
	// check says that the server was chosen for a check.
	check bool
}

// Record records whether a server accepted a connection that was attempted at a time. It
// reports whether that changed the state of this entry host.
func (t *Tracker) Record(address string, reached bool, startedAt time.Time) (changed bool) {
	return t.record(address, reached, false, startedAt)
}

// RecordCheck is like Record for a check.
func (t *Tracker) RecordCheck(address string, reached bool, startedAt time.Time) (changed bool) {
	return t.record(address, reached, true, startedAt)
}

func (t *Tracker) record(address string, reached, check bool, startedAt time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts == nil {
		t.attempts = map[string]attempt{}
	}
	old := t.attempts[address]
	latest := old
	if !startedAt.Before(old.startedAt) {
		latest = attempt{startedAt: startedAt, reached: reached, relayed: old.relayed && !reached}
	}
	// A check that failed counts also if a later attempt at the server has ended before it.
	latest.check = check && !reached || old.check && t.failed(old)
	t.attempts[address] = latest
	if reached && startedAt.After(t.lastReached) {
		t.lastReached = startedAt
	}
	return t.update(reached)
}

// update updates isolated after an attempt, and reports whether that changed. Only an accepted
// connection ends an isolation. The mutex is held.
func (t *Tracker) update(reached bool) (changed bool) {
	before := t.isolated
	switch {
	case !before:
		t.isolated = t.inDoubt() && t.checked()
	case reached:
		t.isolated = t.countFailed(nil) >= t.enough(t.knownServers())
	}
	return t.isolated != before
}

// RecordRelayed records that another entry host has connected to a server, which this one
// did not reach or did not try.
func (t *Tracker) RecordRelayed(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRelayed = now
	if a, tried := t.attempts[address]; tried && !a.reached {
		a.relayed = true
		t.attempts[address] = a
	}
}

// Direct reports whether a connection to a server is to be attempted directly. It is not
// while this entry host is isolated and another one has lately reached servers for it, and
// while another host has reached the server after this one had not. Servers that are slow to
// accept for all do not make this host give up connections that it has.
func (t *Tracker) Direct(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isolated && now.Sub(t.lastRelayed) <= reachedFor {
		return false
	}
	a := t.attempts[address]
	return !a.relayed || now.Sub(a.startedAt) > relayedFor
}

// ReachedSince reports whether a server has accepted a connection that was attempted after
// a time.
func (t *Tracker) ReachedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastReached.After(at)
}

// Unreached returns the servers whose latest attempt was not accepted.
func (t *Tracker) Unreached() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for address, a := range t.attempts {
		if !a.reached {
			list = append(list, address)
		}
	}
	return list
}

// failed reports whether an attempt was not accepted, and began after the latest one that
// was. The mutex is held.
func (t *Tracker) failed(a attempt) bool {
	return !a.reached && a.startedAt.After(t.lastReached)
}

// countFailed returns the number of servers whose latest attempt failed, without those that are
// known to be down. The mutex is held.
func (t *Tracker) countFailed(down func(address string) bool) (n int) {
	for address, a := range t.attempts {
		if t.failed(a) && (down == nil || !down(address)) {
			n++
		}
	}
	return n
}

// knownServers returns the number of servers in use. The mutex is held.
func (t *Tracker) knownServers() int {
	if t.Known == nil {
		return math.MaxInt
	}
	return t.Known()
}

// enough returns how many of some servers must not have accepted a connection.
func (t *Tracker) enough(servers int) int { return max(1, min(minUnreached, servers)) }

// inDoubt reports whether no server has accepted a connection since enough servers that are
// not known to be down did not. If all are known to be down, all count, since the hosts that
// reported it may be cut off as well. The mutex is held.
func (t *Tracker) inDoubt() bool {
	if t.countFailed(nil) < t.enough(t.knownServers()) {
		return false
	}
	if t.Down == nil || t.Candidates == nil {
		return true
	}
	up := len(slices.DeleteFunc(t.Candidates(), t.Down))
	return up == 0 || t.countFailed(t.Down) >= t.enough(up)
}

// checked reports whether enough checks have failed, or all servers were tried. The mutex is
// held.
func (t *Tracker) checked() bool {
	return t.Candidates == nil || t.missingChecks() <= 0 || len(t.untried()) == 0
}

// missingChecks returns how many more checks must fail. The mutex is held.
func (t *Tracker) missingChecks() int {
	n := minChecks
	for _, a := range t.attempts {
		if a.check && t.failed(a) {
			n--
		}
	}
	return n
}

// untried returns the servers for checks that were not tried since one has accepted a
// connection. The mutex is held.
func (t *Tracker) untried() []string {
	return slices.DeleteFunc(t.Candidates(), func(address string) bool {
		return t.failed(t.attempts[address]) || t.Down != nil && t.Down(address)
	})
}

// DueChecks returns the servers at which a check must start now, because the attempts so far
// may mean an isolation.
func (t *Tracker) DueChecks(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Candidates == nil || t.isolated || now.Sub(t.lastChecks) < checkInterval || !t.inDoubt() {
		return nil
	}
	t.lastChecks = now
	list := t.untried()
	return list[:max(0, min(t.missingChecks(), len(list)))]
}

// State returns the state of this entry host.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.isolated:
		return Isolated
	case now.Sub(t.lastReached) <= reachedFor:
		return Reaching
	}
	return Unknown
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

// Relayed returns the number of servers that this entry host did not reach and another one
// did.
func (t *Tracker) Relayed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, a := range t.attempts {
		if a.relayed {
			n++
		}
	}
	return n
}

// Retain forgets the servers whose addresses are not in use. An isolation ends if no attempt is left
// that shows it.
func (t *Tracker) Retain(inUse func(address string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.attempts, func(address string, _ attempt) bool { return !inUse(address) })
	if t.isolated {
		t.isolated = t.countFailed(nil) > 0
		return
	}
	t.update(false)
}
