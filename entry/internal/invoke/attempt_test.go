package invoke

import (
	"bufio"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/rule"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// newForwarder returns a Forwarder with one pool of the given servers.
func newForwarder(servers map[string]string) (*Forwarder, pool.Pool) {
	publisher := view.New("e1", "a")
	books := pool.Pool{Name: "books"}
	publisher.Update(func(s *view.Snapshot) {
		hosts := map[string]host.Host{}
		for name, address := range servers {
			hosts[name] = host.Host{Name: name, Address: address, Role: host.Plain, State: host.Live}
			books.Servers = append(books.Servers, name)
		}
		s.Hosts = hosts
	})
	return &Forwarder{View: publisher, Trace: &trace.Recorder{}, Log: slog.New(slog.DiscardHandler)}, books
}

// newFailingServer returns the address of a server that reads each call and closes
// the connection without a response, and the number of calls it has received.
func newFailingServer(t *testing.T) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	received := &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				received.Add(1)
			}
			conn.Close()
		}
	}()
	return l.Addr().String(), received
}

// newRetryableCall returns a call of a retryable service of a pool.
func newRetryableCall(books pool.Pool) *Call {
	call := newCall("POST", "", "x")
	call.Service, call.Pool = rule.Service{Name: "notes", Retryable: true}, books
	return call
}

// One of two servers fails every call at once and so looks less loaded than the
// other. If it were not avoided, every second call would reach it first and wait
// for the retry.
func TestFailingServerIsAvoided(t *testing.T) {
	failing, received := newFailingServer(t)
	healthy := httptest.NewServer(http.NotFoundHandler())
	defer healthy.Close()
	f, books := newForwarder(map[string]string{"p1": failing, "p2": strings.TrimPrefix(healthy.URL, "http://")})
	for range 40 {
		_, e := f.Call(t.Context(), newRetryableCall(books))
		qt.Assert(t, e == nil, qt.IsTrue)
	}
	qt.Assert(t, received.Load() >= 1 && received.Load() < 10, qt.IsTrue, qt.Commentf("%d of 40", received.Load()))
}

// All servers fail. Without the retry budget of the pool each call would be sent
// three times and triple the load during the outage.
func TestRetriesAreBounded(t *testing.T) {
	first, firstCalls := newFailingServer(t)
	second, secondCalls := newFailingServer(t)
	third, thirdCalls := newFailingServer(t)
	f, books := newForwarder(map[string]string{"p1": first, "p2": second, "p3": third})
	const calls = 200
	for range calls {
		_, e := f.Call(t.Context(), newRetryableCall(books))
		qt.Assert(t, e != nil, qt.IsTrue)
		qt.Assert(t, e.Verdict, qt.Equals, fault.MayHaveRun)
	}
	sent := firstCalls.Load() + secondCalls.Load() + thirdCalls.Load()
	qt.Assert(t, sent >= calls && sent < calls+calls/2, qt.IsTrue, qt.Commentf("%d sent", sent))
}
