package gossip

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"fuchsiashelf.dev/parts/reach"
	"fuchsiashelf.dev/parts/roster"
)

// settleTime is how long a new entry host listens before it treats hosts that it does
// not know as absent. A live host can go unheard for that long.
const settleTime = roster.AbsentAfter

// Settled reports whether this entry host has listened long enough to know which hosts
// are absent, or has a list of members from a settled one. Until then it takes no
// exclusive role: after a power failure all hosts would take it at once.
func (p *Peer) Settled() bool {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled || p.Clock.Now().Sub(p.started) >= settleTime
}

// IsLeader reports whether this entry host is the leader, which places layers on
// servers. The leader is the first of all hosts: those that are not cut off from the
// servers precede the others, then those that the object API answers, then those whose
// names sort first.
func (p *Peer) IsLeader() bool {
	if p.Leaving() || !p.Settled() {
		return false
	}
	self := p.Self
	self.Store, self.Reach = p.StoreUp(), p.reach()
	for _, m := range p.Alive() {
		if leadsBefore(m, &self) {
			return false
		}
	}
	return true
}

// leadsBefore reports whether a member precedes another as leader.
func leadsBefore(a, b *Member) bool {
	if isolated := a.Reach == reach.Isolated; isolated != (b.Reach == reach.Isolated) {
		return !isolated
	}
	if a.Store != b.Store {
		return a.Store
	}
	return a.Name < b.Name
}

// WatcherRank returns how many entry hosts of the failure domain precede this one in
// the order in which they watch the object API. Hosts that the object API does not
// answer count only while it does not answer this one either: then the first hosts
// retry on behalf of all, and the others put no load on it.
func (p *Peer) WatcherRank() int {
	storeUp := p.StoreUp()
	rank := 0
	for _, m := range p.list().Responsive {
		if m.Domain == p.Self.Domain && (m.Store || !storeUp) && m.Name < p.Self.Name {
			rank++
		}
	}
	return rank
}

// Owns reports whether this entry host is responsible for something with a name. Hosts that
// know the same others agree on one of them; which one it is differs from name to name.
func (p *Peer) Owns(name string) bool {
	if p.Leaving() || !p.Settled() {
		return false
	}
	weight := func(host string) uint64 { return xxhash.Sum64String(name + "\x00" + host) }
	own := weight(p.Self.Name)
	return !slices.ContainsFunc(p.Alive(), func(m *Member) bool { return weight(m.Name) > own })
}
