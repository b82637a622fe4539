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

// fakeStore holds only the configuration object.
type fakeStore struct {
	store.API
	mu     sync.Mutex
	object store.Object
	// loseReplies is the number of writes that take effect but whose reply is
	// lost.
	loseReplies int
	puts        int
	// written, if set, receives a value after each write.
	written chan struct{}
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
	if f.written != nil {
		f.written <- struct{}{}
	}
	if f.loseReplies > 0 {
		f.loseReplies--
		return 0, &fault.Error{Code: fault.StoreDown, Verdict: fault.MayHaveRun, Cause: errors.New("reply lost")}
	}
	return f.object.Version, nil
}

const secret = "of the tests"

// entry is an entry host without watches and gossip: it has only the state that
// the test gives it.
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

// introduce sets the host list of each entry host to all of them and one plain
// server.
func introduce(entries ...*entry) {
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

// newOperator starts the admin server of an entry host and returns a function
// that sends it a line.
func newOperator(c *quicktest.C, e *entry, api store.API) func(line *wire.Line) *wire.Answer {
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
	netConn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	conn := drpcconn.New(netConn)
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

// An entry host is cut off from the object API and from gossip. If status queries
// did not carry the configuration, every line would be answered as partial, and
// callers of that entry host would be routed by outdated rules.
func TestConfirmPushesConfig(t *testing.T) {
	c := quicktest.New(t)
	first, second := newEntry(c, "e1"), newEntry(c, "e2")
	introduce(first, second)
	send := newOperator(c, first, &fakeStore{})
	answer := send(&wire.Line{Id: "x1", Text: "create pool books servers p1"})
	c.Assert(answer.Outcome, quicktest.Equals, admin.Done, quicktest.Commentf("%v", answer))
	c.Assert(second.view.Load().Config.Revision, quicktest.Equals, uint64(1))
}

// The reply to a write is lost after it took effect. If the line were applied
// again, it would be refused because its pool already exists.
func TestLostWriteReply(t *testing.T) {
	c := quicktest.New(t)
	first := newEntry(c, "e1")
	introduce(first)
	api := &fakeStore{loseReplies: 1}
	send := newOperator(c, first, api)
	line := &wire.Line{Id: "x1", Text: "create pool books servers p1"}
	c.Assert(send(line).Outcome, quicktest.Equals, admin.Done)
	c.Assert(api.puts, quicktest.Equals, 1)
	// The operator sends it again.
	repeated := send(&wire.Line{Id: "x1", Text: line.Text})
	c.Assert([]any{repeated.Outcome, repeated.Revision}, quicktest.DeepEquals, []any{admin.Done, uint64(1)})
	c.Assert(api.puts, quicktest.Equals, 1)
	other := send(&wire.Line{Id: "x1", Text: "delete pool books"})
	c.Assert(other.Outcome, quicktest.Equals, admin.Refused)
}

// The object API was restored from an older copy, and one entry host, which may
// have a newer configuration than all others, does not answer. A line built now
// could undo lines that are in force there.
func TestRestoredStoreRefusesLines(t *testing.T) {
	c := quicktest.New(t)
	first, second := newEntry(c, "e1"), newEntry(c, "e2")
	introduce(first, second)
	inForce := (*conf.Config)(nil).Clone()
	for _, id := range []string{"a", "b"} {
		inForce.Revision++
		inForce.Record(conf.Line{ID: id, Revision: inForce.Revision, Resource: "pool " + id})
	}
	first.watch.Apply(inForce)
	second.watch.Apply(inForce)
	second.stop()
	api := &fakeStore{object: store.Object{Key: conf.Key, Version: 7}}
	send := newOperator(c, first, api)
	answer := send(&wire.Line{Id: "x1", Text: "create pool books servers p1"})
	c.Assert(answer.Outcome, quicktest.Equals, admin.Refused)
	c.Assert(answer.Message, quicktest.Contains, "e2 does not answer")
	c.Assert(api.puts, quicktest.Equals, 0)
	// Once that host is off the list, the line is built on the configuration in
	// force.
	introduce(first)
	answer = send(&wire.Line{Id: "x2", Text: "create pool books servers p1"})
	c.Assert([]any{answer.Outcome, answer.Revision}, quicktest.DeepEquals, []any{admin.Done, uint64(3)})
	stored, err := conf.Decode(api.object.Value)
	c.Assert(err, quicktest.IsNil)
	_, found := stored.Find("b")
	c.Assert(found, quicktest.IsTrue)
}

// The object API was restored from an older copy while no lines are sent. If the
// newest configuration were not written back, it would be lost with the last
// entry host that has it in force.
func TestConfigIsRestored(t *testing.T) {
	c := quicktest.New(t)
	first := newEntry(c, "e1")
	introduce(first)
	inForce := (*conf.Config)(nil).Clone()
	inForce.Revision = 1
	inForce.Record(conf.Line{ID: "a", Revision: 1})
	first.watch.Apply(inForce)
	api := &fakeStore{object: store.Object{Key: conf.Key, Version: 7}, written: make(chan struct{}, 1)}
	newOperator(c, first, api)
	first.watch.MarkStoreStale()
	<-api.written
	object, err := api.Get(context.Background(), conf.Key)
	c.Assert(err, quicktest.IsNil)
	stored, err := conf.Decode(object.Value)
	c.Assert(err, quicktest.IsNil)
	c.Assert(stored.DescendsFrom(inForce), quicktest.IsTrue)
	c.Assert([]uint64{stored.Revision, stored.Epoch}, quicktest.DeepEquals, []uint64{1, 1})
}
