package conns_test

import (
	"bufio"
	"context"
	"errors"
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

// listen accepts connections, calls serve with the number of each, which starts at 1,
// and returns the address.
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

// newRequest returns a request with an Id header.
func newRequest(address, id string) *http.Request {
	return &http.Request{
		Method: http.MethodGet, Host: address, Header: http.Header{"Id": {id}}, ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: address, Path: "/"}, Body: http.NoBody,
	}
}

// do sends a request and returns the body of its response.
func do(t *testing.T, p *conns.Pool, address, id string, o conns.Options) (string, error) {
	o.Inspect = func(r *http.Response) conns.ResponseInfo {
		return conns.ResponseInfo{OtherRequest: r.Header.Get("Id") != id}
	}
	resp, err := p.Do(context.Background(), address, newRequest(address, id), o)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// writeResponse writes a response to the request with the ID.
func writeResponse(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionIsReused(t *testing.T) {
	var opened atomic.Int64
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		opened.Store(int64(n))
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			writeResponse(c, r.Header.Get("Id"), "body of "+r.Header.Get("Id"))
		}
	})
	var p conns.Pool
	for _, id := range []string{"a", "b", "c"} {
		body, err := do(t, &p, address, id, conns.Options{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "body of "+id)
	}
	qt.Assert(t, opened.Load(), qt.Equals, int64(1))
}

// Guards against taking a second response to an earlier request for the response to the
// next one: a caller would get another caller's data.
func TestResponseToAnotherRequest(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for n := 0; ; n++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if n == 1 {
				writeResponse(c, "a", "late again")
			}
			writeResponse(c, r.Header.Get("Id"), "body of "+r.Header.Get("Id"))
		}
	})
	var p conns.Pool
	for _, id := range []string{"a", "b", "c"} {
		body, err := do(t, &p, address, id, conns.Options{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "body of "+id)
	}
}

// Guards against reusing a connection on which the server sent bytes after a response:
// they would be read as the start of the next response.
func TestBytesAfterResponse(t *testing.T) {
	var opened atomic.Int64
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		opened.Store(int64(n))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		// One write, so that the extra bytes arrive with the response.
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nwholemore", r.Header.Get("Id"))
		_, _ = br.ReadByte()
	})
	var p conns.Pool
	for _, id := range []string{"a", "b"} {
		body, err := do(t, &p, address, id, conns.Options{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "whole")
	}
	qt.Assert(t, opened.Load(), qt.Equals, int64(2))
}

// Guards against taking extra bytes for a response if they arrive after the next request
// was written to a reused connection. It is unknown whether that request ran, and the
// connection must not be reused.
func TestLateBytesAfterResponse(t *testing.T) {
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if n == 1 && i == 1 {
				fmt.Fprint(c, "more")
			}
			writeResponse(c, r.Header.Get("Id"), "body of "+r.Header.Get("Id"))
		}
	})
	var p conns.Pool
	body, err := do(t, &p, address, "a", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "body of a")
	_, err = do(t, &p, address, "b", conns.Options{})
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.MayHaveRun)
	body, err = do(t, &p, address, "c", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "body of c")
}

// Guards against resending a request after the server has read it and closed the
// connection: a payment, for example, would run twice.
func TestRequestIsNotResent(t *testing.T) {
	var received atomic.Int64
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			received.Add(1)
			if i > 0 || n > 1 {
				return
			}
			writeResponse(c, r.Header.Get("Id"), "first")
		}
	})
	var p conns.Pool
	_, err := do(t, &p, address, "a", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	_, err = do(t, &p, address, "b", conns.Options{})
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.MayHaveRun)
	qt.Assert(t, received.Load(), qt.Equals, int64(2))
}

// Guards against the verdict MayHaveRun when no connection was made: the request may
// safely be sent to another server.
func TestConnectFailureMeansNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.Close()
	var p conns.Pool
	_, err = do(t, &p, l.Addr().String(), "a", conns.Options{})
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.NotRun)
}

// Guards against writing a request to an idle connection that the server has closed:
// it would be unknown whether the request ran.
func TestClosedConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{})
	address := listen(t, func(n int, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		writeResponse(c, r.Header.Get("Id"), "body")
		c.Close()
		if n == 1 {
			close(closed)
		}
	})
	var p conns.Pool
	_, err := do(t, &p, address, "a", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	<-closed
	body, err := do(t, &p, address, "b", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "body")
}

// Guards against accepting a response that ends before its declared length.
func TestTruncatedResponse(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf")
		}
	})
	var p conns.Pool
	_, err := do(t, &p, address, "a", conns.Options{})
	qt.Assert(t, err, qt.IsNotNil)
}

// Guards against a connection that stays open after the caller has disconnected: the
// server would continue to work on the request.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	read := make(chan struct{})
	address := listen(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		close(read)
		_, _ = br.ReadByte()
		close(closed)
	})
	var p conns.Pool
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-read
		cancel()
	}()
	_, err := p.Do(ctx, address, newRequest(address, "a"), conns.Options{})
	qt.Assert(t, err, qt.IsNotNil)
	<-closed
}

func TestCloseExpired(t *testing.T) {
	closed := make(chan struct{})
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if r, err := http.ReadRequest(br); err == nil {
			writeResponse(c, r.Header.Get("Id"), "body")
		}
		_, _ = br.ReadByte()
		close(closed)
	})
	var p conns.Pool
	_, err := do(t, &p, address, "a", conns.Options{})
	qt.Assert(t, err, qt.IsNil)
	p.CloseExpired(time.Now().Add(time.Hour))
	<-closed
}

// Guards against writing a request that is no longer allowed when its connection is
// available.
func TestNothingIsWrittenIfBeforeWriteFails(t *testing.T) {
	var requests atomic.Int64
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			requests.Add(1)
		}
	})
	p := &conns.Pool{}
	notAllowed := errors.New("not allowed")
	_, err := do(t, p, address, "a", conns.Options{BeforeWrite: func(bool) error { return notAllowed }})
	qt.Check(t, err, qt.Equals, notAllowed)
	qt.Check(t, p.Connect(context.Background(), address), qt.IsNil)
	qt.Check(t, requests.Load(), qt.Equals, int64(0))
}

// Guards against a host of a large deployment that keeps a connection to each server, and
// against the loss of the connections that it uses most.
func TestMaxIdle(t *testing.T) {
	const servers = 6
	addresses := make([]string, servers)
	opened := make([]atomic.Int64, servers)
	for i := range servers {
		addresses[i] = listen(t, func(n int, c net.Conn, br *bufio.Reader) {
			opened[i].Store(int64(n))
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				writeResponse(c, r.Header.Get("Id"), "body")
			}
		})
	}
	for _, test := range []struct {
		name  string
		limit func() int
		idle  int
		// opened is the number of connections to each server after two requests to each, in
		// order, with one to the first server between any two.
		opened [servers]int64
	}{
		{"no limit", nil, servers, [servers]int64{1, 1, 1, 1, 1, 1}},
		{"zero", func() int { return 0 }, servers, [servers]int64{1, 1, 1, 1, 1, 1}},
		{"limit", func() int { return 4 }, 4, [servers]int64{1, 2, 2, 2, 2, 2}},
		{"one", func() int { return 1 }, 1, [servers]int64{10, 2, 2, 2, 2, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &conns.Pool{MaxIdle: test.limit}
			var before, got [servers]int64
			for i := range servers {
				before[i] = opened[i].Load()
			}
			for n := range 2 * servers {
				for _, i := range []int{0, n % servers} {
					_, err := do(t, p, addresses[i], "a", conns.Options{})
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, p.Idle() <= test.idle, qt.IsTrue)
				}
			}
			for i := range servers {
				got[i] = opened[i].Load() - before[i]
			}
			qt.Check(t, got, qt.Equals, test.opened)
			qt.Check(t, p.Idle(), qt.Equals, test.idle)
			p.CloseIdle(addresses[servers-1])
			qt.Check(t, p.Idle(), qt.Equals, test.idle-1)
			p.CloseExpired(time.Now().Add(time.Hour))
			qt.Check(t, p.Idle(), qt.Equals, 0)
		})
	}
}

// Guards against subsets whose size does not follow the idle time that servers announce.
func TestIdleTime(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			writeResponse(c, "a", "body")
		}
	})
	var p conns.Pool
	qt.Check(t, p.IdleTime(), qt.Equals, 2800*time.Millisecond)
	o := conns.Options{Inspect: func(*http.Response) conns.ResponseInfo {
		return conns.ResponseInfo{IdleTimeout: 1500 * time.Millisecond}
	}}
	for range 3 {
		resp, err := p.Do(context.Background(), address, newRequest(address, "a"), o)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadAll(resp)
		qt.Assert(t, err, qt.IsNil)
		resp.Close()
	}
	qt.Check(t, p.IdleTime().Round(time.Millisecond), qt.Equals, 1050*time.Millisecond)
}

// Guards against a paused process that looks like a machine without power, and the other way
// round: only a new connection shows that the machine is there.
func TestNoAnswer(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil || req.Header.Get("Id") == "closed" {
				return
			}
			if req.Header.Get("Id") == "answered" {
				writeResponse(c, "answered", "")
			}
		}
	})
	// The kernel accepts connections that the process never does.
	paused, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer paused.Close()
	for _, test := range []struct {
		address, id       string
		newConn           bool
		noAnswer, evident bool
	}{
		{paused.Addr().String(), "", false, true, true},
		{address, "", true, true, true},
		{address, "", false, true, false},
		{address, "closed", true, false, false},
		{"127.0.0.1:1", "", true, false, false},
	} {
		p := &conns.Pool{}
		_, err := do(t, p, address, "answered", conns.Options{})
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err = p.Do(ctx, test.address, newRequest(test.address, test.id), conns.Options{NewConn: test.newConn})
		cancel()
		var silent *conns.NoAnswerError
		qt.Check(t, errors.As(err, &silent), qt.Equals, test.noAnswer, qt.Commentf("%+v: %v", test, err))
		qt.Check(t, silent != nil && silent.NewConn, qt.Equals, test.evident, qt.Commentf("%+v", test))
	}
}
