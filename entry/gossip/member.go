package gossip

import (
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/reach"
)

// Member is the state of an entry host.
type Member struct {
	Name    string
	Address string
	Domain  domain.Name
	// Boot orders the incarnations of an entry host.
	Boot int64
	// Seq numbers the messages of one incarnation. Of two states of a member the one
	// with the higher Seq wins, regardless of the order in which they arrive.
	Seq uint64
	// Age is the time since the member's last message to any entry host.
	Age time.Duration
	// Store says that the object API answers the member.
	Store bool
	// Reach says whether the member reaches backend servers.
	Reach reach.State
	// Leaving says that the member is about to stop.
	Leaving bool
	// Settled says that the member has listened long enough to know which hosts are
	// absent.
	Settled bool
}

// memberState holds a member's last known state and when the member sent it: in real time,
// and on the clock of this process, which does not count its stalls.
type memberState struct {
	Member
	lastHeard, heardAt time.Time
	// id is the ID of the member in Heard.
	id uint32
	// heardSeq is the highest Seq that a message of this member, or another one that says when it
	// was heard, had, and heardSeqAt when the member sent it, on the clock of this process.
	heardSeq   uint64
	heardSeqAt time.Time
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
	p.forgetDemand(name)
	p.Log.Info("peers: removed", "peer", name, "address", address)
}

// forgetDemand drops what is known of the demand at an entry host.
func (p *Peer) forgetDemand(name string) {
	if p.Shares != nil {
		p.Shares.Forget(name)
	}
}

// mergeDemand replaces what is known of the demand at the sender of a message, unless a
// newer message has said that the sender leaves or has restarted.
func (p *Peer) mergeDemand(m *Message) {
	if p.Shares == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.members[m.From.Name]
	if known == nil || known.Leaving || known.Boot != m.From.Boot {
		return
	}
	p.Shares.Merge(m.From.Name, m.From.Domain, m.Demand, time.Now())
}

// Members returns the other known entry hosts, ordered by name.
func (p *Peer) Members() []Member {
	now := time.Now()
	return p.list(func(m *memberState) time.Duration { return now.Sub(m.lastHeard) })
}

// listened returns the same hosts, but each with the time for which this process has
// listened without hearing from it as its age.
func (p *Peer) listened() []Member {
	now := p.Clock.Now()
	return p.list(func(m *memberState) time.Duration {
		_, at := m.newest()
		return now.Sub(at)
	})
}

// list returns the other known entry hosts with the given ages, ordered by name.
func (p *Peer) list(age func(m *memberState) time.Duration) []Member {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Member, 0, len(p.members))
	for _, known := range p.members {
		member := known.Member
		member.Age = age(known)
		list = append(list, member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// To limit its size, a message lists only some members: the first samplePerDomain by
// name of each failure domain, from which the leader and the watchers of the object
// API are chosen, and sampleOthers of the others, chosen at random.
const (
	samplePerDomain = 4
	sampleOthers    = 8
)

// sample returns the members to list in a message.
func (p *Peer) sample() []Member {
	var list, rest []Member
	listed := map[domain.Name]int{}
	for _, m := range p.Members() {
		alive := m.Age <= aliveFor && !m.Leaving
		if alive && listed[m.Domain] < samplePerDomain {
			listed[m.Domain]++
			list = append(list, m)
			continue
		}
		rest = append(rest, m)
	}
	p.shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(list, rest[:min(sampleOthers, len(rest))]...)
}

// Alive returns the other entry hosts that have sent a message within aliveFor and are
// not leaving.
func (p *Peer) Alive() []Member {
	return slices.DeleteFunc(p.listened(), func(m Member) bool { return m.Age > aliveFor || m.Leaving })
}

// AliveByDomain returns the number of entry hosts alive by failure domain, including this
// one.
func (p *Peer) AliveByDomain() map[domain.Name]int {
	alive := map[domain.Name]int{p.Self.Domain: 1}
	for _, m := range p.Alive() {
		alive[m.Domain]++
	}
	return alive
}

// Senders returns the names of the other entry hosts that may send requests to servers.
// A host that sends no messages counts until it is removed: it may be cut off from this
// one only. complete says that no others exist.
func (p *Peer) Senders() (names []string, complete bool) {
	for _, m := range p.listened() {
		if !m.Leaving || m.Age <= aliveFor {
			names = append(names, m.Name)
		}
	}
	return names, p.Settled()
}

// mergeMembers merges the states of the sender and of the members that a message lists.
func (p *Peer) mergeMembers(m *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	sender := m.From
	sender.Age = 0
	// A settled sender knows which hosts are absent, and its message lists the first
	// hosts of each failure domain, from which the leader is chosen.
	p.settled = p.settled || sender.Settled
	p.mergeMember(sender, now)
	for _, other := range m.Members {
		p.mergeMember(other, now)
	}
}

// mergeMember replaces the known state of a member if m is newer. The mutex is held.
func (p *Peer) mergeMember(m Member, now time.Time) {
	if m.Name == p.Self.Name || m.Age > removeAfter {
		return
	}
	lastHeard, heardAt := now.Add(-m.Age), p.Clock.Now().Add(-m.Age)
	known := p.members[m.Name]
	if known == nil {
		p.Log.Info("peers: new", "peer", m.Name, "address", m.Address, "domain", m.Domain)
		known = &memberState{lastHeard: lastHeard, heardAt: heardAt}
		known.setMember(m)
		p.members[m.Name] = known
		return
	}
	if precedes(m, known.Member) || m.Boot == known.Boot && m.Seq == known.Seq && lastHeard.Before(known.lastHeard) {
		return
	}
	if m.Leaving && !known.Leaving {
		p.Load.SetRemote(m.Name, nil)
		p.forgetDemand(m.Name)
	}
	if m.Boot > known.Boot {
		p.forgetDemand(m.Name)
	}
	known.setMember(m)
	known.lastHeard, known.heardAt = lastHeard, heardAt
}

// precedes reports whether m was sent before other, a state of the same member.
func precedes(m, other Member) bool {
	return m.Boot < other.Boot || m.Boot == other.Boot && m.Seq < other.Seq
}
