package front

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/route"
)

// idleGrace is how much longer than its limit an idle connection is kept, so that a
// caller that reuses it just within the limit does not find it closed.
const idleGrace = 2 * time.Second

// defaultLimits apply until the first configuration is known.
var defaultLimits = route.Limits{HeaderBytes: 16 << 10, HeaderTime: 3 * time.Second, Idle: 15 * time.Second}

// Server accepts callers' connections. The limits can change while it runs: each change
// of a header limit starts another http.Server for new connections. Open connections
// keep their header limits, but a new idle timeout applies to them too.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	Log      *slog.Logger
	// Accept decides whether to read from a new connection, besides the given number of
	// connections from which no request has been read yet. The others are closed; their callers may
	// send their requests again. Nil accepts all.
	Accept func(unread int) bool
	// AfterRound calls a function once this process has read what has arrived before; nil means
	// that new connections do not wait for that.
	AfterRound func(func())

	mu     sync.Mutex
	limits route.Limits
	// servers holds all HTTP servers; the last one serves new connections, which it
	// gets through accepted.
	servers  []*http.Server
	accepted *chanListener
	// idle holds the idle connections, and since when each has been idle.
	idle map[net.Conn]time.Time
	// unread holds the connections from which no request has been read yet, and when they were
	// accepted, for unreadFor.
	unread  map[net.Conn]time.Time
	stopped bool
}

// Run accepts connections until Stop is called.
func (s *Server) Run() {
	s.SetLimits(defaultLimits)
	for n := 1; ; n++ {
		if n%acceptBatch == 0 {
			s.awaitRound()
		}
		c, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Error("front: accepting a connection failed", "error", err)
			time.Sleep(acceptBackoff)
			continue
		}
		l := s.admit(c)
		if l == nil {
			_ = c.Close()
			continue
		}
		select {
		case l.conns <- c:
		case <-l.done():
			// Its HTTP server has stopped. A caller whose request was not read may send it
			// again.
			s.trackState(c, http.StateClosed)
			_ = c.Close()
		}
	}
}

// acceptBatch is the number of connections that are accepted before the requests in flight get
// their turn.
const acceptBatch = 4

// awaitRound waits until this process has read what has arrived before. Otherwise the requests of
// new connections, which can be read at once, would delay all that waits for others.
func (s *Server) awaitRound() {
	if s.AfterRound == nil {
		return
	}
	passed := make(chan struct{})
	s.AfterRound(func() { close(passed) })
	<-passed
}

// admit returns the listener of the HTTP server for a new connection, or nil if the connection is
// to be closed.
func (s *Server) admit(c net.Conn) *chanListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Accept != nil && !s.Accept(len(s.unread)) {
		return nil
	}
	if s.unread == nil {
		s.unread = map[net.Conn]time.Time{}
	}
	s.unread[c] = time.Now()
	return s.accepted
}

// acceptBackoff is the pause after an accept that failed, for example because the
// process has no file descriptor left.
const acceptBackoff = 20 * time.Millisecond

// SetLimits applies new limits. If a header limit changes, it starts another HTTP
// server.
func (s *Server) SetLimits(l route.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unchanged := s.accepted != nil && l.HeaderBytes == s.limits.HeaderBytes && l.HeaderTime == s.limits.HeaderTime
	s.limits = l
	if unchanged || s.stopped {
		return
	}
	s.accepted = &chanListener{conns: make(chan net.Conn), address: s.Listener.Addr()}
	server := &http.Server{
		Handler: s.Handler, ReadHeaderTimeout: l.HeaderTime, MaxHeaderBytes: l.HeaderBytes,
		ConnState: s.trackState, ConnContext: withConn, ErrorLog: log.New(discard{}, "", 0),
	}
	s.servers = append(s.servers, server)
	go s.serve(server, s.accepted)
}

func (s *Server) serve(server *http.Server, l *chanListener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.Log.Error("front: HTTP server stopped", "error", err)
	}
}

// discard drops the log of net/http, which reports broken connections of callers: the
// request log covers them.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// connKey is the key of the *connUse in the context of a request.
type connKey struct{}

// connUse holds a connection and counts the requests on it. Requests on one connection follow each other.
type connUse struct {
	conn     net.Conn
	requests int
}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connUse{conn: c})
}

// isKept counts a request on its connection, and reports whether it is not the first one.
func isKept(ctx context.Context) bool {
	use, ok := ctx.Value(connKey{}).(*connUse)
	if !ok {
		return false
	}
	use.requests++
	return use.requests > 1
}

// connOf returns the connection of a request; nil if it is unknown.
func connOf(ctx context.Context) net.Conn {
	use, ok := ctx.Value(connKey{}).(*connUse)
	if !ok {
		return nil
	}
	return use.conn
}

// trackState records when a connection becomes idle, and removes the record when it is
// no longer idle. It also records from which connections no request has been read.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state != http.StateNew {
		delete(s.unread, c)
	}
	if s.idle == nil {
		s.idle = map[net.Conn]time.Time{}
	}
	if state == http.StateIdle {
		s.idle[c] = time.Now()
		return
	}
	delete(s.idle, c)
}

// unreadFor is how long a connection counts as one whose request is about to be read. Callers may
// open connections before they need them.
const unreadFor = 500 * time.Millisecond

// CloseIdle closes connections that have been idle for longer than the limit, plus
// idleGrace.
func (s *Server) CloseIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.unread, func(_ net.Conn, at time.Time) bool { return now.Sub(at) > unreadFor })
	if s.limits.Idle <= 0 {
		return
	}
	for c, since := range s.idle {
		if now.Sub(since) > s.limits.Idle+idleGrace {
			c.Close()
		}
	}
}

// Stop closes the listener and waits for requests in flight until the context ends.
func (s *Server) Stop(ctx context.Context) {
	s.mu.Lock()
	s.stopped = true
	servers := s.servers
	s.mu.Unlock()
	if err := s.Listener.Close(); err != nil {
		s.Log.Error("front: closing the listener failed", "error", err)
	}
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.Log.Warn("front: shutdown interrupted requests", "error", err)
		}
	}
}

// chanListener is a net.Listener that returns connections from a channel.
type chanListener struct {
	conns   chan net.Conn
	address net.Addr
	once    sync.Once
	// closed is closed by Close; done creates it on first use.
	closed chan struct{}
	mu     sync.Mutex
}

// done returns a channel that is closed by Close.
func (l *chanListener) done() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed == nil {
		l.closed = make(chan struct{})
	}
	return l.closed
}

// Accept implements net.Listener.
func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *chanListener) Close() error {
	l.once.Do(func() { close(l.done()) })
	return nil
}

// Addr implements net.Listener.
func (l *chanListener) Addr() net.Addr { return l.address }
