package gossip

import (
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

// Member is an entry host.
type Member struct {
	Name    string
	Address string
	Domain  domain.Name
	// Boot orders the runs of one name.
	Boot int64
	// Seq numbers the messages of one run. Of two states of a member the later one
	// counts, regardless of their transit times.
	Seq uint64
	// Age is the time since its last message, to this entry host or another.
	Age time.Duration
	// Store says that the object API answers it.
	Store bool
	// Leaving says that it is about to end.
	Leaving bool
	// Settled says that it has listened long enough to know who is absent.
	Settled bool
}

type memberState struct {
	Member
	lastHeard time.Time
}

// remove drops a silent entry host. The mutex is held.
func (p *Peer) remove(name, address string) {
	delete(p.members, name)
	if c := p.clients[address]; c != nil {
		c.close()
		delete(p.clients, address)
	}
	p.Ledger.SetRemote(name, nil)
	p.Log.Info("peers: forgotten", "peer", name, "address", address)
}

// Members returns the other known entry hosts, ordered by name.
func (p *Peer) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := make([]Member, 0, len(p.members))
	for _, m := range p.members {
		member := m.Member
		member.Age = now.Sub(m.lastHeard)
		list = append(list, member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// A message lists some members only, to bound its size: the first by name of each
// failure domain, among which leader and watchers are chosen, and a random sample
// of the others.
const (
	samplePerDomain = 4
	sampleOthers    = 8
)

// sample returns the members to list in a message.
func (p *Peer) sample() []Member {
	var list, rest []Member
	first := map[domain.Name]int{}
	for _, m := range p.Members() {
		fresh := m.Age <= aliveFor && !m.Leaving
		if fresh && first[m.Domain] < samplePerDomain {
			first[m.Domain]++
			list = append(list, m)
			continue
		}
		rest = append(rest, m)
	}
	p.shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(list, rest[:min(sampleOthers, len(rest))]...)
}

// Alive returns the other entry hosts that were heard from lately.
func (p *Peer) Alive() []Member {
	return slices.DeleteFunc(p.Members(), func(m Member) bool { return m.Age > aliveFor || m.Leaving })
}

// mergeMembers updates the members from a message.
func (p *Peer) mergeMembers(m *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	direct := m.From
	direct.Age = 0
	// Its message names the first of each failure domain.
	p.settled = p.settled || direct.Settled
	p.mergeMember(direct, now)
	for _, other := range m.Members {
		p.mergeMember(other, now)
	}
}

// mergeMember replaces what is known of a member if the new state is newer. The mutex
// is held.
func (p *Peer) mergeMember(m Member, now time.Time) {
	if m.Name == p.Self.Name || m.Age > removeAfter {
		return
	}
	at := now.Add(-m.Age)
	known := p.members[m.Name]
	if known == nil {
		p.Log.Info("peers: met", "peer", m.Name, "address", m.Address, "domain", m.Domain)
		p.members[m.Name] = &memberState{Member: m, lastHeard: at}
		return
	}
	if precedes(m, known.Member) || m.Boot == known.Boot && m.Seq == known.Seq && at.Before(known.lastHeard) {
		return
	}
	if m.Leaving && !known.Leaving {
		p.Ledger.SetRemote(m.Name, nil)
	}
	known.Member = m
	known.lastHeard = at
}

// precedes reports whether one state of a member precedes another.
func precedes(m, than Member) bool {
	return m.Boot < than.Boot || m.Boot == than.Boot && m.Seq < than.Seq
}
