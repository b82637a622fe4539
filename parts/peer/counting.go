package peer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Counters of the bytes on all connections between members.
var (
	bytesIn  = metrics.GetOrRegisterCounter("peer.bytes.in", nil)
	bytesOut = metrics.GetOrRegisterCounter("peer.bytes.out", nil)
)

// countingConn counts the bytes of a connection, without TCP and IP headers.
type countingConn struct {
	net.Conn
	in, out metrics.Counter
}

// NetConn returns the connection below.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// Read implements [net.Conn].
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Inc(int64(n))
	return n, err
}

// Listener counts the bytes of the connections that it accepts in
// peer.bytes.in and peer.bytes.out.
type Listener struct {
	net.Listener
}

// Accept implements [net.Listener].
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, bytesIn, bytesOut}, nil
}
