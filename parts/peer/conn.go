package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"fuchsiashelf.dev/parts/wire"
)

// dialWait bounds the time to reach another member.
const dialWait = time.Second

// Client returns a client of a member. It shares the kept connections, and
// dials when it is first used and none is free.
func (p *Peer) Client(ctx context.Context, address string) wire.DRPCEntryClient {
	p.init()
	return wire.NewDRPCEntryClient(p.conns.Get(ctx, address, p.dial))
}

func (p *Peer) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: dialWait}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counts := &counted{raw, bytesIn, bytesOut}
	if p.TLS == nil {
		return drpcconn.New(counts), nil
	}
	secure := tls.Client(counts, p.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return drpcconn.New(secure), nil
}
