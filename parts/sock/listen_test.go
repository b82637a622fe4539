package sock_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/sock"
)

// lineWriter sends each line that it gets.
type lineWriter chan string

func (w lineWriter) Write(b []byte) (int, error) {
	w <- string(bytes.Clone(b))
	return len(b), nil
}

// Guards against processes that end because another one has their address for a while.
func TestListenWaitsForAddress(t *testing.T) {
	lines := make(lineWriter, 8)
	log := slog.New(slog.NewTextHandler(lines, nil))
	for _, port := range []string{"listener", "connection"} {
		other, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		taken, address := net.Conn(nil), other.Addr().String()
		if port == "connection" {
			taken, err = net.Dial("tcp", address)
			qt.Assert(t, err, qt.IsNil)
			address = taken.LocalAddr().String()
		}
		opened := make(chan net.Listener)
		go func() {
			l, err := sock.Listen(t.Context(), address, log)
			qt.Check(t, err, qt.IsNil)
			opened <- l
		}()
		qt.Check(t, <-lines, qt.Contains, address)
		if taken != nil {
			qt.Assert(t, taken.(*net.TCPConn).SetLinger(0), qt.IsNil)
			qt.Assert(t, taken.Close(), qt.IsNil)
		}
		qt.Assert(t, other.Close(), qt.IsNil)
		l := <-opened
		qt.Check(t, l.Addr().String(), qt.Equals, address)
		l.Close()
	}
}

// Guards against a process that cannot be stopped while it waits, and one that waits for an address that
// no machine has.
func TestListenEnds(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer taken.Close()
	ctx, cancel := context.WithCancelCause(t.Context())
	stopped := errors.New("stopped")
	cancel(stopped)
	_, err = sock.Listen(ctx, taken.Addr().String(), log)
	qt.Check(t, err, qt.ErrorIs, stopped)
	_, err = sock.Listen(t.Context(), "127.0.0.1:70000", log)
	qt.Check(t, err, qt.IsNotNil)
}
