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

// fakeStore answers each watch of objects with the next value of watches, and
// sends the version that the watch resumes after to after.
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

// onePeer is a single peer that sends its reply, or is unreachable if it has
// none.
type onePeer struct{ reply *wire.ConfigReply }

func (onePeer) Others() []host.Host { return []host.Host{{Name: "e2", Address: "e2"}} }

func (p onePeer) Client(context.Context, host.Host) (wire.DRPCEntryClient, error) {
	if p.reply == nil {
		return nil, errors.New("down")
	}
	return fakeClient{reply: p.reply}, nil
}

type fakeClient struct {
	wire.DRPCEntryClient
	reply *wire.ConfigReply
}

func (c fakeClient) Config(context.Context, *wire.ConfigAsk) (*wire.ConfigReply, error) {
	return c.reply, nil
}

// encodedConfig returns an encoded configuration of n lines.
func encodedConfig(c *quicktest.C, n int) []byte {
	config := (*conf.Config)(nil).Clone()
	for i := range n {
		config.Revision++
		config.Record(conf.Line{ID: fmt.Sprint(i), Revision: config.Revision})
	}
	value, err := config.Encode()
	c.Assert(err, quicktest.IsNil)
	return value
}

func startWatcher(c *quicktest.C, api *fakeStore, peers watch.Peers) *watch.Watcher {
	w := watch.New()
	w.Store, w.Peers, w.View = api, peers, view.New("e1", "a")
	w.Log, w.Trace, w.Done = slog.New(slog.DiscardHandler), &trace.Recorder{}, make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	c.Cleanup(func() { cancel(); <-w.Done })
	return w
}

func waitFor(w *watch.Watcher, condition func(*view.Snapshot) bool) {
	for {
		changed := w.View.Changed()
		if condition(w.View.Load()) {
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

func configChange(value []byte, version uint64) store.Changes {
	return store.Changes{Version: version, Objects: []store.Object{{Key: conf.Key, Version: version, Value: value}}}
}

// The object API is restored from an older copy, and its version counter
// decreases. A watch for versions above the last one seen would return nothing
// until the counter gets there, and the older configuration must not come into
// force.
func TestStoreRestored(t *testing.T) {
	c := quicktest.New(t)
	api := newStore()
	w := startWatcher(c, api, nil)
	c.Assert(<-api.after, quicktest.Equals, uint64(0))
	api.watches <- configChange(encodedConfig(c, 5), 40)
	c.Assert(<-api.after, quicktest.Equals, uint64(40))
	api.object = store.Object{Key: conf.Key, Version: 3, Value: encodedConfig(c, 3)}
	api.watches <- store.Changes{Version: 3}
	c.Assert(<-api.after, quicktest.Equals, uint64(0))
	api.watches <- configChange(encodedConfig(c, 3), 3)
	<-w.StoreStale()
	c.Assert(<-api.after, quicktest.Equals, uint64(3))
	c.Assert(w.View.Load().Config.Revision, quicktest.Equals, uint64(5))
	api.watches <- configChange(encodedConfig(c, 6), 4)
	waitFor(w, func(s *view.Snapshot) bool { return s.Config.Revision == 6 })
}

func teamsChange(revision int, name string, version uint64) store.Changes {
	value := fmt.Appendf(nil, `{"revision":%d,"teams":[{"name":%q}]}`, revision, name)
	return store.Changes{Version: version, Objects: []store.Object{{Key: conf.TeamsKey, Version: version, Value: value}}}
}

// Guards against teams that are not served because they were written after a restore of
// the object API, whose versions are lower than those before; and against teams that the
// older copy brings back.
func TestTeamsWrittenAfterRestore(t *testing.T) {
	c := quicktest.New(t)
	api := newStore()
	w := startWatcher(c, api, nil)
	c.Assert(<-api.after, quicktest.Equals, uint64(0))
	api.watches <- teamsChange(7, "cantata", 40)
	c.Assert(<-api.after, quicktest.Equals, uint64(40))
	api.watches <- store.Changes{Version: 3}
	c.Assert(<-api.after, quicktest.Equals, uint64(0))
	api.watches <- teamsChange(6, "removed", 3)
	c.Assert(<-api.after, quicktest.Equals, uint64(3))
	c.Assert(w.View.Load().Teams.Teams[0].Name, quicktest.Equals, "cantata")
	api.watches <- teamsChange(8, "lyra", 4)
	c.Assert(<-api.after, quicktest.Equals, uint64(4))
	c.Assert(w.View.Load().Teams.Teams[0].Name, quicktest.Equals, "lyra")
	api.watches <- teamsChange(6, "removed", 50)
	c.Assert(<-api.after, quicktest.Equals, uint64(50))
	c.Assert(w.View.Load().Teams.Teams[0].Name, quicktest.Equals, "lyra")
}

// An entry host starts while the object API is down. Without the configuration,
// hosts and teams of its peers it would refuse every caller until the object API
// is back.
func TestSyncFromPeers(t *testing.T) {
	c := quicktest.New(t)
	api := newStore()
	api.hosts = host.List{}
	reply := &wire.ConfigReply{
		Object: encodedConfig(c, 4), Hosts: []byte(`{"revision":7,"hosts":[{"name":"e2","role":"entry"}]}`),
		Teams: []byte(`{"teams":[]}`), TeamsVersion: 2,
	}
	w := startWatcher(c, api, onePeer{reply})
	waitFor(w, func(s *view.Snapshot) bool {
		return s.Config != nil && s.Config.Revision == 4 && s.HostsRevision == 7 && s.Teams != nil
	})
}

// An entry host starts, and neither the object API nor a peer answers. It has no
// routes and must not count as synced, or it would be sent callers.
func TestNoSyncSource(t *testing.T) {
	c := quicktest.New(t)
	api := newStore()
	w := startWatcher(c, api, onePeer{})
	<-api.after
	c.Assert(w.HasSynced(), quicktest.IsFalse)
	c.Assert(w.EverConnected(), quicktest.IsFalse)
	api.watches <- configChange(encodedConfig(c, 1), 1)
	waitFor(w, func(s *view.Snapshot) bool { return s.Config != nil })
	c.Assert(w.HasSynced(), quicktest.IsFalse)
}

// The object API is restored from an older copy, and writes of other objects move
// its counter past the old version before the next watch. No event shows the
// restore; without a check of the object API, the newest lines would be lost with
// the last entry host that has them.
func TestStoreRestoredWithoutEvent(t *testing.T) {
	c := quicktest.New(t)
	api := newStore()
	w := startWatcher(c, api, nil)
	<-api.after
	api.watches <- configChange(encodedConfig(c, 5), 40)
	<-api.after
	api.object = store.Object{Key: conf.Key, Version: 3, Value: encodedConfig(c, 3)}
	api.watches <- store.Changes{Version: 50}
	<-w.StoreStale()
	c.Assert(w.View.Load().Config.Revision, quicktest.Equals, uint64(5))
}
