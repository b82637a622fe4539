package peer

import (
	"context"
	"net"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/wire"
)

// Members implements the RPC that other members call to look up names and
// addresses.
func (p *Peer) Members(_ context.Context, req *wire.MembersAsk) (*wire.MembersReply, error) {
	p.init()
	if !SecretsEqual(req.Secret, p.Secret) {
		return nil, ErrSecret
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if req.From != nil {
		p.mergeContact(req.From, p.Clock.Now())
	}
	reply := &wire.MembersReply{}
	add := func(m *Member) {
		if m.Name != "" && m.Address != "" {
			reply.Members = append(reply.Members, wireContact(m))
		}
	}
	if len(req.Ids) == 0 {
		add(&p.table.Self)
		for _, id := range p.table.order {
			add(p.table.others[id])
		}
		return reply, nil
	}
	for _, id := range req.Ids[:min(len(req.Ids), maxDigestItems)] {
		if m := p.table.others[ID(id)]; m != nil {
			add(m)
		} else if ID(id) == IDOf(p.Name) {
			add(&p.table.Self)
		}
	}
	return reply, nil
}

// wireContact returns a member with its name, address and failure domain.
func wireContact(m *Member) *wire.Member {
	w := wireMember(m)
	w.Name, w.Address, w.Domain = m.Name, m.Address, string(m.Domain)
	return w
}

// routable reports whether other hosts can connect to an address. A member
// that listens on all interfaces without a configured address reports
// 0.0.0.0, and a host that connects to this address reaches itself.
func routable(address string) bool {
	hostname, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(hostname)
	return ip == nil || !ip.IsUnspecified()
}

// mergeContact merges a member that came with its name and address.
func (p *Peer) mergeContact(m *wire.Member, now time.Time) {
	if m.Address == p.Address || !routable(m.Address) {
		return
	}
	p.table.SetContact(m.Name, m.Address, domain.Name(m.Domain), now)
	r := Record{Incarnation: m.Incarnation, Heartbeat: m.Beat, State: stateOf(m.State)}
	p.table.Merge(IDOf(m.Name), r, m.Revision, now)
}

// joinSeed gets all members from a seed. It is used at startup, while the
// host list is not known.
func (p *Peer) joinSeed(ctx context.Context, address string) {
	p.lookUpMembers(ctx, address, nil)
}

// lookup is a request for the names of members, sent in the next round.
type lookup struct {
	address string
	ids     []uint64
}

// maxLookups bounds the lookups per round.
const maxLookups = 4

// scheduleLookup schedules a lookup of the names of members that are known
// only by ID. The lookup also introduces this member to the other. Lookups of
// the same ID are rate limited, since the host list may provide the name
// first.
func (p *Peer) scheduleLookup(address string, ids []uint64) {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lookups) >= maxLookups {
		return
	}
	var due []uint64
	for _, id := range ids {
		if now.Sub(p.lastLookup[id]) >= lookupInterval {
			p.lastLookup[id] = now
			due = append(due, id)
		}
	}
	for id, at := range p.lastLookup {
		if now.Sub(at) >= lookupInterval {
			delete(p.lastLookup, id)
		}
	}
	if len(due) > 0 {
		p.lookups = append(p.lookups, lookup{address, due})
	}
}

// lookUpMembers asks a member for the members with the given IDs, or for all
// members if ids is empty, and merges the reply.
func (p *Peer) lookUpMembers(ctx context.Context, address string, ids []uint64) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p.mu.Lock()
	req := &wire.MembersAsk{Secret: p.Secret, Ids: ids, From: wireContact(&p.table.Self)}
	p.mu.Unlock()
	reply, err := p.Client(ctx, address).Members(ctx, req)
	if err != nil {
		p.Log.Warn("peer: member lookup failed", "from", address, "err", err)
		return
	}
	now := p.Clock.Now()
	p.mu.Lock()
	for _, m := range reply.Members[:min(len(reply.Members), maxDigestItems)] {
		p.mergeContact(m, now)
	}
	p.mu.Unlock()
	p.emit(MembershipChanged{})
}

// leaveTimeout bounds the time to announce that this member leaves.
const leaveTimeout = 500 * time.Millisecond

// announceLeave informs a few members that this one leaves; gossip spreads it
// further.
func (p *Peer) announceLeave() {
	p.mu.Lock()
	p.table.Leave()
	partners := p.table.Partners(p.rand)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for _, m := range partners {
		if _, err := p.sendDigest(ctx, m.Address); err != nil {
			p.Log.Warn("peer: leave announcement failed", "member", m.Name, "err", err)
		}
	}
}
