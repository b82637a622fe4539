package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/parts/fault"
)

// listen serves each connection by a function.
func listen(t *testing.T, serve func(n int, c net.Conn, br *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func get(address, id string) *http.Request {
	return &http.Request{
		Method: http.MethodGet, Host: address, Header: http.Header{"Id": {id}}, ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: address, Path: "/"}, Body: http.NoBody,
	}
}

// ask sends a request and returns the body of its answer.
func ask(t *testing.T, p *conns.Pool, address, id string, o conns.Options) (string, error) {
	o.Inspect = func(r *http.Response) conns.ResponseInfo {
		return conns.ResponseInfo{OtherRequest: r.Header.Get("Id") != id}
	}
	a, err := p.Do(context.Background(), address, get(address, id), o)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func answer(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionIsKept(t *testing.T) {
	var opened atomic.Int64
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		opened.Store(int64(n))
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			answer(c, r.Header.Get("Id"), "body of "+r.Header.Get("Id"))
		}
	})
	var p conns.Pool
	for _, id := range []string{"a", "b", "c"} {
		body, err := ask(t, &p, address, id, conns.Options{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "body of "+id)
	}
	qt.Assert(t, opened.Load(), qt.Equals, int64(1))
}

// A server sends a second answer to an older request. Taken for the next one's,
// a caller would get another caller's answer.
func TestAnswerToAnotherRequest(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for n := 0; ; n++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if n == 1 {
				answer(c, "a", "late again")
			}
			answer(c, r.Header.Get("Id"), "body of "+r.Header.Get("Id"))
		}
	})
	var p conns.Pool
	for _, id := range []string{"a", "b", "c"} {
		body, err := ask(t, &p, address, id, conns.Options{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "body of "+id)
	}
}

// A server sends bytes beyond an answer. On a kept connection they would stand
// before the next one.
func TestBytesBeyondAnAnswer(t *testing.T) {
	var opened atomic.Int64
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		opened.Store(int64(n))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		// One write, so that the bytes are there with the answer.
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nwholemore", r.Header.Get("Id"))
		_, _ = br.ReadByte()
	})
	var p conns.Pool
	for _, id := range []string{"a", "b"} {
		body, err := ask(t, &p, address, id, conns.Options{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "whole")
	}
	qt.Assert(t, opened.Load(), qt.Equals, int64(2))
}

// The bytes beyond an answer come late, when the next request has been written
// to the kept connection. Nobody can tell whether that one ran; its caller must
// not get them as an answer, and the connection is not used again.
func TestLateBytesBeyondAnAnswer(t *testing.T) {
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if n == 1 && i == 1 {
				fmt.Fprint(c, "more")
			}
			answer(c, r.Header.Get("Id"), "body of "+r.Header.Get("Id"))
		}
	})
	var p conns.Pool
	body, err := ask(t, &p, address, "a", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "body of a")
	_, err = ask(t, &p, address, "b", conns.Options{})
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.MayHaveRun)
	body, err = ask(t, &p, address, "c", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "body of c")
}

// A server reads a request and closes the connection. An HTTP client that
// sends it again by itself would run a payment twice.
func TestNothingIsSentTwice(t *testing.T) {
	var got atomic.Int64
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			got.Add(1)
			if i > 0 || n > 1 {
				return
			}
			answer(c, r.Header.Get("Id"), "first")
		}
	})
	var p conns.Pool
	_, err := ask(t, &p, address, "a", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	_, err = ask(t, &p, address, "b", conns.Options{})
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.MayHaveRun)
	qt.Assert(t, got.Load(), qt.Equals, int64(2))
}

// Nothing listens any more. The request has not run, and may go elsewhere.
func TestNoConnectionMeansNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.Close()
	var p conns.Pool
	_, err = ask(t, &p, l.Addr().String(), "a", conns.Options{})
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.NotRun)
}

// A kept connection was closed by the server meanwhile. A request written to it
// would leave open whether it ran.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		answer(c, r.Header.Get("Id"), "body")
		c.Close()
		if n == 1 {
			close(closed)
		}
	})
	var p conns.Pool
	_, err := ask(t, &p, address, "a", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	<-closed
	body, err := ask(t, &p, address, "b", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "body")
}

// An answer ends before its length. Passed on, half an answer would look whole.
func TestHalfAnAnswer(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf")
		}
	})
	var p conns.Pool
	_, err := ask(t, &p, address, "a", conns.Options{})
	qt.Assert(t, err, qt.IsNotNil)
}

// The caller leaves while its answer is awaited. The connection is closed,
// which tells the server to stop working for nobody.
func TestLeavingClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	read := make(chan struct{})
	address := listen(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		close(read)
		_, _ = br.ReadByte()
		close(gone)
	})
	var p conns.Pool
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-read
		leave()
	}()
	_, err := p.Do(ctx, address, get(address, "a"), conns.Options{})
	qt.Assert(t, err, qt.IsNotNil)
	<-gone
}

func TestSweep(t *testing.T) {
	closed := make(chan struct{})
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if r, err := http.ReadRequest(br); err == nil {
			answer(c, r.Header.Get("Id"), "body")
		}
		_, _ = br.ReadByte()
		close(closed)
	})
	var p conns.Pool
	_, err := ask(t, &p, address, "a", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	p.CloseExpired(time.Now().Add(time.Hour))
	<-closed
}
