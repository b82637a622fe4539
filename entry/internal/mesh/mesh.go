// Package mesh joins the entry hosts: it asks the others what they have in
// force and answers the same of this one.
package mesh

import (
	"context"
	"crypto/subtle"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// Mesh talks to the other entry hosts. Set the exported fields, then Run.
type Mesh struct {
	wire.DRPCEntryUnimplementedServer

	View   *view.Holder
	Trace  *trace.Line
	Log    *slog.Logger
	Secret string
	// Condition tells what Own adds to the snapshot.
	Condition Condition

	mu    sync.Mutex
	conns map[string]*drpcconn.Conn
}

// dialTimeout bounds the time to reach another entry host.
const dialTimeout = time.Second

// errSecret is the answer to a wrong secret.
var errSecret = errors.New("mesh: wrong secret")

// Run answers the other entry hosts until the context ends.
func (m *Mesh) Run(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterEntry(mux, m); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, listener)
}

// Same compares secrets in constant time.
func Same(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// Timeline implements the call of the other entry hosts.
func (m *Mesh) Timeline(_ context.Context, ask *wire.TimelineAsk) (*wire.TimelineReply, error) {
	if !Same(ask.Secret, m.Secret) {
		return nil, errSecret
	}
	reply := &wire.TimelineReply{}
	for _, e := range m.Trace.Find(ask.Request) {
		reply.Events = append(reply.Events, &wire.Event{
			Clock: e.Clock, Process: e.Process, Part: e.Part, Request: e.Request, What: e.What,
		})
	}
	return reply, nil
}

// Others returns the other entry hosts of the host list.
func (m *Mesh) Others() []host.Host {
	snap := m.View.Load()
	var others []host.Host
	for _, h := range snap.Hosts {
		if h.Role == host.Entry && h.Name != snap.Self {
			others = append(others, h)
		}
	}
	return others
}

// Ask asks another entry host for its status.
func (m *Mesh) Ask(ctx context.Context, h host.Host) (*wire.StatusReply, error) {
	client, err := m.Client(ctx, h)
	if err != nil {
		return nil, err
	}
	return client.Status(ctx, &wire.StatusAsk{Secret: m.Secret})
}

// Client returns a connection to another entry host, and dials if needed.
func (m *Mesh) Client(ctx context.Context, h host.Host) (wire.DRPCEntryClient, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	conn := m.conns[h.Address]
	if conn != nil && !closed(conn) {
		return wire.NewDRPCEntryClient(conn), nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", h.Address)
	if err != nil {
		return nil, err
	}
	if m.conns == nil {
		m.conns = map[string]*drpcconn.Conn{}
	}
	conn = drpcconn.New(raw)
	m.conns[h.Address] = conn
	return wire.NewDRPCEntryClient(conn), nil
}

func closed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}
