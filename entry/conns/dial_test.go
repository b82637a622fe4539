package conns_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/parts/fault"
)

// unreachableAddress returns an address that neither accepts nor refuses connections,
// like that of a server behind a network partition: the listener's backlog is full.
func unreachableAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, syscall.Close(fd), qt.IsNil) })
	qt.Assert(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	qt.Assert(t, syscall.Listen(fd, 0), qt.IsNil)
	name, err := syscall.Getsockname(fd)
	qt.Assert(t, err, qt.IsNil)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	c, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, c.Close(), qt.IsNil) })
	return address
}

// Guards against a request that spends most of a short deadline on connecting to an
// unreachable server, while another server would respond.
func TestDialTimeout(t *testing.T) {
	addr := unreachableAddress(t)
	ctx, cancel := context.WithTimeout(t.Context(), 550*time.Millisecond)
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = (&conns.Pool{}).Do(ctx, addr, req, conns.Options{DialTimeout: 20 * time.Millisecond})
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.NotRun)
	qt.Assert(t, ctx.Err(), qt.IsNil)
}
