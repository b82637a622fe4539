package prog

import (
	"context"
	"net"
	"time"

	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/internal/links"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/parts/view"
)

// serverDialTimeout bounds the time to connect to a backend server. A host that is down may
// send no reply at all, and only this timeout distinguishes it from a slow one.
const serverDialTimeout = 2 * time.Second

// newLinks creates the component that connects to backend servers.
func (d *daemon) newLinks(publisher *view.Publisher, peers *mesh.Mesh) *links.Links {
	dialer := &net.Dialer{Timeout: serverDialTimeout, KeepAlive: -1, Control: conns.SetUserTimeout}
	if d.settings.Source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(d.settings.Source)}
	}
	l := &links.Links{
		View: publisher, Dialer: dialer, DialPeer: peers.Dial, Secret: d.settings.PeerSecret,
		Domain: d.settings.LocalDomain(), Clock: d.clock, Log: d.log,
	}
	l.Init()
	peers.Tunnels = l.Tunnels()
	return l
}

// drainTunnels waits until no tunnel of another entry host is in use, at most for the grace
// period.
func (d *daemon) drainTunnels(ctx context.Context, l *links.Links) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Grace)
	defer cancel()
	l.Drain(ctx)
}
