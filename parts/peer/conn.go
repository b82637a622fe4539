package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"fuchsiashelf.dev/parts/stall"
	"fuchsiashelf.dev/parts/wire"
)

// dialTimeout bounds the time to connect to another member.
const dialTimeout = time.Second

// Client returns a client of the member at an address. It uses a pooled
// connection, or dials on first use if none is idle.
func (p *Peer) Client(ctx context.Context, address string) wire.DRPCEntryClient {
	p.init()
	return wire.NewDRPCEntryClient(p.conns.Get(ctx, address, p.Dial))
}

// Dial opens a connection to the member at an address.
func (p *Peer) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	stall.Restart(ctx)
	counting := &countingConn{raw, bytesIn, bytesOut}
	if p.TLS == nil {
		return drpcconn.New(counting), nil
	}
	conn := tls.Client(counting, p.TLS)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return drpcconn.New(conn), nil
}
