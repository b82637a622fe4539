package mesh

import (
	"context"
	"errors"

	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/wire"
)

// Same compares secrets in constant time.
func Same(a, b string) bool {
	return peer.Same(a, b)
}

// Exchange implements the call of the other entry hosts.
func (m *Mesh) Exchange(ctx context.Context, d *wire.Digest) (*wire.Digest, error) {
	return m.peer.Exchange(ctx, d)
}

// Members implements the call of the other entry hosts.
func (m *Mesh) Members(ctx context.Context, ask *wire.MembersAsk) (*wire.MembersReply, error) {
	return m.peer.Members(ctx, ask)
}

// Config implements the call of the other entry hosts.
func (m *Mesh) Config(_ context.Context, ask *wire.ConfigAsk) (*wire.ConfigReply, error) {
	if !Same(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	c := m.View.Load().Config
	if c == nil || c.Revision <= ask.After {
		return &wire.ConfigReply{}, nil
	}
	if m.Object != nil {
		value, version := m.Object()
		return &wire.ConfigReply{Object: value, Version: version}, nil
	}
	value, err := c.Encode()
	if err != nil {
		return nil, err
	}
	return &wire.ConfigReply{Object: value}, nil
}

// Poison implements the call of the other entry hosts.
func (m *Mesh) Poison(_ context.Context, ask *wire.PoisonAsk) (*wire.PoisonReply, error) {
	if !Same(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	if m.Judge == nil {
		return nil, errNoBook
	}
	return m.Judge(ask), nil
}

var errNoBook = errors.New("mesh: this entry host keeps no book of poison")

// Status implements the call of the other entry hosts.
func (m *Mesh) Status(_ context.Context, ask *wire.StatusAsk) (*wire.StatusReply, error) {
	if !Same(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	return m.Own(), nil
}

// Own returns the status of this entry host.
func (m *Mesh) Own() *wire.StatusReply {
	snap := m.View.Load()
	reply := &wire.StatusReply{Name: snap.Self, Incarnation: m.peer.Self().Incarnation}
	if snap.Config == nil {
		return reply
	}
	reply.Revision = snap.Config.Revision
	for _, d := range m.drains(snap) {
		reply.Draining = append(reply.Draining, &wire.Drain{
			Server: d.Server, InFlight: d.InFlight, Revision: d.Revision,
		})
	}
	return reply
}

// Timeline implements the call of the other entry hosts.
func (m *Mesh) Timeline(_ context.Context, ask *wire.TimelineAsk) (*wire.TimelineReply, error) {
	if !Same(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	reply := &wire.TimelineReply{}
	for _, e := range m.Trace.Find(ask.Request) {
		reply.Events = append(reply.Events, &wire.Event{
			Clock: e.Clock, Process: e.Process, Part: e.Part, Request: e.Request, What: e.What,
		})
	}
	return reply, nil
}
