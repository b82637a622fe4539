package peer

import (
	"context"
	"net"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/wire"
)

// Members implements the call of the other members.
func (p *Peer) Members(_ context.Context, ask *wire.MembersAsk) (*wire.MembersReply, error) {
	p.init()
	if !SecretsEqual(ask.Secret, p.Secret) {
		return nil, ErrSecret
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ask.From != nil {
		p.introduce(ask.From, time.Now())
	}
	reply := &wire.MembersReply{}
	add := func(m *Member) {
		if m.Name != "" && m.Address != "" {
			reply.Members = append(reply.Members, named(m))
		}
	}
	if len(ask.Ids) == 0 {
		add(&p.table.Self)
		for _, id := range p.table.order {
			add(p.table.others[id])
		}
		return reply, nil
	}
	for _, id := range ask.Ids[:min(len(ask.Ids), maxDigestItems)] {
		if m := p.table.others[ID(id)]; m != nil {
			add(m)
		} else if ID(id) == IDOf(p.Name) {
			add(&p.table.Self)
		}
	}
	return reply, nil
}

// named returns a member with all that the wire can say of it.
func named(m *Member) *wire.Member {
	w := wireMember(m)
	w.Name, w.Address, w.Domain = m.Name, m.Address, string(m.Domain)
	return w
}

// reachable reports whether an address may lead to another host. A member
// that listens on all its addresses without naming one tells 0.0.0.0, which
// would lead whoever believes it to itself.
func reachable(address string) bool {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(name)
	return ip == nil || !ip.IsUnspecified()
}

// introduce takes a member with its name and address.
func (p *Peer) introduce(m *wire.Member, now time.Time) {
	if m.Address == p.Address || !reachable(m.Address) {
		return
	}
	p.table.SetContact(m.Name, m.Address, domain.Name(m.Domain), now)
	r := Record{Incarnation: m.Incarnation, Heartbeat: m.Beat, State: stateOf(m.State)}
	p.table.Merge(IDOf(m.Name), r, m.Revision, now)
}

// join learns the members from a seed, for a start while the host list is
// not known.
func (p *Peer) join(ctx context.Context, address string) {
	p.ask(ctx, address, nil)
}

// want is a question for names, put at the next round.
type want struct {
	address string
	ids     []uint64
}

// maxWants bounds the questions of one round.
const maxWants = 4

// want notes a question for the names of members that are known only by id.
// The question also introduces this member. It is put seldom, as the host
// list may tell the names first.
func (p *Peer) want(address string, ids []uint64) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.wants) >= maxWants {
		return
	}
	var due []uint64
	for _, id := range ids {
		if now.Sub(p.asked[id]) >= askAgain {
			p.asked[id] = now
			due = append(due, id)
		}
	}
	for id, at := range p.asked {
		if now.Sub(at) >= askAgain {
			delete(p.asked, id)
		}
	}
	if len(due) > 0 {
		p.wants = append(p.wants, want{address, due})
	}
}

func (p *Peer) ask(ctx context.Context, address string, ids []uint64) {
	ctx, cancel := context.WithTimeout(ctx, roundWait)
	defer cancel()
	p.mu.Lock()
	ask := &wire.MembersAsk{Secret: p.Secret, Ids: ids, From: named(&p.table.Self)}
	p.mu.Unlock()
	reply, err := p.Client(ctx, address).Members(ctx, ask)
	if err != nil {
		p.Log.Warn("peer: names not learned", "from", address, "err", err)
		return
	}
	now := time.Now()
	p.mu.Lock()
	for _, m := range reply.Members[:min(len(reply.Members), maxDigestItems)] {
		p.introduce(m, now)
	}
	p.mu.Unlock()
	p.emit(MembershipChanged{})
}

// goodbyeWait bounds the goodbye of a member that stops.
const goodbyeWait = 500 * time.Millisecond

// goodbye tells a few members that this one leaves; they pass it on.
func (p *Peer) goodbye() {
	p.mu.Lock()
	p.table.Leave()
	partners := p.table.Partners(p.rand)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeWait)
	defer cancel()
	for _, m := range partners {
		if _, err := p.swap(ctx, m.Address); err != nil {
			p.Log.Warn("peer: goodbye not heard", "member", m.Name, "err", err)
		}
	}
}
