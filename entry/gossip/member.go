package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/roster"
)

// Member is the state of an entry host.
type Member = roster.Member

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
	if known, exists := p.roster.State(m.From.Name, time.Now()); !exists || known.Leaving || known.Boot != m.From.Boot {
		return
	}
	p.Shares.Merge(m.From.Name, m.From.Domain, m.Demand, time.Now())
}

// list returns the current list of the other entry hosts.
func (p *Peer) list() *roster.List {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Current(time.Now())
}

// Members returns the other known entry hosts, ordered by name. The result must not be
// modified.
func (p *Peer) Members() []*Member { return p.list().Members }

// Alive returns the other entry hosts that are neither absent nor leaving, ordered by name.
// The result must not be modified.
func (p *Peer) Alive() []*Member { return p.list().Present }

// AliveByDomain returns the number of entry hosts alive by failure domain, including this
// one. The result must not be modified.
func (p *Peer) AliveByDomain() map[domain.Name]int { return p.list().ByDomain }

// Senders returns the names of the other entry hosts that may send requests to servers. An
// absent host counts until it is removed: it may be cut off from this one only. complete
// says that no others exist. The names must not be modified.
func (p *Peer) Senders() (names []string, complete bool) { return p.list().Senders, p.Settled() }

// mergeMembers merges the states of the sender and of the members that a message lists.
func (p *Peer) mergeMembers(m *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	sender := m.From
	sender.Age, sender.Suspected = 0, 0
	// A settled sender knows which hosts are absent. Older versions send no digest, and
	// always list the first hosts of each failure domain, from which the leader is chosen.
	p.settled = p.settled || sender.Settled && (m.AllMembers || m.Digest == 0)
	p.mergeMember(sender, now)
	p.roster.MergeBeats(m.Beats, now)
	if m.AllMembers && p.asksForMembers {
		p.asksForMembers = false
		if added := p.roster.MergeWhole(m.Members, now); len(added) > 0 {
			p.Log.Info("peers: list received", "from", m.From.Name, "hosts", len(m.Members), "new", len(added))
		}
	} else {
		for _, other := range m.Members {
			p.mergeMember(other, now)
		}
	}
	if m.Digest != 0 {
		p.roster.Compare(m.Digest, now)
	}
}

// mergeMember merges the state of a member. The mutex is held.
func (p *Peer) mergeMember(m Member, now time.Time) {
	switch p.roster.Merge(m, now) {
	case roster.Added:
		p.Log.Info("peers: new", "peer", m.Name, "address", m.Address, "domain", m.Domain)
	case roster.Left:
		p.Load.SetRemote(m.Name, nil)
		p.forgetDemand(m.Name)
	case roster.Restarted:
		p.forgetDemand(m.Name)
	case roster.Refused:
		p.Log.Warn("peers: refused, too many hosts", "peer", m.Name, "address", m.Address)
	case roster.None:
	}
}

// sweepMembers removes the entry hosts that left or became absent a while ago. The mutex is
// held.
func (p *Peer) sweepMembers(now time.Time) {
	for _, m := range p.roster.Sweep(now) {
		if c := p.clients[m.Address]; c != nil {
			c.close()
			delete(p.clients, m.Address)
		}
		p.Load.SetRemote(m.Name, nil)
		p.forgetDemand(m.Name)
		p.Log.Info("peers: removed", "peer", m.Name, "address", m.Address)
	}
}

// verify asks other entry hosts to contact one with which an exchange failed that began at
// the given time. If they do not reach it either, it is suspected.
func (p *Peer) verify(ctx context.Context, address string, failedAt time.Time) {
	p.mu.Lock()
	name := p.roster.ByAddress(address)
	checkers, check := p.roster.BeginCheck(name, failedAt)
	p.mu.Unlock()
	if !check {
		return
	}
	var asking sync.WaitGroup
	for _, checker := range checkers {
		asking.Go(func() { p.ask(ctx, checker, name) })
	}
	asking.Wait()
	p.mu.Lock()
	suspected := p.roster.EndCheck(name, failedAt)
	p.mu.Unlock()
	if suspected {
		p.Log.Warn("peers: suspected", "peer", name, "address", address, "asked", len(checkers))
		p.Broadcast()
	}
}

// ask asks an entry host to contact another one, and merges what it knows of it then.
func (p *Peer) ask(ctx context.Context, checker, name string) {
	ctx, cancel := p.Clock.WithIdleTimeout(ctx, 2*exchangeTimeout, nil)
	defer cancel()
	c := p.client(checker)
	if !c.acquire() {
		c = &client{address: checker}
		defer c.close()
	} else {
		defer c.release()
	}
	sent, received := p.message(nil), &Message{}
	sent.Brief, sent.Check = true, name
	if err := c.call(ctx, sent, received); err != nil {
		p.Log.Debug("peers: no answer about another host", "address", checker, "peer", name, "error", err)
		return
	}
	p.Merge(received)
}

// check contacts a member on behalf of other entry hosts, on a connection of its own: an
// open one may have been lost. Those that ask meanwhile share the outcome: a host that is slow to
// answer would only get slower.
func (p *Peer) check(name string) {
	p.mu.Lock()
	m, known := p.roster.State(name, time.Now())
	p.mu.Unlock()
	if !known {
		return
	}
	p.checks.Do(m.Address, func() (any, error) {
		c := &client{address: m.Address}
		defer c.close()
		p.contact(context.Background(), c, true)
		return nil, nil
	})
}

// sample returns the members to list in a message, and reports whether they are all that
// are known. The response to a message that asks for all lists them, and that to one that
// asks for a check the member in question.
func (p *Peer) sample(to *Message, toNew bool) (members []Member, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if to != nil && to.WantMembers {
		return p.roster.Whole(now), true
	}
	members, all = p.roster.Sample(toNew, now)
	if to != nil && to.Check != "" {
		if m, known := p.roster.State(to.Check, now); known {
			members = append(slices.DeleteFunc(members, func(other Member) bool { return other.Name == m.Name }), m)
		}
	}
	return members, all
}

// wantsMembers reports whether the next request asks for all members: until a list has
// arrived after the start, and if the lists of others differ for long.
func (p *Peer) wantsMembers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asksForMembers = p.roster.TakeWhole(time.Now()) || p.asksForMembers
	return p.asksForMembers
}

// beats returns the last messages of other failure domains, and the digest of the list of
// entry hosts.
func (p *Peer) beats() (beats []roster.Beat, digest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.roster.Beats(now), p.roster.Current(now).Digest
}
