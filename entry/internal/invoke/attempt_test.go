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

// newPass returns a Pass that knows the servers of one pool.
func newPass(servers map[string]string) (*Forwarder, pool.Pool) {
	holder := view.New("e1", "a")
	of := pool.Pool{Name: "books"}
	holder.Update(func(s *view.Snapshot) {
		hosts := map[string]host.Host{}
		for name, address := range servers {
			hosts[name] = host.Host{Name: name, Address: address, Role: host.Plain, State: host.Live}
			of.Servers = append(of.Servers, name)
		}
		s.Hosts = hosts
	})
	return &Forwarder{View: holder, Trace: &trace.Recorder{}, Log: slog.New(slog.DiscardHandler)}, of
}

// newBroken returns the address of a server that takes each call and closes
// the connection unanswered, and how many it got.
func newBroken(t *testing.T) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	got := &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				got.Add(1)
			}
			conn.Close()
		}
	}()
	return l.Addr().String(), got
}

func repeatable(of pool.Pool) *Call {
	call := newCall("POST", "", "x")
	call.Service, call.Pool = rule.Service{Name: "notes", Retryable: true}, of
	return call
}

// One of two servers fails every call at once. Since nothing stays in flight
// on it, it looks the less busy one; callers would meet it every second time
// and wait for the repeat.
func TestFailingServerIsAvoided(t *testing.T) {
	broken, got := newBroken(t)
	well := httptest.NewServer(http.NotFoundHandler())
	defer well.Close()
	p, of := newPass(map[string]string{"p1": broken, "p2": strings.TrimPrefix(well.URL, "http://")})
	for range 40 {
		_, e := p.Call(t.Context(), repeatable(of))
		qt.Assert(t, e == nil, qt.IsTrue)
	}
	qt.Assert(t, got.Load() >= 1 && got.Load() < 10, qt.IsTrue, qt.Commentf("%d of 40", got.Load()))
}

// All servers fail. Each call would be sent three times and so triple the
// load just then; the budget of the pool ends that, and callers hear at once.
func TestRepeatsAreBounded(t *testing.T) {
	first, one := newBroken(t)
	second, two := newBroken(t)
	third, three := newBroken(t)
	p, of := newPass(map[string]string{"p1": first, "p2": second, "p3": third})
	const calls = 200
	for range calls {
		_, e := p.Call(t.Context(), repeatable(of))
		qt.Assert(t, e != nil, qt.IsTrue)
		qt.Assert(t, e.Verdict, qt.Equals, fault.MayHaveRun)
	}
	sent := one.Load() + two.Load() + three.Load()
	qt.Assert(t, sent >= calls && sent < calls+calls/2, qt.IsTrue, qt.Commentf("%d sent", sent))
}
