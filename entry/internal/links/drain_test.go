package links

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/entry/tunnel"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wait"
)

// A stopping host closed the tunnel of a call whose server had not answered for two seconds.
func TestDrainWaitsForSilentServer(t *testing.T) {
	c := qt.New(t)
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { l.Close() })
		return l
	}
	servers, peers := listen(), listen()
	answer := make(chan struct{})
	go func() {
		conn, err := servers.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		buffer := make([]byte, 64)
		_, _ = conn.Read(buffer)
		<-answer
		_, _ = conn.Write([]byte("answer"))
		// The connection is kept.
		_, _ = conn.Read(buffer)
	}()
	publisher := view.New("e1", "a")
	publisher.Update(func(s *view.Snapshot) {
		s.Hosts = map[string]host.Host{"p1": {Name: "p1", Address: servers.Addr().String(), Role: host.Plain}}
	})
	l := &Links{View: publisher, Dialer: &net.Dialer{}, Log: slog.New(slog.DiscardHandler)}
	l.Init()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = drpcserver.New(l.Tunnels()).Serve(ctx, peers) }()
	conn, err := net.Dial("tcp", peers.Addr().String())
	c.Assert(err, qt.IsNil)
	through, err := tunnel.Open(ctx, drpcconn.New(conn), peers.Addr().String(), servers.Addr().String(), "")
	c.Assert(err, qt.IsNil)
	defer through.Close()
	_, err = through.Write([]byte("call"))
	c.Assert(err, qt.IsNil)

	drained := make(chan struct{})
	go func() {
		l.Drain(ctx)
		close(drained)
	}()
	wait.For(ctx, 2500*time.Millisecond)
	select {
	case <-drained:
		c.Error("drained before the answer")
	default:
	}
	close(answer)
	buffer := make([]byte, 64)
	n, err := through.Read(buffer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buffer[:n]), qt.Equals, "answer")
	// An idle tunnel does not delay the stop until the end of its grace period.
	<-drained
}
