package gossip

import "time"

// settleTime is how long a new entry host listens before it concludes from
// silence that others are absent: as long as a living one may go unheard.
const settleTime = aliveFor

// Settled reports whether this entry host has listened long enough to conclude that
// a member is absent. Until then it takes no exclusive role: after a power failure
// all would take it at once.
func (p *Peer) Settled() bool {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled || time.Since(p.started) >= settleTime
}

// IsLeader reports whether this entry host places layers: the first by name of
// those that the object API answers, or of all if it answers none.
func (p *Peer) IsLeader() bool {
	if p.Leaving() || !p.Settled() {
		return false
	}
	mine := p.StoreUp()
	for _, m := range p.Alive() {
		if m.Store && !mine {
			return false
		}
		if m.Store == mine && m.Name < p.Self.Name {
			return false
		}
	}
	return true
}

// maxWatcherAge is the age of the last message above which a watcher is not relied on.
const maxWatcherAge = 1200 * time.Millisecond

// WatcherRank returns how many entry hosts of the failure domain come before this one
// in the order in which they watch the object API. Those that it does not answer
// count only while it does not answer this one either: then the first of them
// try again for all, and the others put no load on it.
func (p *Peer) WatcherRank() int {
	mine := p.StoreUp()
	ahead := 0
	for _, m := range p.Alive() {
		if m.Domain == p.Self.Domain && (m.Store || !mine) && m.Age < maxWatcherAge && m.Name < p.Self.Name {
			ahead++
		}
	}
	return ahead
}
