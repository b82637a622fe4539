package front

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lateListener accepts one connection after it was closed.
type lateListener struct {
	net.Listener
	closed chan struct{}
	conn   net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	c := l.conn
	l.conn = nil
	return c, nil
}

func (l *lateListener) Close() error { return nil }

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process that never ends, because a connection was accepted just before
// the stop. Its caller must learn that nothing was read.
func TestConnectionAcceptedDuringStopIsClosed(t *testing.T) {
	near, far := net.Pipe()
	l := &lateListener{closed: make(chan struct{}), conn: near}
	s := &Server{Listener: l, Handler: http.NotFoundHandler(), Log: slog.New(slog.DiscardHandler)}
	ended := make(chan struct{})
	go func() {
		s.Run()
		close(ended)
	}()
	s.SetLimits(defaultLimits)
	s.Stop(context.Background())
	close(l.closed)
	_, err := far.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	<-ended
}

// startServer starts a server with a handler and returns its address.
func startServer(t *testing.T, s *Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s.Listener, s.Log = l, slog.New(slog.DiscardHandler)
	ended := make(chan struct{})
	go func() {
		s.Run()
		close(ended)
	}()
	t.Cleanup(func() {
		s.Stop(context.Background())
		<-ended
	})
	return l.Addr().String()
}

// Guards against a host that reads requests which it cannot serve: their callers would meet another
// host sooner. Requests on connections that are open are served.
func TestConnectionBeyondLoadIsClosedUnread(t *testing.T) {
	var full atomic.Bool
	var unread atomic.Int64
	s := &Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Accept: func(n int) bool {
		unread.Store(int64(n))
		return !full.Load()
	}}
	address := startServer(t, s)
	client := &http.Client{Transport: &http.Transport{}}
	get := func(c *http.Client) error {
		resp, err := c.Get("http://" + address)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	qt.Assert(t, get(client), qt.IsNil)
	silent, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	qt.Assert(t, get(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}), qt.IsNil)
	qt.Assert(t, unread.Load(), qt.Equals, int64(1))
	s.CloseIdle(time.Now().Add(2 * unreadFor))
	qt.Assert(t, get(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}), qt.IsNil)
	qt.Assert(t, unread.Load(), qt.Equals, int64(0))
	full.Store(true)
	qt.Assert(t, get(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}), qt.IsNotNil)
	qt.Assert(t, get(client), qt.IsNil)
}

// Guards against new connections that delay the requests in flight: after some of them, what has
// arrived before is read.
func TestNewConnectionsWaitForReads(t *testing.T) {
	rounds := make(chan func(), 1)
	s := &Server{Handler: http.NotFoundHandler(), AfterRound: func(f func()) { rounds <- f }}
	var accepted atomic.Int64
	s.Accept = func(int) bool {
		accepted.Add(1)
		return true
	}
	address := startServer(t, s)
	for range 2 * acceptBatch {
		c, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
	}
	pass := <-rounds
	qt.Assert(t, accepted.Load(), qt.Equals, int64(acceptBatch-1))
	pass()
	pass = <-rounds
	qt.Assert(t, accepted.Load(), qt.Equals, int64(2*acceptBatch-1))
	pass()
}

// Guards against taking the first request on a connection for one on a connection that is kept.
func TestKeptConnection(t *testing.T) {
	var kept []bool
	address := startServer(t, &Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		kept = append(kept, isKept(r.Context()))
	})})
	client := &http.Client{Transport: &http.Transport{}}
	for range 3 {
		resp, err := client.Get("http://" + address)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
	}
	qt.Assert(t, kept, qt.DeepEquals, []bool{false, true, true})
}
