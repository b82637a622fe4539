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

// Exchange merges the digest of another entry host and returns the local one.
func (m *Mesh) Exchange(ctx context.Context, d *wire.Digest) (*wire.Digest, error) {
	return m.peer.Exchange(ctx, d)
}

// Members returns the members of the mesh to another entry host.
func (m *Mesh) Members(ctx context.Context, ask *wire.MembersAsk) (*wire.MembersReply, error) {
	return m.peer.Members(ctx, ask)
}

// Poison answers another entry host's query about a request that crashes servers.
func (m *Mesh) Poison(_ context.Context, ask *wire.PoisonAsk) (*wire.PoisonReply, error) {
	if !EqualSecrets(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	if m.HandlePoison == nil {
		return nil, errNoPoisonTracker
	}
	return m.HandlePoison(ask), nil
}

var errNoPoisonTracker = errors.New("mesh: this entry host keeps no book of poison")

// maxTimelineEvents bounds the events of one reply; the newest are returned. One
// entry host merges the replies of a large fleet, and the bound keeps each within
// a few hundred kilobytes.
const maxTimelineEvents = 2000

// Timeline returns the trace events of this entry host, of one request if the
// query names one.
func (m *Mesh) Timeline(_ context.Context, ask *wire.TimelineAsk) (*wire.TimelineReply, error) {
	if !EqualSecrets(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	reply := &wire.TimelineReply{}
	events := m.Trace.Find(ask.Request)
	for _, e := range events[max(0, len(events)-maxTimelineEvents):] {
		reply.Events = append(reply.Events, &wire.Event{
			Clock: e.Clock, Process: e.Process, Part: e.Component, Request: e.Request, What: e.Message,
		})
	}
	return reply, nil
}
