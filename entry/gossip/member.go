package gossip

import (
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

// Member is the state of an entry host.
type Member struct {
	Name    string
	Address string
	Domain  domain.Name
	// Boot orders the runs of an entry host with the same name.
	Boot int64
	// Seq numbers the messages of one run. Of two states of a member the later one
	// wins, regardless of their transit times.
	Seq uint64
	// Age is the time since the member's last message to any entry host.
	Age time.Duration
	// Store says that the object API answers the member.
	Store bool
	// Leaving says that the member is about to stop.
	Leaving bool
	// Settled says that the member has listened long enough to know who is absent.
	Settled bool
}

// memberState is a member and when it sent its last message.
type memberState struct {
	Member
	lastHeard time.Time
}

// remove removes an entry host that has sent no message for removeAfter. The mutex is
// held.
func (p *Peer) remove(name, address string) {
	delete(p.members, name)
	if c := p.clients[address]; c != nil {
		c.close()
		delete(p.clients, address)
	}
	p.Load.SetRemote(name, nil)
	p.Log.Info("peers: removed", "peer", name, "address", address)
}

// Members returns the other known entry hosts, ordered by name.
func (p *Peer) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := make([]Member, 0, len(p.members))
	for _, known := range p.members {
		member := known.Member
		member.Age = now.Sub(known.lastHeard)
		list = append(list, member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// To limit its size, a message lists only some members: the first by name of each
// failure domain, from which the leader and the watchers are chosen, and a random
// sample of the others.
const (
	samplePerDomain = 4
	sampleOthers    = 8
)

// sample returns the members to list in a message.
func (p *Peer) sample() []Member {
	var list, rest []Member
	first := map[domain.Name]int{}
	for _, m := range p.Members() {
		alive := m.Age <= aliveFor && !m.Leaving
		if alive && first[m.Domain] < samplePerDomain {
			first[m.Domain]++
			list = append(list, m)
			continue
		}
		rest = append(rest, m)
	}
	p.shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(list, rest[:min(sampleOthers, len(rest))]...)
}

// Alive returns the other entry hosts that have sent a message lately and are not
// leaving.
func (p *Peer) Alive() []Member {
	return slices.DeleteFunc(p.Members(), func(m Member) bool { return m.Age > aliveFor || m.Leaving })
}

// mergeMembers merges the sender and the members of a message.
func (p *Peer) mergeMembers(m *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	sender := m.From
	sender.Age = 0
	// The sender's message lists the first hosts of each failure domain.
	p.settled = p.settled || sender.Settled
	p.mergeMember(sender, now)
	for _, other := range m.Members {
		p.mergeMember(other, now)
	}
}

// mergeMember replaces the known state of a member by a newer one. The mutex is held.
func (p *Peer) mergeMember(m Member, now time.Time) {
	if m.Name == p.Self.Name || m.Age > removeAfter {
		return
	}
	lastHeard := now.Add(-m.Age)
	known := p.members[m.Name]
	if known == nil {
		p.Log.Info("peers: new", "peer", m.Name, "address", m.Address, "domain", m.Domain)
		p.members[m.Name] = &memberState{Member: m, lastHeard: lastHeard}
		return
	}
	if precedes(m, known.Member) || m.Boot == known.Boot && m.Seq == known.Seq && lastHeard.Before(known.lastHeard) {
		return
	}
	if m.Leaving && !known.Leaving {
		p.Load.SetRemote(m.Name, nil)
	}
	known.Member = m
	known.lastHeard = lastHeard
}

// precedes reports whether one state of a member is older than another.
func precedes(m, other Member) bool {
	return m.Boot < other.Boot || m.Boot == other.Boot && m.Seq < other.Seq
}
