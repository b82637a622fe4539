package peer

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/wire"
)

// exchange swaps digests with one member.
func (p *Peer) exchange(ctx context.Context, m Member) {
	id := IDOf(m.Name)
	p.mu.Lock()
	if p.busy[id] {
		p.mu.Unlock()
		return
	}
	p.busy[id] = true
	p.mu.Unlock()
	reply, err := p.swap(ctx, m.Address)
	p.mu.Lock()
	delete(p.busy, id)
	p.mu.Unlock()
	if err != nil {
		p.failed(ctx, m, err)
		return
	}
	p.learn(reply, m)
}

func (p *Peer) swap(ctx context.Context, address string) (*wire.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, roundWait)
	defer cancel()
	own := p.own()
	p.mu.Lock()
	mine := p.digest(own)
	p.mu.Unlock()
	mine.Secret = p.Secret
	return p.Client(ctx, address).Exchange(ctx, mine)
}

func (p *Peer) failed(ctx context.Context, m Member, err error) {
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	suspect := p.table.RecordFailure(IDOf(m.Name), time.Now())
	p.mu.Unlock()
	if !suspect {
		return
	}
	p.Trace.Record("peer", "", "member does not answer: "+m.Name)
	p.Log.Warn("peer: member does not answer", "member", m.Name, "err", err)
	p.emit(MembershipChanged{})
}

// learn takes a digest and acts on what is new in it.
func (p *Peer) learn(d *wire.Digest, from Member) {
	p.mu.Lock()
	h := p.take(d, time.Now())
	clashes := p.table.NameConflicts
	p.table.NameConflicts = 0
	p.mu.Unlock()
	if clashes > 0 {
		metrics.GetOrRegisterCounter("peer.clashes", nil).Inc(1)
		p.Trace.Record("peer", "", "another member has the name "+p.Name)
		p.Log.Error("peer: another member has this name, or the clock was set back", "name", p.Name)
	}
	if len(h.marks) > 0 {
		p.emit(MarksReceived{Marks: h.marks})
		p.TriggerRound()
	}
	if d.Revision > p.own().Revision && from.Address != "" {
		p.emit(NewerConfig{From: from, Revision: d.Revision})
	}
	if h.news {
		p.emit(MembershipChanged{})
	}
	if d.Stranger {
		// The other side has no name for this member and so never talks to
		// it by itself. A question for the other's own name introduces us.
		h.nameless = append(h.nameless, uint64(IDOf(from.Name)))
	}
	if len(h.nameless) > 0 && from.Address != "" {
		p.want(from.Address, h.nameless)
	}
}

func (p *Peer) emit(e Event) {
	if p.OnEvent != nil {
		p.OnEvent(e)
	}
}

// Exchange implements the call of the other members.
func (p *Peer) Exchange(_ context.Context, d *wire.Digest) (*wire.Digest, error) {
	p.init()
	if !SecretsEqual(d.Secret, p.Secret) {
		metrics.GetOrRegisterCounter("peer.refused", nil).Inc(1)
		return nil, ErrSecret
	}
	var from Member
	if len(d.Members) > 0 {
		p.mu.Lock()
		from, _ = p.table.Get(ID(d.Members[0].Id))
		p.mu.Unlock()
	}
	p.learn(d, from)
	own := p.own()
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.digest(own)
	reply.Stranger = from.Name == ""
	return reply, nil
}
