package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/team"
	"fuchsiashelf.dev/parts/view"
)

// errOld is why a watch that brought only old objects is asked again slowly.
var errOld = errors.New("the watch brings objects that it has brought before")

// watchObjects takes the configuration and the teams from a watch that goes
// on from the newest version received.
func (f *Watcher) watchObjects(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		changes, err := f.Store.Watch(ctx, conf.Prefix, after)
		if err != nil {
			f.failed(ctx, &f.objects, "objects", err)
			continue
		}
		if changes.Version < after {
			// The store's counter went back: it was restored from an older
			// copy. A watch from the old count would miss all new versions
			// up to it, without any error.
			f.Log.Error("watch: store went back", "from", after, "to", changes.Version)
			after = 0
			continue
		}
		// The next watch goes on from what has come, not from the store's
		// counter: with an answer from an older copy, the counter would
		// step over a version that never came.
		newest := after
		for _, o := range changes.Objects {
			f.take(ctx, o)
			newest = max(newest, o.Version)
		}
		if len(changes.Objects) > 0 && newest == after {
			f.failed(ctx, &f.objects, "objects", errOld)
			continue
		}
		after = newest
		f.listed.Store(true)
		f.answered(&f.objects, "objects")
		if len(changes.Objects) == 0 && rand.N(f.entries()) == 0 {
			f.compare(ctx)
		}
	}
}

func (f *Watcher) take(ctx context.Context, o store.Object) {
	switch o.Key {
	case conf.Key:
		c, err := conf.Decode(o.Value)
		if err != nil {
			f.Log.Error("watch: configuration unreadable", "err", err)
			return
		}
		if !f.Apply(c) && c.Revision < f.revision() {
			f.compare(ctx)
		}
	case conf.TeamsKey:
		f.offerTeams(o.Value, o.Version)
	}
}

// offerTeams takes a book of teams of a higher version.
func (f *Watcher) offerTeams(value []byte, version uint64) {
	book := &team.Directory{Version: version}
	if err := json.Unmarshal(value, book); err != nil {
		f.Log.Error("watch: teams unreadable", "err", err)
		return
	}
	f.View.Update(func(s *view.Snapshot) {
		if s.Teams == nil || s.Teams.Version < version {
			s.Teams = book
		}
	})
}

// entries is how many entry hosts there are, as far as is known. After a wait
// without news one of them on average reads the object anew: a store that was
// restored from an older copy sends no event, and its counter soon passes the
// old one by writes of other objects. All of them reading it each time would
// cost each node many times what it may spend on control.
func (f *Watcher) entries() int {
	if f.Peers == nil {
		return 1
	}
	return len(f.Peers.Others()) + 1
}

// compare reads the object anew, and raises an alarm if it lacks lines that
// are in force. An event of the watch alone does not show that, since events
// may lag behind what peers handed on.
func (f *Watcher) compare(ctx context.Context) {
	own := f.View.Load().Config
	o, err := f.Store.Get(ctx, conf.Key)
	if err != nil {
		return
	}
	c, err := conf.Decode(o.Value)
	if err != nil || c.DescendsFrom(own) {
		if err == nil && len(o.Value) > 0 {
			f.Apply(c)
		}
		return
	}
	metrics.GetOrRegisterCounter("watch.store_behind", nil).Inc(1)
	f.Log.Error("watch: store lacks lines that are in force, kept them", "held", c.Revision, "in_force", own.Revision)
	f.Trace.Record("watch", "", fmt.Sprintf("store holds revision %d, kept %d", c.Revision, own.Revision))
	f.MarkStoreStale()
}

func (f *Watcher) revision() uint64 {
	if c := f.View.Load().Config; c != nil {
		return c.Revision
	}
	return 0
}

// StoreStale receives when the store holds an older configuration than the one
// in force here, and the newer one has to be put back.
func (f *Watcher) StoreStale() <-chan struct{} {
	return f.behind
}

// MarkStoreStale makes Behind receive once more.
func (f *Watcher) MarkStoreStale() {
	select {
	case f.behind <- struct{}{}:
	default:
	}
}
