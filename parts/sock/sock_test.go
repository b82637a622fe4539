package sock_test

import (
	"crypto/tls"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"fuchsiashelf.dev/parts/sock"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (near net.Conn, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	near, err = l.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		near.Close()
		dialed.Close()
	})
	return near, dialed.(*net.TCPConn)
}

// awaitEnd waits until the end of a connection has arrived.
func awaitEnd(t *testing.T, c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	err = raw.Control(func(fd uintptr) {
		_, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 10_000)
		qt.Check(t, err, qt.IsNil)
	})
	qt.Assert(t, err, qt.IsNil)
}

// Guards against callers that leave in one of these ways unnoticed, also behind bytes that nobody
// has read.
func TestStateOf(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(far *net.TCPConn) error
		want  sock.State
	}{
		{"stays", func(*net.TCPConn) error { return nil }, sock.Connected},
		{"closes", (*net.TCPConn).Close, sock.Closed},
		{"closes one direction", (*net.TCPConn).CloseWrite, sock.Closed},
		{"resets", func(far *net.TCPConn) error {
			if err := far.SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		}, sock.Reset},
	} {
		for _, unread := range []string{"", "unread"} {
			near, far := connect(t)
			_, err := far.Write([]byte(unread))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.leave(far), qt.IsNil)
			if c.want != sock.Connected {
				awaitEnd(t, near)
			}
			qt.Check(t, sock.StateOf(near), qt.Equals, c.want, qt.Commentf("%s %s", c.name, unread))
		}
	}
	near, far := connect(t)
	qt.Check(t, sock.StateOf(tls.Server(near, nil)), qt.Equals, sock.Connected)
	qt.Assert(t, far.Close(), qt.IsNil)
	awaitEnd(t, near)
	qt.Check(t, sock.StateOf(tls.Server(near, nil)), qt.Equals, sock.Closed)
	qt.Assert(t, near.Close(), qt.IsNil)
	qt.Check(t, sock.StateOf(near), qt.Equals, sock.Reset)
	pipe, _ := net.Pipe()
	qt.Check(t, sock.StateOf(pipe), qt.Equals, sock.Unknown)
}
