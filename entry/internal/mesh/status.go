package mesh

import (
	"context"
	"time"

	"fuchsiashelf.dev/entry/internal/watch"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/wire"
)

// LocalState reads the state of other components of this entry host, and applies
// configurations. Any field may be nil.
type LocalState struct {
	// StoreSilence returns for how long the object API has not answered this
	// entry host, and StoreSeen whether it ever has.
	StoreSilence func() time.Duration
	StoreSeen    func() bool
	// Ready reports whether this entry host accepts callers.
	Ready func() bool
	// Synced reports whether this entry host has gathered the configuration in
	// force. Before that it confirms no line, since it may still replace its
	// configuration.
	Synced func() bool
	// Apply puts a received configuration in force if it is newer.
	Apply func(object []byte) bool
}

// Status returns the status of this entry host to another one, after applying the
// configuration that came with the query, if any.
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
	m.Local.fill(reply)
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

// fill sets the fields of a reply that the snapshot does not cover.
func (l *LocalState) fill(reply *wire.StatusReply) {
	if l.StoreSilence != nil {
		reply.AgeMs = l.StoreSilence().Milliseconds()
	}
	if l.StoreSeen != nil && !l.StoreSeen() {
		reply.AgeMs = -1
	}
	if l.Ready != nil {
		reply.Ready = l.Ready()
	}
}

// Config returns the configuration in force if it is newer than the querying
// entry host's, and with World also the hosts.
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
