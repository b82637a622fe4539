package conns_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcconn"

	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/tunnel"
	"fuchsiashelf.dev/parts/fault"
)

// tunnelDialer returns a function that connects through another host, whose connections are encrypted
// if a configuration is given.
func tunnelDialer(t *testing.T, config *tls.Config) func(ctx context.Context, network, address string) (net.Conn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	peer := l.Addr().String()
	if config != nil {
		l = tls.NewListener(l, config)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &tunnel.Server{Known: func(string) bool { return true }, Dial: (&net.Dialer{}).DialContext}
	served := make(chan error, 1)
	go func() { served <- tunnel.Serve(ctx, l, s) }()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := net.Dial("tcp", peer)
		if err != nil {
			return nil, err
		}
		if config != nil {
			c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
		}
		return tunnel.Open(ctx, drpcconn.New(c), peer, address, "")
	}
}

// Guards against heads and answers to other requests that never end: directly, and through another
// host, plain and encrypted.
func TestBytesWithoutEnd(t *testing.T) {
	certified := httptest.NewUnstartedServer(nil)
	certified.StartTLS()
	defer certified.Close()
	dials := map[string]func(context.Context, string, string) (net.Conn, error){
		"direct": nil, "tunnel": tunnelDialer(t, nil), "encrypted tunnel": tunnelDialer(t, certified.TLS),
	}
	for name, dial := range dials {
		for _, begin := range []string{"", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 103 Early Hints\r\nX: ", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n"} {
			var written atomic.Int64
			ended := make(chan struct{})
			address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
				defer close(ended)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, err := io.WriteString(c, begin)
				for piece := []byte(strings.Repeat("x", 16<<10)); err == nil; {
					_, err = c.Write(piece)
					written.Add(int64(len(piece)))
				}
			})
			_, err := do(t, &conns.Pool{Dial: dial}, address, "r1", conns.Options{})
			e := fault.As(err)
			qt.Check(t, errors.Is(err, conns.ErrEndless), qt.IsTrue, qt.Commentf("%s %q: %v", name, begin, err))
			qt.Check(t, []any{e.Code, e.Verdict}, qt.DeepEquals, []any{fault.ServerFailed, fault.MayHaveRun})
			qt.Check(t, len(err.Error()) < 1024, qt.IsTrue)
			<-ended
			qt.Check(t, written.Load() < 32<<20, qt.IsTrue, qt.Commentf("%s %q: %d bytes", name, begin, written.Load()))
		}
	}
}

// Guards against responses with a status that no answer has, which are handed to a caller or waited for.
func TestStatusThatNoAnswerHas(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		closed := make(chan struct{})
		address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
			defer close(closed)
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, err := io.WriteString(c, "HTTP/1.1 "+status+" OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
			qt.Check(t, err, qt.IsNil)
			_, err = br.ReadByte()
			qt.Check(t, err, qt.IsNotNil)
		})
		_, err := do(t, &conns.Pool{}, address, "r1", conns.Options{})
		e := fault.As(err)
		qt.Check(t, []any{e.Code, e.Verdict}, qt.DeepEquals, []any{fault.ServerFailed, fault.MayHaveRun}, qt.Commentf(status))
		var other *conns.StatusError
		qt.Check(t, errors.As(err, &other), qt.IsTrue, qt.Commentf("%s: %v", status, err))
		<-closed
	}
}
