package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
)

const (
	// DialTimeout limits the time in which a peer connects to a server, which usually
	// takes a few milliseconds. Another peer may reach it.
	DialTimeout = 80 * time.Millisecond
	// maxTunnels bounds the tunnels through one peer. Each has a goroutine for each
	// direction, two sockets and two buffers.
	maxTunnels = 1024
)

// Server is the peer's side of tunnels. Set the exported fields before use.
type Server struct {
	// Known reports whether an address is that of a backend server.
	Known func(address string) bool
	// Dial connects to a server directly.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Authorized reports whether a secret is that of the entry hosts; nil accepts all.
	Authorized func(secret string) bool

	stopping atomic.Bool
	active   atomic.Int64

	mu sync.Mutex
	// usedAt holds when bytes last passed through each tunnel.
	usedAt map[*atomic.Int64]struct{}
}

// busyFor is how long a tunnel counts as in use after bytes have passed through it.
const busyFor = 2 * time.Second

var (
	errUnknownServer = errors.New("tunnel: not the address of a known backend server")
	errTooMany       = errors.New("tunnel: too many tunnels")
	errStopping      = errors.New("tunnel: the entry host is about to stop")
	errUnauthorized  = errors.New("tunnel: wrong secret")
)

// Active returns the number of open tunnels.
func (s *Server) Active() int { return int(s.active.Load()) }

// Stop makes the server open no more tunnels, because this host is about to stop.
func (s *Server) Stop() { s.stopping.Store(true) }

// Busy returns the number of tunnels through which bytes have passed lately. The others may
// be idle connections of the hosts that opened them.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for at := range s.usedAt {
		if time.Since(time.Unix(0, at.Load())) < busyFor {
			n++
		}
	}
	return n
}

// track adds a tunnel, and returns a function that records that bytes pass through it and
// one that removes it.
func (s *Server) track() (use, remove func()) {
	at := &atomic.Int64{}
	use = func() { at.Store(time.Now().UnixNano()) }
	use()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usedAt == nil {
		s.usedAt = map[*atomic.Int64]struct{}{}
	}
	s.usedAt[at] = struct{}{}
	return use, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.usedAt, at)
	}
}

// HandleRPC implements drpc.Handler for [Call].
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != Call {
		return fmt.Errorf("tunnel: unknown call %q", rpc)
	}
	var first message
	if err := stream.MsgRecv(&first, encoding{}); err != nil {
		return err
	}
	var open openRequest
	if err := first.decode(kindOpen, &open); err != nil {
		return err
	}
	n := s.active.Add(1)
	defer s.active.Add(-1)
	if err := s.check(open, n); err != nil {
		return reject(stream, failure{Message: err.Error(), Rejected: true})
	}
	server, err := s.connect(stream.Context(), open.Address)
	if err != nil {
		return reject(stream, failure{Message: err.Error()})
	}
	defer server.Close()
	if err := stream.MsgSend(&message{kind: kindOpened}, encoding{}); err != nil {
		return err
	}
	use, remove := s.track()
	defer remove()
	return relay(stream, server, use)
}

// check returns an error if a tunnel is not allowed. n is the number of tunnels with it.
func (s *Server) check(open openRequest, n int64) error {
	switch {
	case s.Authorized != nil && !s.Authorized(open.Secret):
		return errUnauthorized
	case s.stopping.Load():
		return errStopping
	case !s.Known(open.Address):
		return errUnknownServer
	case n > maxTunnels:
		return errTooMany
	}
	return nil
}

// reject ends a tunnel that was not opened.
func reject(stream drpc.Stream, f failure) error {
	m, err := encode(kindFailed, f)
	if err != nil {
		return err
	}
	return errors.Join(stream.MsgSend(m, encoding{}), stream.CloseSend())
}

func (s *Server) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	return s.Dial(ctx, "tcp", address)
}

// relay copies bytes in both directions until either side ends. The server's connection is
// closed as soon as the host that opened the tunnel has left, so that the server stops. use
// is called when bytes pass.
func relay(stream drpc.Stream, server net.Conn, use func()) error {
	stop := context.AfterFunc(stream.Context(), func() { server.Close() })
	defer stop()
	go copyToServer(stream, server, use)
	buffer := make([]byte, maxData)
	for {
		n, err := server.Read(buffer)
		use()
		if n > 0 {
			if err := stream.MsgSend(&message{kind: kindData, body: buffer[:n]}, encoding{}); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return errors.Join(stream.MsgSend(&message{kind: kindEnd}, encoding{}), stream.CloseSend())
		}
		if err != nil {
			return fmt.Errorf("tunnel: connection to the server: %w", err)
		}
	}
}

// copyToServer copies the bytes for a server until the tunnel ends.
func copyToServer(stream drpc.Stream, server net.Conn, use func()) {
	for {
		var m message
		err := stream.MsgRecv(&m, encoding{})
		use()
		if err == nil && m.kind == kindData {
			_, err = server.Write(m.body)
		}
		if err != nil {
			// Ends relay, which returns the error of the connection.
			server.Close()
			return
		}
	}
}
