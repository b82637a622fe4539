package dialer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/entry/dialer"
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

// echo sends everything back, and ends with the connection.
func echo(c net.Conn) {
	defer c.Close()
	_, _ = io.Copy(c, c)
}

// servePeer serves tunnels to servers that dial connects to, and returns the peer's address.
func servePeer(t *testing.T, dial func(context.Context, string, string) (net.Conn, error)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &tunnel.Server{Known: func(string) bool { return true }, Dial: dial}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- drpcserver.New(s).Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return l.Addr().String()
}

func dialPeer(ctx context.Context, address string) (drpc.Conn, error) {
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(c), nil
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
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
func newDialer(direct func(context.Context, string, string) (net.Conn, error), servers, peers []string) *dialer.Dialer {
	return &dialer.Dialer{
		Direct: direct, DialPeer: dialPeer, Reach: &reach.Tracker{Known: func() int { return len(servers) }},
		Peers: func(string) []string { return peers }, Servers: func() []string { return append([]string(nil), servers...) },
	}
}

// Guards against a server that counts as down while only this host's link to it is cut.
func TestCutHostConnectsThroughPeer(t *testing.T) {
	for name, cut := range map[string]func(context.Context, string, string) (net.Conn, error){"refused": refuse, "hanging": hang} {
		t.Run(name, func(t *testing.T) {
			peer := servePeer(t, dial)
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
	peer := servePeer(t, dial)
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
	refusing := servePeer(t, refuse)
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
			if _, err := d.Dial(t.Context(), "tcp", down); errors.Is(err, dialer.ErrExited) {
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
	refusing := servePeer(t, refuse)
	rejecting := "127.0.0.1:1"
	for _, test := range []struct {
		name   string
		direct func(context.Context, string, string) (net.Conn, error)
		peers  []string
		exited bool
	}{
		{"another server accepts", onlyUp, nil, true},
		{"another server accepts, a peer does not reach it either", onlyUp, []string{refusing}, true},
		{"another server accepts, a peer does not try", onlyUp, []string{rejecting}, false},
		{"another server accepts, one of two peers tries", onlyUp, []string{rejecting, refusing}, true},
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
				qt.Assert(t, errors.Is(err, dialer.ErrExited), qt.Equals, test.exited, qt.Commentf("%v", err))
			}
		})
	}
}

// Guards against a host that counts as isolated, and connects through others, because it tries
// no servers but three that have crashed.
func TestRechecksOfCrashedServersDoNotIsolate(t *testing.T) {
	servers := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "up:4", "up:5", "up:6"}
	var rechecks, isolations atomic.Int64
	d := newDialer(func(_ context.Context, _, address string) (net.Conn, error) {
		if strings.HasPrefix(address, "up") {
			near, far := net.Pipe()
			far.Close()
			return near, nil
		}
		rechecks.Add(1)
		return nil, errRefused
	}, servers, nil)
	d.Reach.Candidates = func() []string { return append([]string(nil), servers[3:]...) }
	d.OnChange = func() {
		if d.Reach.State(time.Now()) == reach.Isolated {
			isolations.Add(1)
		}
	}
	for _, address := range servers[:3] {
		_, err := d.Dial(t.Context(), "tcp", address)
		qt.Assert(t, err, qt.IsNotNil)
	}
	go d.Run(t.Context())
	// Two servers are tried in each round, so this takes four rounds.
	waitUntil(func() bool { return rechecks.Load() >= 3+8 })
	qt.Assert(t, isolations.Load(), qt.Equals, int64(0))
}
