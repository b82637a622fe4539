// Package sever cuts links over loopback between one source address and a listener, while
// other sources reach it.
//
// A severed source gets no answer: the listener's sockets expect signed segments of it (RFC
// 2385), so that the kernel discards what it sends, and it discards what it is sent. Nothing
// is closed, and all that is held up arrives when the link is restored, if neither side has
// given up.
package sever

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"unsafe"
)

// Mode is how a source is cut off.
type Mode uint8

// The modes.
const (
	// Connected means that the source is not cut off.
	Connected Mode = iota
	// Hang holds up everything, and accepts no connections.
	Hang
	// Reset resets open connections, and accepts no new ones.
	Reset
	// NoNew accepts no new connections; open ones live on.
	NoNew
)

// ParseMode returns the mode with a name.
func ParseMode(name string) (Mode, error) {
	for m, n := range [...]string{"connected", "hang", "reset", "no-new"} {
		if n == name {
			return Mode(m), nil
		}
	}
	return Connected, fmt.Errorf("sever: unknown mode %q", name)
}

// Listener is a TCP listener whose links can be cut.
type Listener struct {
	*net.TCPListener

	mu    sync.Mutex
	modes map[netip.Addr]Mode
	conns map[*Conn]netip.Addr
}

// Listen listens on an address.
func Listen(address string) (*Listener, error) {
	var lc net.ListenConfig
	// Multipath TCP has no signatures.
	lc.SetMultipathTCP(false)
	l, err := lc.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener), modes: map[netip.Addr]Mode{}, conns: map[*Conn]netip.Addr{}}, nil
}

// Conn is a connection of a Listener.
type Conn struct {
	*net.TCPConn
	listener *Listener
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	tcp, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	source := tcp.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	c := &Conn{TCPConn: tcp, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = source
	if mode := l.modes[source]; mode != Connected {
		// Accepted by the kernel just before the cut.
		err = c.apply(source, mode)
	}
	return c, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// Cut cuts a source off or, with Connected, restores its link.
func (l *Listener) Cut(source netip.Addr, mode Mode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.modes[source] = mode
	errs := []error{expectSigned(l.TCPListener, source, mode != Connected)}
	for c, s := range l.conns {
		if s == source {
			errs = append(errs, c.apply(source, mode))
		}
	}
	return errors.Join(errs...)
}

// apply applies a mode to an open connection. The mutex of the listener is held.
func (c *Conn) apply(source netip.Addr, mode Mode) error {
	if mode == Reset {
		delete(c.listener.conns, c)
		return errors.Join(c.SetLinger(0), c.TCPConn.Close())
	}
	err := expectSigned(c.TCPConn, source, mode == Hang)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// tcpMD5Sig is the socket option TCP_MD5SIG, and signature its argument.
const tcpMD5Sig = 14

type signature struct {
	family uint16
	port   uint16
	addr   [4]byte
	_      [120]byte
	flags  uint8
	prefix uint8
	keyLen uint16
	device int32
	key    [80]byte
}

// expectSigned makes a socket expect signed segments of a source, or no longer.
func expectSigned(c syscall.Conn, source netip.Addr, on bool) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	s := signature{family: syscall.AF_INET, addr: source.As4()}
	if on {
		s.keyLen = uint16(copy(s.key[:], "severed"))
	}
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_SETSOCKOPT, fd, syscall.IPPROTO_TCP, tcpMD5Sig, uintptr(unsafe.Pointer(&s)), unsafe.Sizeof(s), 0)
	})
	if err != nil {
		return err
	}
	if errno != 0 && (on || errno != syscall.ENOENT) {
		return errno
	}
	return nil
}
