package links

import (
	"context"
	"net"
	"sync"
)

// serverConn is the connection of a tunnel to a server. It records whether the server owes
// an answer.
type serverConn struct {
	net.Conn
	links *Links

	mu sync.Mutex
	// unanswered says that the last bytes went to the server.
	unanswered, closed bool
}

// dialServer connects to a server for a tunnel of another host.
func (l *Links) dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := l.dialer.DialDirect(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: conn, links: l}, nil
}

// Read implements net.Conn.
func (c *serverConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 || err != nil {
		c.set(false)
	}
	return n, err
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	c.set(true)
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.mu.Lock()
	c.record(false)
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// set records whether the server owes an answer.
func (c *serverConn) set(unanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(unanswered)
}

// record is set with the mutex held.
func (c *serverConn) record(unanswered bool) {
	if c.closed || c.unanswered == unanswered {
		return
	}
	c.unanswered = unanswered
	if unanswered {
		c.links.unanswered.Add(1)
	} else {
		c.links.unanswered.Add(-1)
	}
}
