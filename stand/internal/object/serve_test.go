package object

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/httpd"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/stand/inject"
)

// serve runs a store on a free port and returns a client for entry host e1.
func serve(t *testing.T, s *Server) *store.Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	httpServer := &httpd.Server{Listener: listener}
	httpServer.Init()
	s.Store, s.Faults = New(), &inject.Set{}
	s.Routes(httpServer.Hertz)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- httpServer.Run(ctx, time.Second) }()
	t.Cleanup(func() {
		s.Faults.Clear()
		stop()
		<-done
	})
	return &store.Client{Address: listener.Addr().String(), Entry: "e1"}
}

// Guards against an error whose verdict says that a write did not take effect,
// although the client cannot know that.
func TestWriteFaults(t *testing.T) {
	for _, test := range []struct {
		fault   inject.Fault
		effect  bool
		verdict fault.Verdict
	}{
		{inject.Fault{Kind: DropReply, Value: "k"}, true, fault.MayHaveRun},
		{inject.Fault{Kind: DropWrite, Value: "k"}, false, fault.MayHaveRun},
		{inject.Fault{Kind: Outage}, false, fault.NotRun},
		{inject.Fault{Kind: Disconnect, Value: "e0,e1"}, false, fault.MayHaveRun},
	} {
		t.Run(string(test.fault.Kind), func(t *testing.T) {
			s := &Server{}
			client := serve(t, s)
			s.Faults.Add(test.fault)
			_, err := client.Put(t.Context(), "k/1", []byte("v"), 0)
			qt.Assert(t, fault.As(err).Verdict, qt.Equals, test.verdict)
			qt.Assert(t, s.Store.Get("k/1").Version > 0, qt.Equals, test.effect)
		})
	}
}

// A fault that affects writes applies only to keys with its prefix. Writes of other
// keys succeed and don't decrement its count.
func TestWriteFaultAppliesToItsPrefixOnly(t *testing.T) {
	s := &Server{}
	client := serve(t, s)
	s.Faults.Add(inject.Fault{Kind: DropWrite, Value: "k/", Count: 1})
	_, err := client.Put(t.Context(), "other", []byte("v"), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Put(t.Context(), "k/1", []byte("v"), 0)
	qt.Assert(t, err, qt.IsNotNil)
}

// Calls beyond the rate limit are refused without effect and counted.
func TestRateLimit(t *testing.T) {
	s := &Server{Writes: 1}
	client := serve(t, s)
	_, err := client.Put(t.Context(), "k", []byte("v"), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Put(t.Context(), "l", []byte("v"), 0)
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.NotRun)
	qt.Assert(t, s.Store.Calls()["limited"], qt.Equals, 1)
	qt.Assert(t, s.Store.CallsBy()["e1"]["put"], qt.Equals, 2)
}

// Disconnecting an entry host closes the connection of its pending watch at once,
// not only those of its later calls.
func TestDisconnectEndsWatch(t *testing.T) {
	s := &Server{}
	client := serve(t, s)
	watchErr := make(chan error)
	go func() {
		_, err := client.Watch(context.Background(), "k", 0)
		watchErr <- err
	}()
	for s.Store.Calls()["list"] == 0 {
		runtime.Gosched()
	}
	s.Faults.Add(inject.Fault{Kind: Disconnect, Value: "e1"})
	qt.Assert(t, <-watchErr, qt.IsNotNil)
}

// Stale reads and a restored snapshot return the older value with its version.
func TestStaleReadsAndRestore(t *testing.T) {
	s := &Server{}
	client := serve(t, s)
	first, err := client.Put(t.Context(), "k", []byte("1"), 0)
	qt.Assert(t, err, qt.IsNil)
	s.Store.Snapshot()
	_, err = client.Put(t.Context(), "k", []byte("2"), first)
	qt.Assert(t, err, qt.IsNil)
	s.Faults.Add(inject.Fault{Kind: StaleReads})
	o, err := client.Get(t.Context(), "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(o.Value), qt.Equals, "1")
	s.Faults.Clear()
	qt.Assert(t, s.Store.Restore(), qt.IsTrue)
	o, err = client.Get(t.Context(), "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o.Version, qt.Equals, first)
}
