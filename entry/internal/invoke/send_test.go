package invoke

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
)

var testClient = newClient((&net.Dialer{}).DialContext)

// backend responds to the first call on a connection, and closes the connection
// without a response after it has read a second one.
type backend struct {
	net.Listener
	mu    sync.Mutex
	calls map[string]int
}

func newBackend(t *testing.T) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	b := &backend{Listener: l, calls: map[string]int{}}
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { b.serve(conn) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		testClient.CloseIdleConnections()
		conns.Wait()
	})
	return b
}

func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		b.mu.Lock()
		b.calls[req.Header.Get(IDHeader)]++
		b.mu.Unlock()
		if !first {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (b *backend) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[id]
}

func newCall(method, id, body string) *Call {
	return &Call{
		Method: method, URI: "/booking", Header: http.Header{IDHeader: {id}},
		Body: []byte(body), Deadline: time.Now().Add(time.Minute),
	}
}

func always() bool { return true }

// A backend server runs a call that came over a kept-alive connection and closes
// the connection without a response. net/http resends some calls in that case, and
// the call would run twice without the router noticing.
func TestNoResendOnClosedConnection(t *testing.T) {
	for _, method := range []string{"POST", "PUT", "GET", "DELETE", "HEAD", "OPTIONS"} {
		for _, body := range []string{"", "two"} {
			t.Run(method+" "+body, func(t *testing.T) {
				b := newBackend(t)
				to := host.Host{Name: "p1", Address: b.Addr().String()}
				_, e := send(t.Context(), testClient, newCall("POST", "first", "x"), to, always)
				qt.Assert(t, e == nil, qt.IsTrue)
				_, e = send(t.Context(), testClient, newCall(method, "second", body), to, always)
				qt.Assert(t, e != nil, qt.IsTrue)
				qt.Assert(t, e.Verdict, qt.Equals, fault.MayHaveRun)
				qt.Assert(t, b.count("second"), qt.Equals, 1)
			})
		}
	}
}

// The entry host is paused after the connection is chosen, until the claim is no
// longer fresh. Nothing must be written to a new or kept-alive connection, and the
// verdict must be that the call was not run.
func TestSendTooLate(t *testing.T) {
	b := newBackend(t)
	to := host.Host{Name: "p1", Address: b.Addr().String()}
	never := func() bool { return false }
	for _, reuse := range []bool{false, true} {
		if reuse {
			_, e := send(t.Context(), testClient, newCall("POST", "first", "x"), to, always)
			qt.Assert(t, e == nil, qt.IsTrue)
		}
		_, e := send(t.Context(), testClient, newCall("POST", "late", "x"), to, never)
		qt.Assert(t, e != nil, qt.IsTrue)
		qt.Assert(t, e.Verdict, qt.Equals, fault.NotRun)
		qt.Assert(t, e.Code, qt.Equals, fault.Deadline)
	}
	qt.Assert(t, b.count("late"), qt.Equals, 0)
}

// A call that fails to connect must be reported as not run.
func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	to := host.Host{Name: "p1", Address: l.Addr().String()}
	l.Close()
	_, e := send(t.Context(), testClient, newCall("POST", "x", "x"), to, always)
	qt.Assert(t, e.Verdict, qt.Equals, fault.NotRun)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, e = send(ctx, testClient, newCall("POST", "x", "x"), to, always)
	qt.Assert(t, e.Verdict, qt.Equals, fault.NotRun)
	qt.Assert(t, e.Code, qt.Equals, fault.Cancelled)
}

// Guards against responses with a status that no answer has, which are handed to a caller.
func TestStatusThatNoAnswerHas(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
		call := newCall("POST", "r1", "x")
		_, e := send(t.Context(), testClient, call, host.Host{Name: "p1", Address: l.Addr().String()}, always)
		qt.Assert(t, e != nil, qt.IsTrue, qt.Commentf(status))
		qt.Check(t, []any{e.Code, e.Verdict}, qt.DeepEquals, []any{fault.InvalidResponse, fault.MayHaveRun}, qt.Commentf(status))
		l.Close()
	}
}
