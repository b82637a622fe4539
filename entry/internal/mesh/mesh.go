// Package mesh joins the entry hosts: it embeds the membership of package
// peer in the daemon, hands what peers tell on to the parts that act on it,
// and answers their other calls.
package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"maps"
	"net"
	"slices"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// Mesh talks to the other entry hosts. Set the exported fields, then Run.
type Mesh struct {
	wire.DRPCEntryUnimplementedServer

	View   *view.Publisher
	Trace  *trace.Recorder
	Log    *slog.Logger
	Secret string
	// Local tells what Own adds to the snapshot.
	Local LocalState
	// Address is host:port of the peers' listener.
	Address string
	// Domain is the failure domain of this entry host.
	Domain domain.Name
	// TLS is for connections to other entry hosts; nil for none.
	TLS *tls.Config
	// Seeds are peers' addresses for a start while the store is down.
	Seeds []string
	// Object returns the configuration object in force and its version in
	// the store; nil means the one of the snapshot, its version unknown.
	Object func() (value []byte, version uint64)
	// Offer takes a configuration object that a peer has; nil drops it.
	Offer func(value []byte, version uint64)
	// Calls answers about calls that may not be repeated; nil answers none.
	Calls CallHandler
	// LocalRates returns the rate of each team here, in requests per second; nil
	// tells none.
	LocalRates func() map[string]float64

	// HandlePoison answers the other entry hosts' questions about requests that
	// crash servers; nil refuses them.
	HandlePoison func(*wire.PoisonAsk) *wire.PoisonReply

	peer   *peer.Peer
	newer  chan peer.NewerConfig
	change chan struct{}
}

// Run talks to the other entry hosts until the context ends.
func (m *Mesh) Run(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterEntry(mux, m); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- drpcserver.New(mux).Serve(ctx, peer.Listener{Listener: listener}) }()
	go m.fold(ctx)
	err := m.peer.Run(ctx)
	return errors.Join(err, <-served)
}

// Init prepares the mesh; call it once after the fields are set, before Run
// and before other parts use the mesh.
func (m *Mesh) Init() {
	m.newer = make(chan peer.NewerConfig, 1)
	m.change = make(chan struct{}, 1)
	m.peer = &peer.Peer{
		Name: m.View.Load().Self, Address: m.Address, Domain: m.Domain,
		Secret: m.Secret, TLS: m.TLS, Seeds: m.Seeds, Trace: m.Trace, Log: m.Log,
		Hosts: m.hosts, Local: m.own, OnEvent: m.on,
	}
}

func (m *Mesh) hosts() map[string]host.Host {
	snap := m.View.Load()
	if snap.HostsRevision == 0 {
		return nil
	}
	return snap.Hosts
}

func (m *Mesh) own() peer.LocalState {
	snap := m.View.Load()
	own := peer.LocalState{Drains: m.drains(snap)}
	if snap.Config != nil {
		own.Revision = snap.Config.Revision
	}
	if m.LocalRates != nil {
		for team, rate := range m.LocalRates() {
			own.Usages = append(own.Usages, peer.Usage{Team: team, Rate: rate})
		}
		slices.SortFunc(own.Usages, func(a, b peer.Usage) int {
			if a.Team < b.Team {
				return -1
			}
			return 1
		})
	}
	return own
}

// drains returns this host's requests in flight on each server that is being
// stopped.
func (m *Mesh) drains(snap *view.Snapshot) []peer.Drain {
	if snap.Config == nil {
		return nil
	}
	var all []peer.Drain
	for name := range snap.Config.Stops {
		if count, revision, out := m.View.InFlight(name); out {
			all = append(all, peer.Drain{Server: name, InFlight: count, Revision: revision})
		}
	}
	return all
}

// on takes the events of the membership. It must not block, so the work is
// left to fold.
func (m *Mesh) on(e peer.Event) {
	switch e := e.(type) {
	case peer.NewerConfig:
		select {
		case m.newer <- e:
		default:
		}
	case peer.MarksReceived, peer.MembershipChanged:
	}
	select {
	case m.change <- struct{}{}:
	default:
	}
}

// foldTick bounds the age of the peers in the snapshot.
const foldTick = time.Second

// fold writes what the membership knows into the snapshot and fetches newer
// configurations.
func (m *Mesh) fold(ctx context.Context) {
	tick := time.NewTicker(foldTick)
	defer tick.Stop()
	for {
		changed := m.View.Changed()
		m.foldPeers()
		m.foldMarks(time.Now())
		select {
		case <-ctx.Done():
			return
		case e := <-m.newer:
			m.fetch(ctx, e)
		case <-m.change:
		case <-changed:
		case <-tick.C:
		}
	}
}

// foldPeers writes the other members into the snapshot.
func (m *Mesh) foldPeers() {
	peers := map[string]view.Peer{}
	for _, o := range m.peer.Others() {
		peers[o.Name] = view.Peer{
			Name: o.Name, Address: o.Address, Domain: o.Domain,
			Incarnation: o.Incarnation, Revision: o.Revision,
			Alive: o.State == peer.Alive && o.Incarnation > 0, Left: o.State == peer.Left,
		}
	}
	if !maps.Equal(peers, m.View.Load().Peers) {
		m.View.Update(func(s *view.Snapshot) { s.Peers = peers })
	}
}

// fetchWait bounds the time to get a configuration from a peer.
const fetchWait = 2 * time.Second

// fetch gets a newer configuration from the peer that told of it.
func (m *Mesh) fetch(ctx context.Context, e peer.NewerConfig) {
	after := m.own().Revision
	if m.Offer == nil || e.Revision <= after {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchWait)
	defer cancel()
	ask := &wire.ConfigAsk{Secret: m.Secret, After: after}
	reply, err := m.peer.Client(ctx, e.From.Address).Config(ctx, ask)
	if err != nil {
		m.Log.Warn("mesh: configuration not fetched", "peer", e.From.Name, "err", err)
		return
	}
	if len(reply.Object) == 0 {
		return
	}
	m.Trace.Record("mesh", "", "configuration fetched from "+e.From.Name)
	m.Offer(reply.Object, reply.Version)
	m.peer.TriggerRound()
}

// Others returns the other entry hosts of the host list, and those that peers
// told of. One that said goodbye is left out.
func (m *Mesh) Others() []host.Host {
	snap := m.View.Load()
	known := map[string]host.Host{}
	for _, h := range snap.Hosts {
		if h.Role == host.Entry && h.Name != snap.Self {
			known[h.Name] = h
		}
	}
	for _, o := range m.peer.Others() {
		if o.State == peer.Left {
			delete(known, o.Name)
			continue
		}
		if _, ok := known[o.Name]; !ok {
			known[o.Name] = host.Host{
				Name: o.Name, Address: o.Address, Domain: o.Domain, Role: host.Entry, State: host.Live,
			}
		}
	}
	var others []host.Host
	for _, h := range known {
		others = append(others, h)
	}
	return others
}

// TeamRates returns the requests per second of each team on all other entry
// hosts, as far as they have told. The map is read only.
func (m *Mesh) TeamRates() map[string]float64 {
	return m.peer.Rates()
}

// Broadcast takes a mark and tells it to all living entry hosts at once; it returns
// when they have it or the context ends. The own snapshot has it on return.
func (m *Mesh) Broadcast(ctx context.Context, mark peer.Mark) {
	m.peer.Broadcast(ctx, mark)
	m.foldMarks(time.Now())
}

// Mark takes a mark and leaves it to the rounds to tell.
func (m *Mesh) Mark(mark peer.Mark) {
	m.peer.Mark(mark)
}

// PeerStatus asks another entry host for its status.
func (m *Mesh) PeerStatus(ctx context.Context, h host.Host) (*wire.StatusReply, error) {
	client, err := m.Client(ctx, h)
	if err != nil {
		return nil, err
	}
	return client.Status(ctx, &wire.StatusAsk{Secret: m.Secret})
}

// Client returns a client of another entry host. It dials when it is first
// used and no kept connection is free.
func (m *Mesh) Client(ctx context.Context, h host.Host) (wire.DRPCEntryClient, error) {
	return m.peer.Client(ctx, h.Address), nil
}
