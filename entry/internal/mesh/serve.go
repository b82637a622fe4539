package mesh

import (
	"context"
	"errors"

	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/wire"
)

// EqualSecrets compares secrets in constant time.
func EqualSecrets(a, b string) bool {
	return peer.SecretsEqual(a, b)
}

// Exchange implements the call of the other entry hosts.
func (m *Mesh) Exchange(ctx context.Context, d *wire.Digest) (*wire.Digest, error) {
	return m.peer.Exchange(ctx, d)
}

// Members implements the call of the other entry hosts.
func (m *Mesh) Members(ctx context.Context, ask *wire.MembersAsk) (*wire.MembersReply, error) {
	return m.peer.Members(ctx, ask)
}

// Poison implements the call of the other entry hosts.
func (m *Mesh) Poison(_ context.Context, ask *wire.PoisonAsk) (*wire.PoisonReply, error) {
	if !EqualSecrets(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	if m.HandlePoison == nil {
		return nil, errNoBook
	}
	return m.HandlePoison(ask), nil
}

var errNoBook = errors.New("mesh: this entry host keeps no book of poison")

// maxEvents bounds one answer: the newest are told. It keeps the answers of a
// large fleet, which one entry host merges, within a few hundred kilobytes
// each.
const maxEvents = 2000

// Timeline implements the call of the other entry hosts.
func (m *Mesh) Timeline(_ context.Context, ask *wire.TimelineAsk) (*wire.TimelineReply, error) {
	if !EqualSecrets(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	reply := &wire.TimelineReply{}
	events := m.Trace.Find(ask.Request)
	for _, e := range events[max(0, len(events)-maxEvents):] {
		reply.Events = append(reply.Events, &wire.Event{
			Clock: e.Clock, Process: e.Process, Part: e.Component, Request: e.Request, What: e.Message,
		})
	}
	return reply, nil
}
