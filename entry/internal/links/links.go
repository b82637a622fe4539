// Package links connects this entry host to the backend servers, directly or through
// another entry host (see package tunnel), and serves the tunnels of other hosts.
package links

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"

	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/entry/tunnel"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/reach"
	"fuchsiashelf.dev/parts/stall"
	"fuchsiashelf.dev/parts/view"
)

// Links connects to backend servers. Set the exported fields, then call Init and Run.
type Links struct {
	View *view.Publisher
	// Dialer connects to a server directly.
	Dialer *net.Dialer
	// DialPeer connects to another entry host.
	DialPeer func(ctx context.Context, address string) (drpc.Conn, error)
	// Secret is the secret of the entry hosts.
	Secret string
	// Domain is the failure domain of this entry host.
	Domain domain.Name
	// Clock distinguishes the silence of others from stalls of this process; nil assumes none.
	Clock *stall.Clock
	Log   *slog.Logger
	// OnChange is called when this host begins or ceases to be cut off from the servers:
	// idle connections are of the wrong kind then.
	OnChange func()

	reach   *reach.Tracker
	dialer  *dialer.Dialer
	tunnels *tunnel.Server
	// unanswered counts the tunnels of other hosts whose server owes an answer.
	unanswered atomic.Int64
}

// Init prepares the links. Call it once after the fields are set, before any other method.
func (l *Links) Init() {
	l.reach = &reach.Tracker{Known: func() int { return len(l.servers()) }}
	l.dialer = &dialer.Dialer{
		Direct: l.Dialer.DialContext, Peers: l.peers, DialPeer: l.DialPeer, Secret: l.Secret, Servers: l.servers,
		Reach: l.reach, OnChange: l.changed, Clock: l.Clock,
	}
	l.tunnels = &tunnel.Server{
		Known:      func(address string) bool { return slices.Contains(l.servers(), address) },
		Dial:       l.dialServer,
		Authorized: func(secret string) bool { return peer.SecretsEqual(secret, l.Secret) },
	}
	l.registerGauges()
}

// registerGauges registers gauges of the servers that this host reaches.
func (l *Links) registerGauges() {
	for name, value := range map[string]func() int64{
		"reach.reached":   func() int64 { reached, _ := l.reach.Counts(); return int64(reached) },
		"reach.unreached": func() int64 { _, unreached := l.reach.Counts(); return int64(unreached) },
		"reach.relayed":   func() int64 { return int64(l.reach.Relayed()) },
		"reach.isolated": func() int64 {
			if l.Isolated() {
				return 1
			}
			return 0
		},
		"tunnels.served": func() int64 { return int64(l.tunnels.Active()) },
	} {
		_ = metrics.Register(name, metrics.NewFunctionalGauge(value))
	}
}

// Dial connects to a backend server.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return l.dialer.Dial(ctx, network, address)
}

// Direct reports whether connections to a server are direct ones now.
func (l *Links) Direct(address string) bool { return l.reach.Direct(address, time.Now()) }

// Isolated reports whether this entry host is cut off from all servers.
func (l *Links) Isolated() bool { return l.reach.State(time.Now()) == reach.Isolated }

// Tunnels returns the handler of tunnels that other entry hosts open.
func (l *Links) Tunnels() drpc.Handler { return l.tunnels }

// drainInterval is the interval at which a stop checks whether tunnels are in use.
const drainInterval = 20 * time.Millisecond

// Drain opens no more tunnels for other hosts, and waits until none is in use or the
// context ends. A tunnel is in use while bytes pass, or while its server has sent nothing
// since the last bytes for it: however long that takes, it may be at work.
func (l *Links) Drain(ctx context.Context) {
	l.tunnels.Stop()
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for l.tunnels.Busy() > 0 || l.unanswered.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sweepInterval is the interval at which servers that are no longer listed are forgotten.
const sweepInterval = time.Second

// Run tries servers that were not reached again, until the context ends.
func (l *Links) Run(ctx context.Context) error {
	go l.dialer.Run(ctx)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			listed := l.servers()
			l.reach.Retain(func(address string) bool { return slices.Contains(listed, address) })
		}
	}
}

// changed logs that this host begins or ceases to be cut off.
func (l *Links) changed() {
	reached, unreached := l.reach.Counts()
	attrs := []any{"reached", reached, "unreached", unreached, "relayed", l.reach.Relayed()}
	if l.Isolated() {
		l.Log.Warn("reach: no server accepts connections", append(attrs, "meaning", l.meaning())...)
	} else {
		l.Log.Info("reach: servers accept connections again", attrs...)
	}
	if l.OnChange != nil {
		l.OnChange()
	}
}

// meaning returns what an isolation means.
func (l *Links) meaning() string {
	if n := l.reach.Relayed(); n > 0 {
		return fmt.Sprintf("this host is cut off, others reach %d of the servers", n)
	}
	return "no other host has reached one of the servers yet"
}

// servers returns the addresses of the backend servers.
func (l *Links) servers() []string {
	var list []string
	for _, h := range l.View.Load().Hosts {
		if h.Role != host.Entry {
			list = append(list, h.Address)
		}
	}
	return list
}

// peers returns the addresses of the entry hosts through which to connect to a server: those
// of this failure domain first, then those of the server's, then the others. Each group is
// in random order, which spreads the tunnels.
func (l *Links) peers(server string) []string {
	snap := l.View.Load()
	var far domain.Name
	for _, h := range snap.Hosts {
		if h.Address == server {
			far = h.Domain
		}
	}
	var alive []view.Peer
	for _, p := range snap.Peers {
		if p.Alive && !p.Left {
			alive = append(alive, p)
		}
	}
	rank := func(p view.Peer) int {
		switch p.Domain {
		case l.Domain:
			return 0
		case far:
			return 1
		}
		return 2
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	slices.SortStableFunc(alive, func(a, b view.Peer) int { return cmp.Compare(rank(a), rank(b)) })
	list := make([]string, len(alive))
	for i, p := range alive {
		list[i] = p.Address
	}
	return list
}
