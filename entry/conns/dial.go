package conns

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"fuchsiashelf.dev/entry/tunnel"
	"fuchsiashelf.dev/parts/fault"
)

// Connect checks whether an address accepts connections.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address, dialTimeout)
	if err != nil {
		return &fault.Error{Code: fault.ServerFailed, Verdict: fault.NotRun, Message: "no connection", Server: address, Cause: err}
	}
	return c.Close()
}

func (p *Pool) dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	p.dials.Add(1)
	ctx, cancel := p.Clock.WithTimeout(ctx, timeout, errDialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1, Control: SetUserTimeout}).DialContext
	}
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = errors.Join(cause, err)
		}
		return nil, err
	}
	received := &boundedReader{Reader: c, allowance: unbounded}
	return &conn{Conn: c, br: bufio.NewReader(received), received: received}, nil
}

// errDialTimeout says that a server did not accept a connection in time.
var errDialTimeout = errors.New("conns: no connection in time")

// tcpUserTimeout is TCP_USER_TIMEOUT, which the standard library does not define on
// all systems.
const tcpUserTimeout = 0x12

// SetUserTimeout makes the kernel close a connection whose sent bytes stay
// unacknowledged for userTimeout. It is a [net.Dialer.Control] function.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, userTimeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// setLong makes longUserTimeout apply to the connection, or userTimeout again.
func (c *conn) setLong(long bool) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.long == long {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	c.long = long
	if long {
		return setUserTimeout(raw, longUserTimeout)
	}
	return setUserTimeout(raw, userTimeout)
}

// reusable reports whether an idle connection is open and has no unread bytes.
func reusable(c net.Conn) bool {
	if t, ok := c.(*tunnel.Conn); ok {
		return t.Idle()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}
