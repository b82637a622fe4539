// Package mesh connects the entry hosts: it runs the membership protocol of
// package peer, writes what it receives into the snapshot, and serves the RPCs
// of the other entry hosts.
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

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"fuchsiashelf.dev/entry/tunnel"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/stall"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// Mesh connects this entry host to the others. Set the exported fields, then call
// Init and Run.
type Mesh struct {
	wire.DRPCEntryUnimplementedServer

	View   *view.Publisher
	Trace  *trace.Recorder
	Log    *slog.Logger
	Secret string
	// Local reads state of other components that LocalStatus reports.
	Local LocalState
	// Address is host:port of the peers' listener.
	Address string
	// Domain is the failure domain of this entry host.
	Domain domain.Name
	// Clock distinguishes the silence of other entry hosts from stalls of this process; nil
	// assumes none.
	Clock *stall.Clock
	// TLS secures connections to other entry hosts; nil for plain TCP.
	TLS *tls.Config
	// Seeds are addresses of peers to start with while the object API is down.
	Seeds []string
	// Object is unused: peers get the configuration of the snapshot.
	Object func() (value []byte, version uint64)
	// OnConfig receives a configuration object fetched from a peer; nil disables
	// fetching.
	OnConfig func(value []byte, version uint64)
	// Calls handles other entry hosts' requests about calls that must run at
	// most once; nil rejects them.
	Calls CallHandler
	// LocalRates returns the rate of each team on this entry host, in requests
	// per second; nil publishes none.
	LocalRates func() map[string]float64

	// HandlePoison answers other entry hosts' queries about requests that crash
	// servers; nil rejects them.
	HandlePoison func(*wire.PoisonAsk) *wire.PoisonReply
	// Tunnels handles the tunnels that other entry hosts open; nil rejects them.
	Tunnels drpc.Handler

	peer         *peer.Peer
	newerConfigs chan peer.NewerConfig
	changed      chan struct{}
}

// Run serves the other entry hosts and exchanges state with them until the
// context ends.
func (m *Mesh) Run(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterEntry(mux, m); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() {
		served <- tunnel.Serve(ctx, peer.Listener{Listener: listener}, &handler{Handler: mux, tunnels: m.Tunnels})
	}()
	go m.syncLoop(ctx)
	err := m.peer.Run(ctx)
	return errors.Join(err, <-served)
}

// handler handles the calls of other entry hosts.
type handler struct {
	drpc.Handler
	tunnels drpc.Handler
}

// HandleRPC implements drpc.Handler.
func (h *handler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc == tunnel.Call && h.tunnels != nil {
		return h.tunnels.HandleRPC(stream, rpc)
	}
	return h.Handler.HandleRPC(stream, rpc)
}

// Dial opens a connection to the entry host at an address.
func (m *Mesh) Dial(ctx context.Context, address string) (drpc.Conn, error) {
	return m.peer.Dial(ctx, address)
}

// Init prepares the mesh. Call it once after the fields are set, before Run and
// any other method.
func (m *Mesh) Init() {
	m.newerConfigs = make(chan peer.NewerConfig, 1)
	m.changed = make(chan struct{}, 1)
	m.peer = &peer.Peer{
		Name: m.View.Load().Self, Address: m.Address, Domain: m.Domain,
		Secret: m.Secret, TLS: m.TLS, Clock: m.Clock, Seeds: m.Seeds, Trace: m.Trace, Log: m.Log,
		Hosts: m.hosts, Local: m.localState, OnEvent: m.handleEvent,
	}
}

func (m *Mesh) hosts() map[string]host.Host {
	snap := m.View.Load()
	if snap.HostsRevision == 0 {
		return nil
	}
	return snap.Hosts
}

// localState returns the state that this entry host publishes.
func (m *Mesh) localState() peer.LocalState {
	snap := m.View.Load()
	local := peer.LocalState{Drains: m.drains(snap)}
	if snap.Config != nil {
		local.Revision = snap.Config.Revision
	}
	if m.LocalRates != nil {
		for team, rate := range m.LocalRates() {
			local.Usages = append(local.Usages, peer.Usage{Team: team, Rate: rate})
		}
		slices.SortFunc(local.Usages, func(a, b peer.Usage) int {
			if a.Team < b.Team {
				return -1
			}
			return 1
		})
	}
	return local
}

// drains returns the number of requests of this entry host in flight on each
// cordoned server with a planned stop.
func (m *Mesh) drains(snap *view.Snapshot) []peer.Drain {
	if snap.Config == nil {
		return nil
	}
	var drains []peer.Drain
	for name := range snap.Config.Stops {
		if count, revision, cordoned := m.View.InFlight(name); cordoned {
			drains = append(drains, peer.Drain{Server: name, InFlight: count, Revision: revision})
		}
	}
	return drains
}

// handleEvent handles an event of the membership. Marks are in the snapshot when it
// returns, since the sender of a broadcast takes the reply for that. It must not block,
// so all else is left to syncLoop.
func (m *Mesh) handleEvent(e peer.Event) {
	switch e := e.(type) {
	case peer.NewerConfig:
		select {
		case m.newerConfigs <- e:
		default:
		}
	case peer.MarksReceived:
		m.syncMarks(time.Now())
	case peer.MembershipChanged:
	}
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// syncInterval bounds how long the snapshot lags behind the membership.
const syncInterval = time.Second

// syncLoop writes the state of the membership into the snapshot and fetches newer
// configurations until the context ends.
func (m *Mesh) syncLoop(ctx context.Context) {
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	var revision uint64
	var listed []string
	for {
		changed := m.View.Changed()
		if snap := m.View.Load(); snap.HostsRevision != revision {
			revision = snap.HostsRevision
			if now := listedEntryHosts(snap); !slices.Equal(now, listed) {
				// New hosts must know each other before they decide anything together.
				listed = now
				m.peer.TriggerRound()
			}
		}
		m.syncPeers()
		m.syncMarks(time.Now())
		select {
		case <-ctx.Done():
			return
		case e := <-m.newerConfigs:
			m.fetchConfig(ctx, e)
		case <-m.changed:
		case <-changed:
		case <-tick.C:
		}
	}
}

// listedEntryHosts returns the names of the entry hosts of the host list, in order.
func listedEntryHosts(snap *view.Snapshot) []string {
	var names []string
	for _, h := range snap.Hosts {
		if h.Role == host.Entry {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	return names
}

// syncPeers writes the other members into the snapshot.
func (m *Mesh) syncPeers() {
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

// fetchTimeout bounds the time to fetch a configuration from a peer.
const fetchTimeout = 2 * time.Second

// fetchConfig fetches a newer configuration from the peer that announced it.
func (m *Mesh) fetchConfig(ctx context.Context, e peer.NewerConfig) {
	after := m.localState().Revision
	if m.OnConfig == nil || e.Revision <= after {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
	m.OnConfig(reply.Object, reply.Version)
	m.peer.TriggerRound()
}

// Others returns the other entry hosts of the host list and those known from
// peers, without those that have left.
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

// RemoteRates returns the reported requests per second of each team, summed over
// all other entry hosts. The map must not be changed.
func (m *Mesh) RemoteRates() map[string]float64 {
	return m.peer.Rates()
}

// Broadcast sends a mark to all live entry hosts at once. It returns when they
// have it or the context ends; the local snapshot then has it too.
func (m *Mesh) Broadcast(ctx context.Context, mark peer.Mark) {
	m.peer.Broadcast(ctx, mark)
	m.syncMarks(time.Now())
}

// Mark adds a mark, which then spreads by gossip.
func (m *Mesh) Mark(mark peer.Mark) {
	m.peer.Mark(mark)
}

// PeerStatus queries the status of another entry host.
func (m *Mesh) PeerStatus(ctx context.Context, h host.Host) (*wire.StatusReply, error) {
	client, err := m.Client(ctx, h)
	if err != nil {
		return nil, err
	}
	return client.Status(ctx, &wire.StatusAsk{Secret: m.Secret})
}

// Client returns a client of another entry host. The client dials on first use
// unless an idle connection is available.
func (m *Mesh) Client(ctx context.Context, h host.Host) (wire.DRPCEntryClient, error) {
	return m.peer.Client(ctx, h.Address), nil
}
