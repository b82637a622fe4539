package admin_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/panjf2000/ants/v2"
	"go.uber.org/goleak"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/entry/internal/admin"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/entry/internal/watch"
	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// fakeStore holds the configuration object alone.
type fakeStore struct {
	store.API
	mu     sync.Mutex
	object store.Object
	// lose is how many replies to writes are lost after the effect.
	lose int
	puts int
	// put receives after a write, if it is set.
	put chan struct{}
}

func (f *fakeStore) Get(context.Context, string) (store.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.object, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, version uint64) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	if version != f.object.Version {
		return 0, &fault.Error{Code: fault.Conflict, Verdict: fault.NotRun}
	}
	f.object = store.Object{Key: key, Version: version + 1, Value: slices.Clone(value)}
	if f.put != nil {
		f.put <- struct{}{}
	}
	if f.lose > 0 {
		f.lose--
		return 0, &fault.Error{Code: fault.StoreDown, Verdict: fault.MayHaveRun, Cause: errors.New("reply lost")}
	}
	return f.object.Version, nil
}

const secret = "of the tests"

// entry is an entry host whose watches and exchange do not run: it learns
// only what the test lets it.
type entry struct {
	view  *view.Publisher
	watch *watch.Watcher
	mesh  *mesh.Mesh
	host  host.Host
	stop  func()
}

func newEntry(c *quicktest.C, name string) *entry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	e := &entry{
		view: view.New(name, "a"), watch: watch.New(),
		host: host.Host{Name: name, Address: listener.Addr().String(), Role: host.Entry, State: host.Live},
	}
	log := slog.New(slog.DiscardHandler)
	e.watch.View, e.watch.Log, e.watch.Trace = e.view, log, &trace.Recorder{Process: name}
	e.mesh = &mesh.Mesh{
		View: e.view, Log: log, Secret: secret, Address: e.host.Address,
		Local: mesh.LocalState{Apply: e.watch.ApplyEncoded},
	}
	e.mesh.Init()
	mux := drpcmux.New()
	c.Assert(wire.DRPCRegisterEntry(mux, e.mesh), quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = drpcserver.New(mux).Serve(ctx, listener); close(done) }()
	e.stop = func() { cancel(); <-done }
	c.Cleanup(e.stop)
	return e
}

// know tells entry hosts of each other.
func know(entries ...*entry) {
	for _, e := range entries {
		e.view.Update(func(s *view.Snapshot) {
			s.HostsRevision = 1
			s.Hosts = map[string]host.Host{"p1": {Name: "p1", Role: host.Plain, State: host.Live}}
			for _, other := range entries {
				s.Hosts[other.host.Name] = other.host
			}
		})
	}
}

// operator sends lines to the seat of an entry host.
func operator(c *quicktest.C, e *entry, api store.API) func(line *wire.Line) *wire.Answer {
	workers, err := ants.NewPool(8)
	c.Assert(err, quicktest.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := &admin.Server{
		View: e.view, Store: api, Watch: e.watch, Mesh: e.mesh, Trace: e.watch.Trace,
		Log: e.watch.Log, Secret: secret, Workers: workers, Done: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx, listener) }()
	raw, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	conn := drpcconn.New(raw)
	c.Cleanup(func() {
		_ = conn.Close()
		cancel()
		<-s.Done
		workers.Release()
	})
	return func(line *wire.Line) *wire.Answer {
		line.Secret = secret
		answer, err := wire.NewDRPCDeskClient(conn).Run(context.Background(), line)
		c.Assert(err, quicktest.IsNil)
		return answer
	}
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

// An entry host is cut off from the store and hears nothing of the others'
// exchange. Without the configuration being handed to it, every line would be
// partly, and its callers be routed by yesterday's rules.
func TestHandOn(t *testing.T) {
	c := quicktest.New(t)
	one, two := newEntry(c, "e1"), newEntry(c, "e2")
	know(one, two)
	send := operator(c, one, &fakeStore{})
	answer := send(&wire.Line{Id: "x1", Text: "create pool books servers p1"})
	c.Assert(answer.Outcome, quicktest.Equals, admin.Done, quicktest.Commentf("%v", answer))
	c.Assert(two.view.Load().Config.Revision, quicktest.Equals, uint64(1))
}

// The reply to the write is lost after it took effect. Written again as a new
// line, it would be refused as one that exists already.
func TestLostReply(t *testing.T) {
	c := quicktest.New(t)
	one := newEntry(c, "e1")
	know(one)
	api := &fakeStore{lose: 1}
	send := operator(c, one, api)
	line := &wire.Line{Id: "x1", Text: "create pool books servers p1"}
	c.Assert(send(line).Outcome, quicktest.Equals, admin.Done)
	c.Assert(api.puts, quicktest.Equals, 1)
	// The operator does not know and sends it again.
	again := send(&wire.Line{Id: "x1", Text: line.Text})
	c.Assert([]any{again.Outcome, again.Revision}, quicktest.DeepEquals, []any{admin.Done, uint64(1)})
	c.Assert(api.puts, quicktest.Equals, 1)
	other := send(&wire.Line{Id: "x1", Text: "delete pool books"})
	c.Assert(other.Outcome, quicktest.Equals, admin.Refused)
}

// The store was restored from an older copy, and one entry host, which may
// have a newer configuration than all others, does not answer. A line built
// now could undo what that one has in force.
func TestRestoredStore(t *testing.T) {
	c := quicktest.New(t)
	one, two := newEntry(c, "e1"), newEntry(c, "e2")
	know(one, two)
	inForce := (*conf.Config)(nil).Clone()
	for _, id := range []string{"a", "b"} {
		inForce.Revision++
		inForce.Record(conf.Line{ID: id, Revision: inForce.Revision, Resource: "pool " + id})
	}
	one.watch.Apply(inForce)
	two.watch.Apply(inForce)
	two.stop()
	api := &fakeStore{object: store.Object{Key: conf.Key, Version: 7}}
	send := operator(c, one, api)
	answer := send(&wire.Line{Id: "x1", Text: "create pool books servers p1"})
	c.Assert(answer.Outcome, quicktest.Equals, admin.Refused)
	c.Assert(answer.Message, quicktest.Contains, "e2 does not answer")
	c.Assert(api.puts, quicktest.Equals, 0)
	// It leaves the host list, and the line is built on what is in force.
	know(one)
	answer = send(&wire.Line{Id: "x2", Text: "create pool books servers p1"})
	c.Assert([]any{answer.Outcome, answer.Revision}, quicktest.DeepEquals, []any{admin.Done, uint64(3)})
	stored, err := conf.Decode(api.object.Value)
	c.Assert(err, quicktest.IsNil)
	_, kept := stored.Find("b")
	c.Assert(kept, quicktest.IsTrue)
}

// The store was restored from an older copy while nobody sends lines. If the
// newest configuration were not put back, it would be gone with the last
// entry host that has it in force.
func TestPutBack(t *testing.T) {
	c := quicktest.New(t)
	one := newEntry(c, "e1")
	know(one)
	inForce := (*conf.Config)(nil).Clone()
	inForce.Revision = 1
	inForce.Record(conf.Line{ID: "a", Revision: 1})
	one.watch.Apply(inForce)
	api := &fakeStore{object: store.Object{Key: conf.Key, Version: 7}, put: make(chan struct{}, 1)}
	operator(c, one, api)
	one.watch.MarkStoreStale()
	<-api.put
	object, err := api.Get(context.Background(), conf.Key)
	c.Assert(err, quicktest.IsNil)
	stored, err := conf.Decode(object.Value)
	c.Assert(err, quicktest.IsNil)
	c.Assert(stored.DescendsFrom(inForce), quicktest.IsTrue)
	c.Assert([]uint64{stored.Revision, stored.Epoch}, quicktest.DeepEquals, []uint64{1, 1})
}
