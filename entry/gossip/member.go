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
	// Boot tells the runs of one name apart; a later one is higher.
	Boot int64
	// Age is how long ago it was heard, directly or by others.
	Age time.Duration
	// Store says that the object API answers it.
	Store bool
	// Leaving says that it is about to end.
	Leaving bool
	// Settled says that it has listened long enough to know who is absent.
	Settled bool
}

type heard struct {
	Member
	at time.Time
}

// forget drops an entry host that is not heard of any more. The mutex is held.
func (p *Peer) forget(name, address string) {
	delete(p.members, name)
	if c := p.clients[address]; c != nil {
		c.close()
		delete(p.clients, address)
	}
	p.Ledger.Tell(name, nil)
	p.Log.Info("peers: forgotten", "peer", name, "address", address)
}

// Members returns the entry hosts that are known, this one not among them.
func (p *Peer) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := make([]Member, 0, len(p.members))
	for _, m := range p.members {
		told := m.Member
		told.Age = now.Sub(m.at)
		list = append(list, told)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// What is told of other entry hosts in one message: all of them in each would be
// most of what entry hosts tell each other. Who leads and who watches is decided
// among the first by name of each failure domain, so these are always told; of the
// others some, which makes all known within a few seconds.
const (
	toldFirst  = 4
	toldOthers = 8
)

// told returns the entry hosts to tell another of.
func (p *Peer) told() []Member {
	var list, rest []Member
	first := map[domain.Name]int{}
	for _, m := range p.Members() {
		fresh := m.Age <= freshFor && !m.Leaving
		if fresh && first[m.Domain] < toldFirst {
			first[m.Domain]++
			list = append(list, m)
			continue
		}
		rest = append(rest, m)
	}
	p.shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(list, rest[:min(toldOthers, len(rest))]...)
}

// Alive returns the entry hosts heard of lately, this one not among them.
func (p *Peer) Alive() []Member {
	return slices.DeleteFunc(p.Members(), func(m Member) bool { return m.Age > freshFor || m.Leaving })
}

// meet notes which entry hosts there are.
func (p *Peer) meet(m *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	direct := m.From
	direct.Age = 0
	// Its message names the first of each failure domain.
	p.settled = p.settled || direct.Settled
	p.note(direct, now)
	for _, other := range m.Members {
		p.note(other, now)
	}
}

// note takes what is said of one entry host, if it is newer. The mutex is
// held.
func (p *Peer) note(m Member, now time.Time) {
	if m.Name == p.Self.Name || m.Age > forgetAfter {
		return
	}
	at := now.Add(-m.Age)
	known := p.members[m.Name]
	if known == nil {
		p.Log.Info("peers: met", "peer", m.Name, "address", m.Address, "domain", m.Domain)
		p.members[m.Name] = &heard{Member: m, at: at}
		return
	}
	if m.Boot < known.Boot || m.Boot == known.Boot && at.Before(known.at) {
		return
	}
	if m.Leaving && !known.Leaving {
		p.Ledger.Tell(m.Name, nil)
	}
	known.Member = m
	known.at = at
}
