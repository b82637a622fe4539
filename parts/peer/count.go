package peer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// The counters of all bytes of the connections between members.
var (
	bytesIn  = metrics.GetOrRegisterCounter("peer.bytes.in", nil)
	bytesOut = metrics.GetOrRegisterCounter("peer.bytes.out", nil)
)

// counted counts the bytes of a connection, headers of TCP and IP left out.
type counted struct {
	net.Conn
	in, out metrics.Counter
}

// Read implements [net.Conn].
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Inc(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Inc(int64(n))
	return n, err
}

// Listener counts the bytes of the connections that it accepts, on
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
	return &counted{conn, bytesIn, bytesOut}, nil
}
