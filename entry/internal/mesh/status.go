package mesh

import (
	"context"
	"time"

	"fuchsiashelf.dev/entry/internal/watch"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/wire"
)

// LocalState is what other parts tell of this entry host. Any may be nil.
type LocalState struct {
	// StoreSilence is how long the object API has been silent here, and Heard whether
	// it ever answered.
	StoreSilence func() time.Duration
	StoreSeen    func() bool
	// Ready says that this entry host takes callers.
	Ready func() bool
	// Synced says that this entry host has gathered what is in force. Before
	// that it confirms nothing, since it may still take something else.
	Synced func() bool
	// Apply puts a configuration that was handed on in force, if it is newer.
	Apply func(object []byte) bool
}

// Status implements the call of the other entry hosts.
func (m *Mesh) Status(_ context.Context, ask *wire.StatusAsk) (*wire.StatusReply, error) {
	if !EqualSecrets(ask.Secret, m.Secret) {
		return nil, peer.ErrSecret
	}
	if len(ask.Object) > 0 && m.Local.Apply != nil {
		m.Local.Apply(ask.Object)
	}
	reply := m.LocalStatus()
	if ask.Line != "" && (m.Local.Synced == nil || m.Local.Synced()) {
		_, reply.HasLine = m.View.Load().Config.Find(ask.Line)
	}
	return reply, nil
}

// LocalStatus returns the status of this entry host.
func (m *Mesh) LocalStatus() *wire.StatusReply {
	snap := m.View.Load()
	reply := &wire.StatusReply{Name: snap.Self, Incarnation: m.peer.Self().Incarnation}
	m.Local.add(reply)
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

func (c *LocalState) add(reply *wire.StatusReply) {
	if c.StoreSilence != nil {
		reply.AgeMs = c.StoreSilence().Milliseconds()
	}
	if c.StoreSeen != nil && !c.StoreSeen() {
		reply.AgeMs = -1
	}
	if c.Ready != nil {
		reply.Ready = c.Ready()
	}
}

// Config implements the call of the other entry hosts.
func (m *Mesh) Config(_ context.Context, ask *wire.ConfigAsk) (*wire.ConfigReply, error) {
	if !EqualSecrets(ask.Secret, m.Secret) {
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
		return reply, watch.FillReply(snap, reply)
	}
	return reply, nil
}
