package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"storj.io/drpc"
)

// Conn is a connection to a server through a peer. It has no deadlines; Close ends reads
// and writes.
type Conn struct {
	// Peer is the address of the peer.
	Peer string

	server  string
	stream  drpc.Stream
	carrier drpc.Conn

	mu   sync.Mutex
	cond *sync.Cond
	// received holds bytes that have not been read, and err why no more will come.
	received []byte
	err      error
}

// PeerError says that a peer did not connect to a server.
type PeerError struct {
	// Peer is the address of the peer.
	Peer    string
	Message string
	// Rejected says that the peer did not try.
	Rejected bool
}

// Error implements error.
func (e *PeerError) Error() string { return "tunnel through " + e.Peer + ": " + e.Message }

// Open opens a tunnel to a server through a peer. It closes the carrier, the connection to
// the peer, if that fails; otherwise the tunnel does so when it is closed.
func Open(ctx context.Context, carrier drpc.Conn, peer, server, secret string) (*Conn, error) {
	stop := context.AfterFunc(ctx, func() { carrier.Close() })
	c, err := open(ctx, carrier, peer, server, secret)
	if !stop() {
		err = errors.Join(err, context.Cause(ctx))
	}
	if err != nil {
		return nil, errors.Join(err, carrier.Close())
	}
	go c.receive()
	return c, nil
}

func open(ctx context.Context, carrier drpc.Conn, peer, server, secret string) (*Conn, error) {
	// The tunnel outlives the attempt to open it; Close ends it.
	stream, err := carrier.NewStream(context.WithoutCancel(ctx), Call, encoding{})
	if err != nil {
		return nil, err
	}
	request, err := encode(kindOpen, openRequest{Address: server, Secret: secret})
	if err != nil {
		return nil, err
	}
	if err := stream.MsgSend(request, encoding{}); err != nil {
		return nil, err
	}
	var reply message
	if err := stream.MsgRecv(&reply, encoding{}); err != nil {
		return nil, err
	}
	if reply.kind != kindOpened {
		var f failure
		if err := reply.decode(kindFailed, &f); err != nil {
			return nil, err
		}
		return nil, &PeerError{Peer: peer, Message: f.Message, Rejected: f.Rejected}
	}
	c := &Conn{Peer: peer, server: server, stream: stream, carrier: carrier}
	c.cond = sync.NewCond(&c.mu)
	return c, nil
}

// receive receives messages until the tunnel ends. It waits until the bytes of one are read
// before it receives the next.
func (c *Conn) receive() {
	for {
		var m message
		err := c.stream.MsgRecv(&m, encoding{})
		switch {
		case err == nil && m.kind == kindEnd:
			err = io.EOF
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		}
		c.mu.Lock()
		for len(c.received) > 0 && c.err == nil {
			c.cond.Wait()
		}
		if c.err == nil {
			c.received, c.err = m.body, err
		}
		ended := c.err != nil
		c.cond.Broadcast()
		c.mu.Unlock()
		if ended {
			return
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.received) == 0 && c.err == nil {
		c.cond.Wait()
	}
	if len(c.received) == 0 {
		return 0, c.err
	}
	n := copy(b, c.received)
	c.received = c.received[n:]
	c.cond.Broadcast()
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		part := b[written:min(len(b), written+maxData)]
		if err := c.stream.MsgSend(&message{kind: kindData, body: part}, encoding{}); err != nil {
			return written, err
		}
		written += len(part)
	}
	return written, nil
}

// Idle reports whether the tunnel is open and has no unread bytes.
func (c *Conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.received) == 0 && c.err == nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.cond.Broadcast()
	c.mu.Unlock()
	return c.carrier.Close()
}

// address is the address of a backend server.
type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return address("tunnel") }

// RemoteAddr implements net.Conn. It is the address of the server.
func (c *Conn) RemoteAddr() net.Addr { return address(c.server) }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
