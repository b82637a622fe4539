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

// serve runs a store on a free port and returns a client of entry e1.
func serve(t *testing.T, f *Server) *store.Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &httpd.Server{Listener: listener}
	s.Init()
	f.Store, f.Faults = New(), &inject.Set{}
	f.Routes(s.Hertz)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx, time.Second) }()
	t.Cleanup(func() {
		f.Faults.Clear()
		stop()
		<-ended
	})
	return &store.Client{Address: listener.Addr().String(), Entry: "e1"}
}

// Each fault of a write either has an effect or has none, and the writer
// gets an error with the verdict that its own side can know.
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
			f := &Server{}
			client := serve(t, f)
			f.Faults.Add(test.fault)
			_, err := client.Put(t.Context(), "k/1", []byte("v"), 0)
			qt.Assert(t, fault.As(err).Verdict, qt.Equals, test.verdict)
			qt.Assert(t, f.Store.Get("k/1").Version > 0, qt.Equals, test.effect)
		})
	}
}

// A fault of writes is meant for some keys; writes of other keys neither
// suffer from it nor use it up.
func TestFaultOfOtherKeys(t *testing.T) {
	f := &Server{}
	client := serve(t, f)
	f.Faults.Add(inject.Fault{Kind: DropWrite, Value: "k/", Count: 1})
	_, err := client.Put(t.Context(), "other", []byte("v"), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Put(t.Context(), "k/1", []byte("v"), 0)
	qt.Assert(t, err, qt.IsNotNil)
}

// Calls beyond the rate are refused without effect.
func TestRates(t *testing.T) {
	f := &Server{Writes: 1}
	client := serve(t, f)
	_, err := client.Put(t.Context(), "k", []byte("v"), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Put(t.Context(), "l", []byte("v"), 0)
	qt.Assert(t, fault.As(err).Verdict, qt.Equals, fault.NotRun)
	qt.Assert(t, f.Store.Calls()["limited"], qt.Equals, 1)
	qt.Assert(t, f.Store.CallsBy()["e1"]["put"], qt.Equals, 2)
}

// A cut entry loses the watch that it is waiting in, and others don't.
func TestCutEndsWatch(t *testing.T) {
	f := &Server{}
	client := serve(t, f)
	got := make(chan error)
	go func() {
		_, err := client.Watch(context.Background(), "k", 0)
		got <- err
	}()
	for f.Store.Calls()["list"] == 0 {
		runtime.Gosched()
	}
	f.Faults.Add(inject.Fault{Kind: Disconnect, Value: "e1"})
	qt.Assert(t, <-got, qt.IsNotNil)
}

// Former values and restored copies carry the older version.
func TestOlder(t *testing.T) {
	f := &Server{}
	client := serve(t, f)
	first, err := client.Put(t.Context(), "k", []byte("1"), 0)
	qt.Assert(t, err, qt.IsNil)
	f.Store.Snapshot()
	_, err = client.Put(t.Context(), "k", []byte("2"), first)
	qt.Assert(t, err, qt.IsNil)
	f.Faults.Add(inject.Fault{Kind: StaleReads})
	o, err := client.Get(t.Context(), "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(o.Value), qt.Equals, "1")
	f.Faults.Clear()
	qt.Assert(t, f.Store.Restore(), qt.IsTrue)
	o, err = client.Get(t.Context(), "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o.Version, qt.Equals, first)
}
