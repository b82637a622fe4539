package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"fuchsiashelf.dev/entry/tunnel"
)

// listen accepts connections and serves each; it returns the address.
func listen(t *testing.T, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// echo sends each line back, and ends with the connection.
func echo(c net.Conn) {
	defer c.Close()
	_, _ = io.Copy(c, c)
}

// servePeer serves tunnels and returns the peer's address, and a function that ends its
// connections as a kill of the process does.
func servePeer(t *testing.T, s *tunnel.Server) (address string, kill func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	accepted := make(chan net.Conn, 64)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- tunnel.Serve(ctx, recorder{l, accepted}, s) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return l.Addr().String(), func() {
		for {
			select {
			case c := <-accepted:
				c.Close()
			default:
				return
			}
		}
	}
}

// recorder passes on the connections that it accepts.
type recorder struct {
	net.Listener
	accepted chan net.Conn
}

func (r recorder) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err == nil {
		r.accepted <- c
	}
	return c, err
}

func dialPeer(ctx context.Context, address string) (drpc.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(c), nil
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

func all(string) bool { return true }

// open opens a tunnel through a peer.
func open(t *testing.T, peer, server string) (*tunnel.Conn, error) {
	carrier, err := dialPeer(t.Context(), peer)
	qt.Assert(t, err, qt.IsNil)
	return tunnel.Open(t.Context(), carrier, peer, server, "")
}

func TestTunnelCarriesBytesBothWays(t *testing.T) {
	peer, _ := servePeer(t, &tunnel.Server{Known: all, Dial: dial})
	c, err := open(t, peer, listen(t, echo))
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	// More than one message.
	sent := make([]byte, 100_000)
	for i := range sent {
		sent[i] = byte(i)
	}
	go func() { _, _ = c.Write(sent) }()
	received := make([]byte, len(sent))
	_, err = io.ReadFull(c, received)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(received) == string(sent), qt.IsTrue)
	qt.Assert(t, c.Idle(), qt.IsTrue)
}

// Guards against a response without a length that looks complete, although its server's
// connection was reset or the peer was killed.
func TestEndOfServersBytesIsToldFromFailure(t *testing.T) {
	for _, test := range []struct {
		name  string
		end   func(server net.Conn, kill func())
		whole bool
	}{
		{"closed", func(server net.Conn, _ func()) { server.Close() }, true},
		{"reset", func(server net.Conn, _ func()) {
			_ = server.(*net.TCPConn).SetLinger(0)
			server.Close()
		}, false},
		{"peer killed", func(_ net.Conn, kill func()) { kill() }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			peer, kill := servePeer(t, &tunnel.Server{Known: all, Dial: dial})
			conns := make(chan net.Conn, 1)
			c, err := open(t, peer, listen(t, func(c net.Conn) {
				fmt.Fprintln(c, "half")
				conns <- c
			}))
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			r := bufio.NewReader(c)
			_, err = r.ReadString('\n')
			qt.Assert(t, err, qt.IsNil)
			test.end(<-conns, kill)
			_, err = r.ReadString('\n')
			qt.Assert(t, err == io.EOF, qt.Equals, test.whole, qt.Commentf("%v", err))
			qt.Assert(t, c.Idle(), qt.IsFalse)
		})
	}
}

// Guards against a server that works on for a caller who has left.
func TestCloseReachesServer(t *testing.T) {
	peer, _ := servePeer(t, &tunnel.Server{Known: all, Dial: dial})
	closed := make(chan struct{})
	c, err := open(t, peer, listen(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Close(), qt.IsNil)
	<-closed
	_, err = c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, net.ErrClosed)
}

// Guards against tunnels to addresses that are not backend servers, through hosts that are
// about to stop, and for strangers.
func TestPeerRejects(t *testing.T) {
	server := listen(t, echo)
	stopping := &tunnel.Server{Dial: dial, Known: all}
	stopping.Stop()
	for _, s := range []*tunnel.Server{
		stopping,
		{Dial: dial, Known: func(string) bool { return false }},
		{Dial: dial, Known: all, Authorized: func(secret string) bool { return secret == "right" }},
	} {
		peer, _ := servePeer(t, s)
		_, err := open(t, peer, server)
		var failed *tunnel.PeerError
		qt.Assert(t, errors.As(err, &failed), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, failed.Rejected, qt.IsTrue)
	}
}
