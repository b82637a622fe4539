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

// errOldObjects is the failure of a watch that returned only objects received
// before. Like any failure, it is retried after a delay, which keeps the watch
// from spinning.
var errOldObjects = errors.New("watch returned only objects that were received before")

// watchObjects applies the configuration and the teams from a watch that resumes
// after the newest version received.
func (w *Watcher) watchObjects(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		changes, err := w.Store.Watch(ctx, conf.Prefix, after)
		if err != nil {
			w.recordFailure(ctx, &w.objects, "objects", err)
			continue
		}
		if changes.Version < after {
			// The version counter of the object API decreased, so it was restored
			// from an older copy. A watch from the old version would miss all new
			// versions up to it, without any error.
			w.Log.Error("watch: store version decreased", "from", after, "to", changes.Version)
			after = 0
			continue
		}
		// The next watch resumes after the newest object received, not after the
		// object API's counter: if the answer comes from an older copy, the
		// counter would skip a version that was never received.
		newest := after
		for _, o := range changes.Objects {
			w.applyObject(ctx, o)
			newest = max(newest, o.Version)
		}
		if len(changes.Objects) > 0 && newest == after {
			w.recordFailure(ctx, &w.objects, "objects", errOldObjects)
			continue
		}
		after = newest
		w.objectsReceived.Store(true)
		w.recordSuccess(&w.objects, "objects")
		if len(changes.Objects) == 0 && rand.N(w.entryHosts()) == 0 {
			w.checkStore(ctx)
		}
	}
}

// applyObject applies an object received from the object API. If the
// configuration is older than the one in force, the object API is checked.
func (w *Watcher) applyObject(ctx context.Context, o store.Object) {
	switch o.Key {
	case conf.Key:
		c, err := conf.Decode(o.Value)
		if err != nil {
			w.Log.Error("watch: cannot decode configuration", "err", err)
			return
		}
		if !w.Apply(c) && c.Revision < w.revision() {
			w.checkStore(ctx)
		}
	case conf.TeamsKey:
		w.applyTeams(o.Value, o.Version)
	}
}

// applyTeams applies encoded teams unless those in force are as new.
func (w *Watcher) applyTeams(value []byte, version uint64) {
	teams := &team.Directory{Version: version}
	if err := json.Unmarshal(value, teams); err != nil {
		w.Log.Error("watch: cannot decode teams", "err", err)
		return
	}
	var inForce *team.Directory
	w.View.Update(func(s *view.Snapshot) {
		inForce = s.Teams
		if teams.Supersedes(inForce) {
			s.Teams = teams
		}
	})
	if inForce != nil && inForce.Supersedes(teams) {
		w.Log.Warn("watch: teams not applied: older than those in force", "revision", teams.Revision, "version", version, "in_force", inForce.Revision)
	}
}

// entryHosts returns the number of known entry hosts, including this one. After
// each watch without changes, one of them on average reads the configuration from
// the object API, since a restore of the object API from an older copy causes no
// event, and writes of other objects soon move its counter past the old version.
// If every entry host read it each time, the nodes of the object API would exceed
// their budget for control traffic many times over.
func (w *Watcher) entryHosts() int {
	if w.Peers == nil {
		return 1
	}
	return len(w.Peers.Others()) + 1
}

// checkStore reads the configuration from the object API, and reports it as stale
// if it lacks lines that are in force. An old configuration from the watch does
// not prove that, since the watch may lag behind what peers have passed on.
func (w *Watcher) checkStore(ctx context.Context) {
	current := w.View.Load().Config
	o, err := w.Store.Get(ctx, conf.Key)
	if err != nil {
		return
	}
	c, err := conf.Decode(o.Value)
	if err != nil || c.DescendsFrom(current) {
		if err == nil && len(o.Value) > 0 {
			w.Apply(c)
		}
		return
	}
	metrics.GetOrRegisterCounter("watch.store_behind", nil).Inc(1)
	w.Log.Error("watch: store lacks lines in force, keeping them", "held", c.Revision, "in_force", current.Revision)
	w.Trace.Record("watch", "", fmt.Sprintf("store holds revision %d, kept %d", c.Revision, current.Revision))
	w.MarkStoreStale()
}

// revision returns the revision of the configuration in force, or 0 for none.
func (w *Watcher) revision() uint64 {
	if c := w.View.Load().Config; c != nil {
		return c.Revision
	}
	return 0
}

// StoreStale returns a channel that receives a value when the object API holds an
// older configuration than the one in force here, which then has to be written
// back.
func (w *Watcher) StoreStale() <-chan struct{} {
	return w.storeStale
}

// MarkStoreStale sends a value to the channel of StoreStale, unless one is
// pending.
func (w *Watcher) MarkStoreStale() {
	select {
	case w.storeStale <- struct{}{}:
	default:
	}
}
