package mesh

import (
	"context"
	"time"

	"fuchsiashelf.dev/entry/internal/watch"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/wire"
)

// Condition is what other parts tell of this entry host. Any may be nil.
type Condition struct {
	// Age is how long the object API has been silent here, and Heard whether
	// it ever answered.
	Age   func() time.Duration
	Heard func() bool
	// Ready says that this entry host takes callers.
	Ready func() bool
	// Primed says that this entry host has gathered what is in force. Before
	// that it confirms nothing, since it may still take something else.
	Primed func() bool
	// Take puts a configuration that was handed on in force, if it is newer.
	Take func(object []byte) bool
}

// Status implements the call of the other entry hosts.
func (m *Mesh) Status(_ context.Context, ask *wire.StatusAsk) (*wire.StatusReply, error) {
	if !Same(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	if len(ask.Object) > 0 && m.Condition.Take != nil {
		m.Condition.Take(ask.Object)
	}
	reply := m.Own()
	if ask.Line != "" && (m.Condition.Primed == nil || m.Condition.Primed()) {
		_, reply.HasLine = m.View.Load().Config.Find(ask.Line)
	}
	return reply, nil
}

// Own returns the status of this entry host.
func (m *Mesh) Own() *wire.StatusReply {
	snap := m.View.Load()
	reply := &wire.StatusReply{Name: snap.Self, Incarnation: m.peer.Self().Incarnation}
	m.Condition.add(reply)
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

func (c *Condition) add(reply *wire.StatusReply) {
	if c.Age != nil {
		reply.AgeMs = c.Age().Milliseconds()
	}
	if c.Heard != nil && !c.Heard() {
		reply.AgeMs = -1
	}
	if c.Ready != nil {
		reply.Ready = c.Ready()
	}
}

// Config implements the call of the other entry hosts.
func (m *Mesh) Config(_ context.Context, ask *wire.ConfigAsk) (*wire.ConfigReply, error) {
	if !Same(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	snap := m.View.Load()
	reply := &wire.ConfigReply{}
	if snap.Config != nil && snap.Config.Revision > ask.After {
		var err error
		if reply.Object, err = snap.Config.Encode(); err != nil {
			return nil, err
		}
	}
	if ask.World && snap.HostsRevision > 0 {
		return reply, watch.World(snap, reply)
	}
	return reply, nil
}
