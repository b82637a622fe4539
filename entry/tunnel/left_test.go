package tunnel

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// Guards against a host that reads late, and passes on to a server what another host sent through it
// before that host left.
func TestNothingIsSentForHostThatLeft(t *testing.T) {
	certified := httptest.NewUnstartedServer(nil)
	certified.StartTLS()
	defer certified.Close()
	for _, config := range []*tls.Config{nil, certified.TLS} {
		for _, dialed := range []bool{false, true} {
			checkNothingIsSent(t, config, dialed)
		}
	}
}

// endingHandler closes ended when a call has ended.
type endingHandler struct {
	drpc.Handler
	ended chan struct{}
}

func (h endingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	defer close(h.ended)
	return h.Handler.HandleRPC(stream, rpc)
}

// checkNothingIsSent plays a host that opens a tunnel, writes and leaves, before another host has read
// its bytes: from the start, or from when the server has been dialed.
func checkNothingIsSent(t *testing.T, config *tls.Config, dialed bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	raw, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	listener, opener := l, net.Conn(raw)
	if config != nil {
		listener = tls.NewListener(l, config)
		opener = tls.Client(raw, &tls.Config{InsecureSkipVerify: true})
	}
	reading, unread := make(chan struct{}), make(chan struct{})
	var received atomic.Int64
	s := &Server{Known: func(string) bool { return true }, Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			n, _ := far.Read(make([]byte, 1))
			received.Add(int64(n))
		}()
		close(reading)
		<-unread
		return near, nil
	}}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	handled := make(chan struct{})
	serve := func() { go func() { served <- Serve(ctx, listener, endingHandler{s, handled}) }() }
	send := func() {
		stream, err := drpcconn.New(opener).NewStream(t.Context(), Call, encoding{})
		qt.Assert(t, err, qt.IsNil)
		request, err := encode(kindOpen, openRequest{Address: "server"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, stream.MsgSend(request, encoding{}), qt.IsNil)
		qt.Assert(t, stream.MsgSend(&message{kind: kindData, body: []byte("request")}, encoding{}), qt.IsNil)
	}
	if dialed || config != nil {
		// The handshake needs both sides.
		serve()
		send()
		<-reading
		qt.Assert(t, raw.Close(), qt.IsNil)
		close(unread)
	} else {
		close(unread)
		send()
		qt.Assert(t, raw.Close(), qt.IsNil)
		serve()
	}
	<-handled
	stop()
	if err := <-served; err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	qt.Check(t, received.Load(), qt.Equals, int64(0), qt.Commentf("TLS: %v, dialed: %v", config != nil, dialed))
}
