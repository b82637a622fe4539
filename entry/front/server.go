package front

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/route"
)

// idleGrace is how much longer than the configuration says an unused
// connection is kept: a caller that reuses one in time must not find it closed.
const idleGrace = 2 * time.Second

// defaultLimits hold until the first configuration is known.
var defaultLimits = route.Limits{HeaderBytes: 16 << 10, HeaderTime: 3 * time.Second, Idle: 15 * time.Second}

// Server accepts callers' connections. Limits on headers can change while it
// runs: each change begins a new http.Server for the connections to come, and
// connections that are open keep the limits that they began with, but for the
// time that they may stay unused.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	Log      *slog.Logger

	mu       sync.Mutex
	limits   route.Limits
	servers  []*http.Server
	listener *chanListener
	idle     map[net.Conn]time.Time
	stopped  bool
}

// Run accepts connections until Stop.
func (s *Server) Run() {
	s.SetLimits(defaultLimits)
	for {
		c, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.Log.Error("front: a connection was not accepted", "error", err)
			time.Sleep(acceptBackoff)
			continue
		}
		s.mu.Lock()
		q := s.listener
		s.mu.Unlock()
		q.conns <- c
	}
}

// acceptBackoff follows a failed accept, for want of descriptors for example.
const acceptBackoff = 20 * time.Millisecond

// SetLimits puts limits in force.
func (s *Server) SetLimits(l route.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := s.listener != nil && l.HeaderBytes == s.limits.HeaderBytes && l.HeaderTime == s.limits.HeaderTime
	s.limits = l
	if same || s.stopped {
		return
	}
	s.listener = &chanListener{conns: make(chan net.Conn), address: s.Listener.Addr()}
	server := &http.Server{
		Handler: s.Handler, ReadHeaderTimeout: l.HeaderTime, MaxHeaderBytes: l.HeaderBytes,
		ConnState: s.trackIdle, ErrorLog: log.New(discard{}, "", 0),
	}
	s.servers = append(s.servers, server)
	go s.serve(server, s.listener)
}

func (s *Server) serve(server *http.Server, q *chanListener) {
	if err := server.Serve(q); !errors.Is(err, http.ErrServerClosed) {
		s.Log.Error("front: a server ended", "error", err)
	}
}

// discard takes net/http's own log: it tells of callers' broken connections,
// which the request log covers.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

func (s *Server) trackIdle(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[net.Conn]time.Time{}
	}
	if state == http.StateIdle {
		s.idle[c] = time.Now()
		return
	}
	delete(s.idle, c)
}

// Sweep closes connections that have been unused for longer than the limits
// in force allow.
func (s *Server) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.Idle <= 0 {
		return
	}
	for c, since := range s.idle {
		if now.Sub(since) > s.limits.Idle+idleGrace {
			c.Close()
		}
	}
}

// Stop closes the listener and waits for the requests under way until the
// context ends.
func (s *Server) Stop(ctx context.Context) {
	s.mu.Lock()
	s.stopped = true
	servers := s.servers
	s.mu.Unlock()
	if err := s.Listener.Close(); err != nil {
		s.Log.Error("front: the listener did not close", "error", err)
	}
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.Log.Warn("front: requests were cut off", "error", err)
		}
	}
}

// chanListener is a listener that hands on accepted connections.
type chanListener struct {
	conns   chan net.Conn
	address net.Addr
	once    sync.Once
	closed  chan struct{}
	mu      sync.Mutex
}

func (q *chanListener) done() chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed == nil {
		q.closed = make(chan struct{})
	}
	return q.closed
}

// Accept implements net.Listener.
func (q *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *chanListener) Close() error {
	q.once.Do(func() { close(q.done()) })
	return nil
}

// Addr implements net.Listener.
func (q *chanListener) Addr() net.Addr { return q.address }
