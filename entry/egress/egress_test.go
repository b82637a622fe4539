package egress_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/caller"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/pause"
)

// headerCodec reads replies from the headers Pause, By, Limit, Leaving and Id.
type headerCodec struct{ call.Codec }

func (headerCodec) ParseReply(r *http.Response) call.Reply {
	length, _ := time.ParseDuration(r.Header.Get("Pause"))
	limited := r.Header.Get("Limit") != ""
	return call.Reply{
		Status: r.StatusCode, ID: r.Header.Get("Id"), RetryAfter: length, RefusedBy: r.Header.Get("By"),
		RateLimited: limited, RateLimit: 5, Closing: true, Leaving: r.Header.Get("Leaving") != "",
		Misdirected: r.Header.Get("Misdirected") != "",
	}
}

// addressDecoder decodes a server that runs at the address that its entry consists of.
type addressDecoder struct{ state.Decoder }

func (addressDecoder) Server(id string, spec []byte) (fleet.Server, error) {
	return fleet.Server{ID: id, Address: string(spec), StartedAt: time.Unix(1, 0)}, nil
}

// testServer answers requests with the header that the path describes, as NAME=VALUE.
func testServer(t *testing.T) (address string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		for item := range strings.SplitSeq(strings.Trim(r.URL.Path, "/"), "&") {
			name, value, _ := strings.Cut(item, "=")
			w.Header().Set(name, value)
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), requests
}

// newClient returns a client that knows the servers at the addresses as a, b and so on.
func newClient(addresses ...string) *egress.Client {
	log := slog.New(slog.DiscardHandler)
	servers := &mirror.Mirror{Kind: "servers"}
	s := &state.Local{Decoder: addressDecoder{}, Log: log, Servers: servers, Config: &mirror.Mirror{}}
	var items []mirror.Object
	for i, address := range addresses {
		items = append(items, mirror.Object{Name: string(rune('a' + i)), Revision: 1, Spec: []byte(address)})
	}
	servers.Replace(items, mirror.Position{Era: 1, Revision: 1})
	s.ReadServers(time.Now())
	limits := &limit.Tracker{Self: "e", Hosts: func() ([]string, bool) { return nil, true }, OnChange: func() {}, Log: log}
	return &egress.Client{Broadcast: func() {}, Codec: headerCodec{}, Pool: &conns.Pool{}, State: s, Limits: limits, Pauses: &pause.Tracker{Log: log}}
}

// send sends a request for the given path.
func send(c *egress.Client, address, path, id string) error {
	return sendFor(c, nil, address, path, id)
}

// sendFor is send for a request whose caller is watched.
func sendFor(c *egress.Client, w *caller.Watch, address, path, id string) error {
	req := &http.Request{
		Method: http.MethodGet, Host: address, Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: address, Path: "/" + path}, Body: http.NoBody,
	}
	resp, _, err := c.Do(context.Background(), c.Server(address), req, egress.Options{RequestID: id, Caller: w})
	if err == nil {
		resp.Close()
	}
	return err
}

// Guards against requests of any kind to a server that has requested a pause, and to the
// one that it names as at fault.
func TestPausedServersGetNothing(t *testing.T) {
	first, firstRequests := testServer(t)
	named, namedRequests := testServer(t)
	other, _ := testServer(t)
	c := newClient(first, named, other)
	qt.Assert(t, send(c, first, "Pause=1m&By="+named, ""), qt.IsNil)
	for _, address := range []string{first, named} {
		for _, id := range []string{"", "r1"} {
			err := send(c, address, "", id)
			qt.Check(t, egress.IsPaused(err), qt.IsTrue)
			qt.Check(t, fault.As(err).Verdict, qt.Equals, fault.NotRun)
			qt.Check(t, fault.As(err).RetryAfter > 50*time.Second, qt.IsTrue)
		}
	}
	qt.Check(t, firstRequests.Load(), qt.Equals, int64(1))
	qt.Check(t, namedRequests.Load(), qt.Equals, int64(0))
	qt.Check(t, send(c, other, "", "r1"), qt.IsNil)
}

// Guards against a rate limit that a response to an order or to a request for a report
// ends, because it does not name it.
func TestOnlyResponsesToRequestsEndLimit(t *testing.T) {
	address, _ := testServer(t)
	c := newClient(address)
	for _, step := range []struct {
		path, id string
		limited  int
	}{{"", "", 0}, {"Limit=5", "", 1}, {"", "", 1}, {"", "r1", 0}} {
		qt.Assert(t, send(c, address, step.path, step.id), qt.IsNil)
		qt.Check(t, c.Limits.Limited(), qt.Equals, step.limited)
	}
}

// Guards against a server that gets new requests although a response of any kind has said
// that it leaves, and against leaving out one because another process responded.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	address, _ := testServer(t)
	for path, leaving := range map[string]bool{"": false, "Leaving=1&Misdirected=1": false, "Leaving=1": true} {
		for _, id := range []string{"", "r1"} {
			c := newClient(address)
			qt.Assert(t, send(c, address, path, id), qt.IsNil)
			qt.Check(t, c.State.View().ByID("a").Leaving, qt.Equals, leaving, qt.Commentf("%s %s", path, id))
		}
	}
}

// Guards against new requests to a server that said that it leaves while it had no entry,
// and whose entry is back.
func TestLeavingIsKeptWithoutEntry(t *testing.T) {
	address, _ := testServer(t)
	c := newClient(address)
	server := c.Server(address)
	c.State.Servers.Replace(nil, mirror.Position{Era: 1, Revision: 2})
	c.State.ReadServers(time.Now())
	qt.Assert(t, c.State.View().Servers, qt.HasLen, 0)
	req := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: http.NoBody, Host: address, URL: &url.URL{Scheme: "http", Host: address, Path: "/Leaving=1"}}
	resp, _, err := c.Do(context.Background(), server, req, egress.Options{RequestID: "r1"})
	qt.Assert(t, err, qt.IsNil)
	resp.Close()
	c.State.Servers.Replace([]mirror.Object{{Name: "a", Revision: 3, Spec: []byte(address)}}, mirror.Position{Era: 1, Revision: 3})
	c.State.ReadServers(time.Now())
	qt.Check(t, c.State.View().ByID("a").Leaving, qt.IsTrue)
}

// leavingCaller returns the watch of a caller, and a function that makes it leave and waits until
// the kernel knows.
func leavingCaller(t *testing.T) (w *caller.Watch, leave func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	near, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { near.Close() })
	w = &caller.Watch{Conn: near, Begun: time.Now()}
	w.Begin(context.Background())
	t.Cleanup(w.End)
	return w, func() {
		qt.Check(t, far.Close(), qt.IsNil)
		_, err := near.Read(make([]byte, 1))
		qt.Check(t, err, qt.Equals, io.EOF)
	}
}

// Guards against requests that are sent after their callers have left: on an idle connection, and on
// one that took long to establish.
func TestRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	address, requests := testServer(t)
	c := newClient(address)
	for _, leavesDuringDial := range []bool{false, true} {
		w, leave := leavingCaller(t)
		if !leavesDuringDial {
			leave()
		}
		c.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			leave()
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		err := fault.As(sendFor(c, w, address, "", "r1"))
		qt.Check(t, []any{err.Code, err.Verdict}, qt.DeepEquals, []any{fault.Cancelled, fault.NotRun})
		qt.Check(t, egress.WasNotSent(err), qt.IsTrue)
	}
	qt.Assert(t, requests.Load(), qt.Equals, int64(0))
	w, _ := leavingCaller(t)
	c.Pool.Dial = nil
	qt.Assert(t, sendFor(c, w, address, "", "r2"), qt.IsNil)
	qt.Assert(t, requests.Load(), qt.Equals, int64(1))
}
