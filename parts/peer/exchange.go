package peer

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/wire"
)

// exchange exchanges digests with one member, unless an exchange with it is
// still running.
func (p *Peer) exchange(ctx context.Context, m Member) {
	id := IDOf(m.Name)
	p.mu.Lock()
	if p.exchanging[id] {
		p.mu.Unlock()
		return
	}
	p.exchanging[id] = true
	p.mu.Unlock()
	startedAt := p.Clock.Mark()
	reply, err := p.sendDigest(ctx, m.Address)
	p.mu.Lock()
	delete(p.exchanging, id)
	p.mu.Unlock()
	if err != nil {
		p.recordFailure(ctx, m, err, p.Clock.Delay(startedAt))
		return
	}
	p.handleDigest(reply, m)
}

// sendDigest sends a digest to an address and returns the digest of the reply.
func (p *Peer) sendDigest(ctx context.Context, address string) (*wire.Digest, error) {
	ctx, cancel := p.Clock.WithIdleTimeout(ctx, exchangeTimeout, nil)
	defer cancel()
	local := p.localState()
	p.mu.Lock()
	digest := p.buildDigest(local)
	p.mu.Unlock()
	digest.Secret = p.Secret
	return p.Client(ctx, address).Exchange(ctx, digest)
}

// recordFailure records a failed exchange. If the member becomes suspect, it
// logs the error and emits an event. The delay is how long this process was stalled
// during the exchange.
func (p *Peer) recordFailure(ctx context.Context, m Member, err error, delay time.Duration) {
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	suspect := p.table.RecordFailure(IDOf(m.Name), p.Clock.Now())
	p.mu.Unlock()
	if !suspect {
		return
	}
	p.Trace.Record("peer", "", "member does not answer: "+m.Name)
	p.Log.Warn("peer: member did not respond", "member", m.Name, "err", err, "delay", delay)
	p.emit(MembershipChanged{})
}

// handleDigest merges a digest and acts on what changed.
func (p *Peer) handleDigest(d *wire.Digest, from Member) {
	p.mu.Lock()
	result := p.mergeDigest(d, time.Now())
	conflicts := p.table.NameConflicts
	p.table.NameConflicts = 0
	p.mu.Unlock()
	if conflicts > 0 {
		metrics.GetOrRegisterCounter("peer.clashes", nil).Inc(1)
		p.Trace.Record("peer", "", "another member has the name "+p.Name)
		p.Log.Error("peer: name in use by another member, or clock set back", "name", p.Name)
	}
	if len(result.marks) > 0 {
		p.emit(MarksReceived{Marks: result.marks})
		p.TriggerRound()
	}
	if d.Revision > p.localState().Revision && from.Address != "" {
		p.emit(NewerConfig{From: from, Revision: d.Revision})
	}
	if result.changed {
		p.emit(MembershipChanged{})
	}
	if d.Stranger {
		// The other member does not know the name of this one and so never
		// starts an exchange with it. A lookup sends it the name.
		result.unnamed = append(result.unnamed, uint64(IDOf(from.Name)))
	}
	if len(result.unnamed) > 0 && from.Address != "" {
		p.scheduleLookup(from.Address, result.unnamed)
	}
}

func (p *Peer) emit(e Event) {
	if p.OnEvent != nil {
		p.OnEvent(e)
	}
}

// Exchange implements the RPC that other members call.
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
	p.handleDigest(d, from)
	local := p.localState()
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.buildDigest(local)
	reply.Stranger = from.Name == ""
	return reply, nil
}
