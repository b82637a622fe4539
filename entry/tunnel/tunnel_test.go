package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/entry/tunnel"
	"fuchsiashelf.dev/parts/reach"
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
	go func() { served <- drpcserver.New(s).Serve(ctx, recorder{l, accepted}) }()
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

// errRefused is the error of a refused connection.
var errRefused = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// refuse refuses connections.
func refuse(context.Context, string, string) (net.Conn, error) { return nil, errRefused }

// hang neither accepts nor refuses connections.
func hang(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// newDialer returns a dialer whose direct connections are made by direct.
func newDialer(direct func(context.Context, string, string) (net.Conn, error), servers, peers []string) *tunnel.Dialer {
	return &tunnel.Dialer{
		Direct: direct, DialPeer: dialPeer, Reach: &reach.Tracker{Known: func() int { return len(servers) }},
		Peers: func(string) []string { return peers }, Servers: func() []string { return append([]string(nil), servers...) },
	}
}

// Guards against a server that counts as down while only this host's link to it is cut.
func TestCutHostConnectsThroughPeer(t *testing.T) {
	for name, cut := range map[string]func(context.Context, string, string) (net.Conn, error){"refused": refuse, "hanging": hang} {
		t.Run(name, func(t *testing.T) {
			peer, _ := servePeer(t, &tunnel.Server{Known: all, Dial: dial})
			servers := []string{listen(t, echo), listen(t, echo), listen(t, echo), listen(t, echo)}
			d := newDialer(cut, servers, []string{peer})
			for _, server := range servers {
				c, err := d.Dial(t.Context(), "tcp", server)
				qt.Assert(t, err, qt.IsNil)
				_, through := c.(*tunnel.Conn)
				qt.Assert(t, through, qt.IsTrue)
				c.Close()
			}
			waitUntil(func() bool { return d.Reach.State(time.Now()) == reach.Isolated })
			qt.Assert(t, d.Reach.Direct(servers[0], time.Now()), qt.IsFalse)
		})
	}
}

// Guards against connections that go on through a peer after the cut has ended.
func TestConnectionsAreDirectAgainAfterCut(t *testing.T) {
	peer, _ := servePeer(t, &tunnel.Server{Known: all, Dial: dial})
	var cut atomic.Bool
	cut.Store(true)
	server := listen(t, echo)
	d := newDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		if cut.Load() {
			return nil, errRefused
		}
		return dial(ctx, network, address)
	}, []string{server}, []string{peer})
	go d.Run(t.Context())
	c, err := d.Dial(t.Context(), "tcp", server)
	qt.Assert(t, err, qt.IsNil)
	c.Close()
	cut.Store(false)
	waitUntil(func() bool { return d.Reach.Direct(server, time.Now()) })
	c, err = d.Dial(t.Context(), "tcp", server)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_, direct := c.(*net.TCPConn)
	qt.Assert(t, direct, qt.IsTrue)
}

// Guards against a crash that is overlooked while several connections to the server are
// attempted at the same time.
func TestExitIsToldToAllWhoDial(t *testing.T) {
	up, down := listen(t, echo), "127.0.0.1:1"
	refusing, _ := servePeer(t, &tunnel.Server{Known: all, Dial: refuse})
	d := newDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == up {
			return dial(ctx, network, address)
		}
		return nil, errRefused
	}, []string{up, down}, []string{refusing})
	var dials sync.WaitGroup
	var exited atomic.Int64
	for range 50 {
		dials.Go(func() {
			if _, err := d.Dial(t.Context(), "tcp", down); errors.Is(err, tunnel.ErrExited) {
				exited.Add(1)
			}
		})
	}
	dials.Wait()
	qt.Assert(t, exited.Load(), qt.Equals, int64(50))
}

// waitUntil waits until a condition holds. The timeout of the test ends a wait in vain.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a refused connection that counts as the end of the server's process while
// this host reaches no server, and against a crash that does not.
func TestExitIsToldFromCut(t *testing.T) {
	up, down := listen(t, echo), "127.0.0.1:1"
	onlyUp := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == up {
			return dial(ctx, network, address)
		}
		return nil, errRefused
	}
	refusing, _ := servePeer(t, &tunnel.Server{Known: all, Dial: refuse})
	for _, test := range []struct {
		name   string
		direct func(context.Context, string, string) (net.Conn, error)
		peers  []string
		exited bool
	}{
		{"another server accepts", onlyUp, nil, true},
		{"another server accepts, a peer does not reach it either", onlyUp, []string{refusing}, true},
		{"no server accepts", refuse, nil, false},
		{"no server accepts, nor does one accept a peer", refuse, []string{refusing}, false},
		{"no answer", hang, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDialer(test.direct, []string{up, down}, test.peers)
			// The second attempt finds what the first has found.
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				_, err := d.Dial(ctx, "tcp", down)
				cancel()
				qt.Assert(t, err, qt.IsNotNil)
				qt.Assert(t, errors.Is(err, tunnel.ErrExited), qt.Equals, test.exited, qt.Commentf("%v", err))
			}
		})
	}
}
