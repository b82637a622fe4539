package watch_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"

	"github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"fuchsiashelf.dev/entry/internal/watch"
	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeStore answers watches from a list and then none.
type fakeStore struct {
	store.API
	watches chan store.Changes
	after   chan uint64
	object  store.Object
	hosts   host.List
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after uint64) (store.Changes, error) {
	select {
	case f.after <- after:
	case <-ctx.Done():
		return store.Changes{}, ctx.Err()
	}
	select {
	case changes := <-f.watches:
		return changes, nil
	case <-ctx.Done():
		return store.Changes{}, ctx.Err()
	}
}

func (f *fakeStore) Get(context.Context, string) (store.Object, error) {
	return f.object, nil
}

func (f *fakeStore) Hosts(ctx context.Context, after uint64) (host.List, error) {
	if after < f.hosts.Revision {
		return f.hosts, nil
	}
	<-ctx.Done()
	return host.List{}, ctx.Err()
}

// peers is one other entry host that is down, or answers with its own view.
type peers struct{ reply *wire.ConfigReply }

func (peers) Others() []host.Host { return []host.Host{{Name: "e2", Address: "e2"}} }

func (p peers) Client(context.Context, host.Host) (wire.DRPCEntryClient, error) {
	if p.reply == nil {
		return nil, errors.New("down")
	}
	return client{reply: p.reply}, nil
}

type client struct {
	wire.DRPCEntryClient
	reply *wire.ConfigReply
}

func (c client) Config(context.Context, *wire.ConfigAsk) (*wire.ConfigReply, error) {
	return c.reply, nil
}

// lines makes a configuration of that many lines, in its stored form.
func lines(c *quicktest.C, n int) []byte {
	made := (*conf.Config)(nil).Clone()
	for i := range n {
		made.Revision++
		made.Record(conf.Line{ID: fmt.Sprint(i), Revision: made.Revision})
	}
	value, err := made.Encode()
	c.Assert(err, quicktest.IsNil)
	return value
}

func start(c *quicktest.C, api *fakeStore, others watch.Peers) *watch.Watcher {
	f := watch.New()
	f.Store, f.Peers, f.View = api, others, view.New("e1", "a")
	f.Log, f.Trace, f.Done = slog.New(slog.DiscardHandler), &trace.Recorder{}, make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx)
	c.Cleanup(func() { cancel(); <-f.Done })
	return f
}

func until(f *watch.Watcher, condition func(*view.Snapshot) bool) {
	for {
		changed := f.View.Changed()
		if condition(f.View.Load()) {
			return
		}
		<-changed
	}
}

func newStore() *fakeStore {
	return &fakeStore{
		watches: make(chan store.Changes), after: make(chan uint64, 100),
		hosts: host.List{Revision: 1, Hosts: []host.Host{{Name: "e1", Role: host.Entry}}},
	}
}

func object(value []byte, version uint64) store.Changes {
	return store.Changes{Version: version, Objects: []store.Object{{Key: conf.Key, Version: version, Value: value}}}
}

// The platform restores the store from an older copy, and its versions count
// anew. A watch that waits for versions above the last one seen would hear
// nothing for as long as the count takes to get there, and the older copy must
// not come into force.
func TestStoreWentBack(t *testing.T) {
	c := quicktest.New(t)
	api := newStore()
	f := start(c, api, nil)
	c.Assert(<-api.after, quicktest.Equals, uint64(0))
	api.watches <- object(lines(c, 5), 40)
	c.Assert(<-api.after, quicktest.Equals, uint64(40))
	api.object = store.Object{Key: conf.Key, Version: 3, Value: lines(c, 3)}
	api.watches <- store.Changes{Version: 3}
	c.Assert(<-api.after, quicktest.Equals, uint64(0))
	api.watches <- object(lines(c, 3), 3)
	<-f.StoreStale()
	c.Assert(<-api.after, quicktest.Equals, uint64(3))
	c.Assert(f.View.Load().Config.Revision, quicktest.Equals, uint64(5))
	api.watches <- object(lines(c, 6), 4)
	until(f, func(s *view.Snapshot) bool { return s.Config.Revision == 6 })
}

// An entry host starts while the store is down. Its peers have the newest
// configuration, the hosts and the teams; without them it would refuse every
// caller until the store is back.
func TestPrimeFromPeers(t *testing.T) {
	c := quicktest.New(t)
	api := newStore()
	api.hosts = host.List{}
	reply := &wire.ConfigReply{
		Object: lines(c, 4), Hosts: []byte(`{"revision":7,"hosts":[{"name":"e2","role":"entry"}]}`),
		Teams: []byte(`{"teams":[]}`), TeamsVersion: 2,
	}
	f := start(c, api, peers{reply})
	until(f, func(s *view.Snapshot) bool {
		return s.Config != nil && s.Config.Revision == 4 && s.HostsRevision == 7 && s.Teams != nil
	})
}

// An entry host starts, and neither the store nor a peer answers. It knows of
// no routes, and must not be sent callers.
func TestPrimeFromNobody(t *testing.T) {
	c := quicktest.New(t)
	api := newStore()
	f := start(c, api, peers{})
	<-api.after
	c.Assert(f.HasSynced(), quicktest.IsFalse)
	c.Assert(f.EverConnected(), quicktest.IsFalse)
	api.watches <- object(lines(c, 1), 1)
	until(f, func(s *view.Snapshot) bool { return s.Config != nil })
	c.Assert(f.HasSynced(), quicktest.IsFalse)
}

// The platform restores the store from an older copy, and writes of other
// objects carry its counter past the old one before a watch looks. No event
// comes, and without reading the object anew the newest lines would be lost
// with the last entry host that has them.
func TestStoreWentBackUnseen(t *testing.T) {
	c := quicktest.New(t)
	api := newStore()
	f := start(c, api, nil)
	<-api.after
	api.watches <- object(lines(c, 5), 40)
	<-api.after
	api.object = store.Object{Key: conf.Key, Version: 3, Value: lines(c, 3)}
	api.watches <- store.Changes{Version: 50}
	<-f.StoreStale()
	c.Assert(f.View.Load().Config.Revision, quicktest.Equals, uint64(5))
}
