// Package source watches objects of the platform's object API and keeps mirrors of
// them up to date.
//
// One watch per kind waits for changes. A periodic stale read, which costs a tenth of
// other calls, detects a watch that no longer delivers changes although its connection
// is open. When the read fails, the object API counts as unavailable. When it succeeds
// again, or shows a change that the watch missed, all watches are restarted.
//
// When the object API was restored from an older copy, its revisions are given out
// again, and a watch that continued from one of them would miss changes. So the objects
// are listed again as soon as an answer is of a newer era than the mirror.
package source

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/mirror"
)

// ErrCompacted says that the changes after a revision have been compacted and are no
// longer available.
var ErrCompacted = errors.New("source: changes after the revision are compacted")

// ErrRestored says that the object API was restored from an older copy, so that the
// revision does not exist, or stands for another change.
var ErrRestored = errors.New("source: the object API was restored from an older copy")

// errStaleList says that a list is older than the mirror.
var errStaleList = errors.New("source: the list is older than what is known")

// Store is the part of the object API that is watched.
type Store interface {
	// List returns all objects of a kind, and the position of the list.
	List(ctx context.Context, kind string) ([]mirror.Object, mirror.Position, error)
	// Watch returns the changes after a position as soon as there are any, or none
	// when the wait ends. It fails with ErrCompacted if they are no longer available,
	// and with ErrRestored if the position is of an older era.
	Watch(ctx context.Context, kind string, after mirror.Position, wait time.Duration) (mirror.Batch, error)
	// StaleRevision returns the revision of one object, which may be seconds old, and
	// the era of the answer.
	StaleRevision(ctx context.Context, kind, name string) (mirror.Position, error)
}

// Timeouts and intervals.
const (
	// watchSlack is how much longer than its wait a watch may take to answer.
	watchSlack = 500 * time.Millisecond
	// listTimeout limits a list: megabytes, for hundreds of entry hosts that start
	// together, over one link.
	listTimeout = 20 * time.Second
	// fillCheckInterval is how often a watcher that waits for its first list checks
	// whether other entry hosts have sent the objects in the meantime.
	fillCheckInterval = 50 * time.Millisecond
	// watchPauseShare is the pause after a watch that returned changes, as a fraction
	// of WatchTimeout, so that a burst of changes costs one call. A backup adds a
	// random time up to the fraction backupJitterShare: meanwhile it usually receives
	// the next change from the primary.
	watchPauseShare   = 0.15
	backupJitterShare = 0.5
	// backupTimeoutFactor multiplies the watch timeout of a backup. Changes still
	// arrive at once; only a change that the watch misses is noticed later.
	backupTimeoutFactor = 3
	// roleCheckInterval is how often a passive entry host checks its role.
	roleCheckInterval = 200 * time.Millisecond
	// roleDelay is how long an entry host that has just started waits between its first
	// list and its first watch. By then it knows whether others of its failure domain watch.
	roleDelay = 500 * time.Millisecond
	// minBackoff and maxBackoff limit the exponential backoff after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Role is the role of an entry host among those of its failure domain that keep
// mirrors up to date.
type Role uint8

// Roles of an entry host.
const (
	// Primary watches and passes the changes on to other entry hosts.
	Primary Role = iota
	// Backup watches with longer timeouts and pauses.
	Backup
	// Passive does not watch, and gets the changes from other entry hosts.
	Passive
)

// Watcher keeps the mirror of one kind up to date. Set the exported fields before
// Run.
type Watcher struct {
	Store  Store
	Mirror *mirror.Mirror
	Log    *slog.Logger
	// OnChange is called after the mirror changed.
	OnChange func()
	// WatchTimeout is how long a watch waits for changes. A pending watch may miss a
	// change that is made while the object API compacts its history, and only the
	// next watch finds it. So this limits how late such a change is noticed.
	WatchTimeout time.Duration
	// Role returns the role of this entry host in its failure domain; nil means
	// Primary.
	Role func() Role

	mu sync.Mutex
	// cancel ends the current watch.
	cancel context.CancelFunc
	// relist says that the objects must be listed before the next watch.
	relist bool
}

// Run keeps the mirror up to date until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !w.Mirror.Cursor().IsZero() && w.role() == Passive {
			sleep(ctx, roleCheckInterval)
			continue
		}
		first := w.Mirror.Cursor().IsZero()
		err := w.poll(ctx)
		if first && err == nil && w.Role != nil {
			sleep(ctx, roleDelay)
		}
		if errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
			w.setRelist(true)
			err = nil
		}
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.Log.Warn("store: no answer", "kind", w.Mirror.Kind, "error", err, "pause", backoff)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// Restart cancels the current watch, so that a new one starts.
func (w *Watcher) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
}

// Relist cancels the current watch, and makes the watcher list the objects before it
// starts a new one.
func (w *Watcher) Relist() {
	w.setRelist(true)
	w.Restart()
}

// setRelist sets whether the objects must be listed before the next watch.
func (w *Watcher) setRelist(relist bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relist = relist
}

// needsList reports whether the objects must be listed before the next watch.
func (w *Watcher) needsList() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.relist || w.Mirror.Cursor().IsZero()
}

// poll lists the objects if that is needed. Otherwise it makes one Watch call.
func (w *Watcher) poll(ctx context.Context) error {
	if w.needsList() {
		return w.list(ctx)
	}
	timeout := w.timeout()
	ctx, cancel := context.WithTimeout(ctx, timeout+watchSlack)
	defer cancel()
	w.mu.Lock()
	w.cancel = cancel
	w.mu.Unlock()
	after := w.Mirror.Cursor()
	batch, err := w.Store.Watch(ctx, w.Mirror.Kind, after, timeout)
	if err != nil {
		if ctx.Err() == context.Canceled {
			// Restart cancelled the watch, or Run is stopping.
			return nil
		}
		return err
	}
	if w.Mirror.Merge(batch) {
		w.OnChange()
	}
	if len(batch.Items) > 0 {
		sleep(ctx, w.pause())
	}
	return nil
}

// timeout returns how long a watch waits for changes.
func (w *Watcher) timeout() time.Duration {
	if w.role() == Backup {
		return backupTimeoutFactor * w.WatchTimeout
	}
	return w.WatchTimeout
}

// pause returns how long to wait after a watch that returned changes.
func (w *Watcher) pause() time.Duration {
	pause := time.Duration(watchPauseShare * float64(w.WatchTimeout))
	if w.role() == Primary {
		return pause
	}
	return pause + rand.N(time.Duration(backupJitterShare*float64(w.WatchTimeout)))
}

func (w *Watcher) role() Role {
	if w.Role == nil {
		return Primary
	}
	return w.Role()
}

// list replaces the mirror's objects with a complete list.
func (w *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	w.setRelist(false)
	if w.Mirror.Cursor().IsZero() {
		go w.cancelWhenFilled(ctx, cancel)
	}
	known := w.Mirror.Cursor()
	items, cursor, err := w.Store.List(ctx, w.Mirror.Kind)
	if err != nil && !w.Mirror.Cursor().IsZero() && ctx.Err() == context.Canceled {
		// cancelWhenFilled cancelled the list.
		return nil
	}
	if err != nil {
		w.setRelist(true)
		return err
	}
	dropped, newer := w.Mirror.Replace(items, cursor)
	w.Log.Info("store: listed", "kind", w.Mirror.Kind, "objects", len(items), "era", cursor.Era, "revision", cursor.Revision,
		"known", known.Revision, "taken", newer, "dropped", len(dropped))
	if newer {
		w.OnChange()
		return nil
	}
	if known.After(cursor) {
		w.setRelist(true)
		return errStaleList
	}
	return nil
}

// cancelWhenFilled cancels the first list once other entry hosts have sent the objects.
func (w *Watcher) cancelWhenFilled(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if !w.Mirror.Cursor().IsZero() {
			cancel()
			return
		}
		sleep(ctx, fillCheckInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
