package tunnel_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/tunnel"
)

// Guards against a peer that stops while a request waits on a tunnel for a server which has been
// silent for seconds.
func TestTunnelOfSilentServerIsBusy(t *testing.T) {
	const silence = 3 * time.Second
	server := listen(t, func(c net.Conn) {
		defer c.Close()
		request := make([]byte, len("request"))
		if _, err := io.ReadFull(c, request); err != nil {
			return
		}
		time.Sleep(silence)
		_, _ = c.Write([]byte("answer"))
		_, _ = c.Read(request)
	})
	s := &tunnel.Server{Known: all, Dial: dial}
	peer, _ := servePeer(t, s)
	c, err := open(t, peer, server)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_, err = c.Write([]byte("request"))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(silence - silence/6)
	qt.Check(t, s.Busy(), qt.Equals, 1)
	answer := make([]byte, len("answer"))
	_, err = io.ReadFull(c, answer)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(silence)
	qt.Check(t, s.Busy(), qt.Equals, 0)
}
