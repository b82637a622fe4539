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
	// uses holds the use of each tunnel.
	uses map[*use]struct{}
}

// use is the use of a tunnel.
type use struct {
	// usedAt is when bytes last passed, in Unix nanoseconds.
	usedAt atomic.Int64
	// awaits says that the last bytes went to the server, which has not answered them yet.
	awaits atomic.Bool
}

// record records that bytes pass, to the server or from it.
func (u *use) record(toServer bool) {
	u.usedAt.Store(time.Now().UnixNano())
	u.awaits.Store(toServer)
}

// busy reports whether the tunnel is in use.
func (u *use) busy() bool {
	return u.awaits.Load() || time.Since(time.Unix(0, u.usedAt.Load())) < busyFor
}

// busyFor is how long a tunnel counts as in use after bytes have come from its server.
const busyFor = 2 * time.Second

var (
	errUnknownServer = errors.New("tunnel: not the address of a known backend server")
	errTooMany       = errors.New("tunnel: too many tunnels")
	errStopping      = errors.New("tunnel: the entry host is about to stop")
	errUnauthorized  = errors.New("tunnel: wrong secret")
	errLeft          = errors.New("tunnel: the host that opened it has left")
)

// Active returns the number of open tunnels.
func (s *Server) Active() int { return int(s.active.Load()) }

// Stop makes the server open no more tunnels, because this host is about to stop.
func (s *Server) Stop() { s.stopping.Store(true) }

// Busy returns the number of tunnels whose servers have yet to answer, or have sent bytes lately. The
// others may be idle connections of the hosts that opened them.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for u := range s.uses {
		if u.busy() {
			n++
		}
	}
	return n
}

// track adds a tunnel until remove is called.
func (s *Server) track() (u *use, remove func()) {
	u = &use{}
	u.record(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.uses == nil {
		s.uses = map[*use]struct{}{}
	}
	s.uses[u] = struct{}{}
	return u, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.uses, u)
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
	if left(stream.Context()) {
		return errLeft
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
	u, remove := s.track()
	defer remove()
	return relay(stream, server, u)
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
// closed as soon as the host that opened the tunnel has left, so that the server stops.
func relay(stream drpc.Stream, server net.Conn, u *use) error {
	stop := context.AfterFunc(stream.Context(), func() { server.Close() })
	defer stop()
	go copyToServer(stream, server, u)
	buffer := make([]byte, maxData)
	for {
		n, err := server.Read(buffer)
		u.record(false)
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
func copyToServer(stream drpc.Stream, server net.Conn, u *use) {
	for {
		var m message
		err := stream.MsgRecv(&m, encoding{})
		u.record(true)
		if err == nil && left(stream.Context()) {
			err = errLeft
		}
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
