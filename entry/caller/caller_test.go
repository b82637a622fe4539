package caller_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"fuchsiashelf.dev/entry/caller"
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

// Guards against a log that does not tell when a caller was last known to be there, when it was
// noticed that it had left, and what its request did before.
func TestDeparture(t *testing.T) {
	near, far := connect(t)
	late := make(chan caller.Step, 1)
	w := &caller.Watch{Conn: near, Begun: time.Now(), OnLate: func(s caller.Step) { late <- s }}
	ctx := w.Begin(context.Background())
	w.Add(caller.Read, "")
	qt.Assert(t, w.MaySend("engine-1"), qt.IsTrue)
	qt.Assert(t, w.Left(), qt.IsFalse)
	qt.Assert(t, w.Departure(), qt.IsNil)
	qt.Assert(t, far.Close(), qt.IsNil)
	awaitEnd(t, near)
	qt.Assert(t, ctx.Err(), qt.IsNil)
	qt.Assert(t, w.MaySend("engine-2"), qt.IsFalse)
	qt.Assert(t, w.Left(), qt.IsTrue)
	qt.Assert(t, ctx.Err(), qt.Equals, context.Canceled)
	d := w.Departure()
	qt.Assert(t, []any{d.By, d.How}, qt.DeepEquals, []any{caller.ByCheck, sock.Closed})
	qt.Assert(t, d.Connected > 0 && d.Connected < d.Noticed, qt.IsTrue)
	steps, omitted := w.Steps()
	var texts []string
	for _, s := range steps {
		texts = append(texts, string(s.What)+" "+s.Detail)
	}
	qt.Assert(t, texts, qt.DeepEquals, []string{"read ", "sent engine-1", "not sent engine-2"})
	qt.Assert(t, omitted, qt.Equals, 0)
	w.End()
	w.Add(caller.OrderEnded, "begun")
	qt.Assert(t, (<-late).Detail, qt.Equals, "begun")
}

// Guards against requests with many attempts, whose steps must take little memory and still show
// their begin and their end.
func TestStepsAreBounded(t *testing.T) {
	w := &caller.Watch{Begun: time.Now()}
	for range 100 {
		w.Add(caller.OrderBegun, "")
	}
	w.Add(caller.OrderEnded, "")
	steps, omitted := w.Steps()
	qt.Assert(t, len(steps)+omitted, qt.Equals, 101)
	qt.Assert(t, steps[len(steps)-1].What, qt.Equals, caller.OrderEnded)
}
