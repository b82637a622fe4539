// Package source follows the objects of the platform's object API into
// mirrors.
//
// One watch waits for changes of each kind. A periodic stale read, which costs a
// tenth of a call, detects a watch that has stopped delivering without an end of
// its connection. When the read fails, the object API counts as away; when it
// succeeds again, or shows a change that the watch missed, the watch is
// restarted.
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

// ErrCompacted says that the changes after a revision are no longer known.
var ErrCompacted = errors.New("source: history is gone")

// Store is the part of the object API that is followed.
type Store interface {
	// List returns all objects of a kind, and the revision of the list.
	List(ctx context.Context, kind string) ([]mirror.Object, uint64, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none when the wait ends. It fails with ErrHistory if they are forgotten.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (mirror.Batch, error)
	// StaleRevision returns the revision of one object, perhaps seconds old.
	StaleRevision(ctx context.Context, kind, name string) (uint64, error)
}

// Timeouts and intervals.
const (
	// watchSlack is how much longer an answer may take.
	watchSlack = 500 * time.Millisecond
	// listTimeout bounds a list: megabytes, for hundreds of entry hosts that start
	// together, over one link.
	listTimeout = 20 * time.Second
	// fillCheckInterval is how often a list is checked for being superseded by the
	// state of other entry hosts.
	fillCheckInterval = 50 * time.Millisecond
	// readTimeout bounds a stale read.
	readTimeout = 500 * time.Millisecond
	// readInterval is the interval of the stale reads, and bounds how long a silent
	// object API goes unnoticed.
	readInterval = time.Second
	// passiveReadInterval is the interval while others follow for this entry host: only
	// followers need to know at once that the object API does not answer.
	passiveReadInterval = 4 * time.Second
	// watchPauseShare of Wait is the pause after a watch that returned changes, so that
	// a burst of changes costs one call. A backup adds up to backupShare at random:
	// it usually receives the next change from the main follower.
	watchPauseShare   = 0.15
	backupJitterShare = 0.5
	// backupTimeoutFactor multiplies the wait of a backup's watch. Changes still arrive at
	// once; only a watch that has stopped delivering is noticed later.
	backupTimeoutFactor = 3
	// roleCheckInterval is how often a relying entry host checks its role.
	roleCheckInterval = 200 * time.Millisecond
	// minBackoff and longestPause bound the exponential backoff after a failed
	// call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Role is the part of an entry host in following objects for its failure domain.
type Role uint8

// The roles.
const (
	// Primary watches and distributes the changes.
	Primary Role = iota
	// Backup watches with longer pauses.
	Backup
	// Passive makes no calls of its own while others watch.
	Passive
)

// Watcher keeps the mirror of one kind up to date. Set the exported fields
// before Run.
type Watcher struct {
	Store  Store
	Mirror *mirror.Mirror
	Log    *slog.Logger
	// OnChange is called after the mirror changed.
	OnChange func()
	// WatchTimeout is how long a watch waits. A watch may miss a change that is made while
	// the object API drops its history, so this bounds how late it is noticed.
	WatchTimeout time.Duration
	// Role returns what this entry host does for its failure domain; nil means
	// Main.
	Role func() Role

	mu     sync.Mutex
	cancel context.CancelFunc
}

// Run follows until the context ends.
func (f *Watcher) Run(ctx context.Context) {
	pause := minBackoff
	again := f.Mirror.Cursor() == 0
	for ctx.Err() == nil {
		if f.Mirror.Cursor() > 0 && f.role() == Passive {
			sleep(ctx, roleCheckInterval)
			continue
		}
		err := f.poll(ctx, again)
		again = errors.Is(err, ErrCompacted) || f.Mirror.Cursor() == 0
		if err == nil || errors.Is(err, ErrCompacted) {
			pause = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.Log.Warn("store: no answer", "kind", f.Mirror.Kind, "error", err, "pause", pause)
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxBackoff)
	}
}

// Restart cancels the current watch and starts a new one.
func (f *Watcher) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *Watcher) poll(ctx context.Context, whole bool) error {
	if whole {
		return f.list(ctx)
	}
	wait := f.timeout()
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	after := f.Mirror.Cursor()
	b, err := f.Store.Watch(ctx, f.Mirror.Kind, after, wait)
	if err != nil {
		if ctx.Err() == context.Canceled {
			return nil
		}
		return err
	}
	if f.Mirror.Merge(b) {
		f.OnChange()
	}
	if len(b.Items) > 0 {
		sleep(ctx, f.pause())
	}
	return nil
}

// timeout returns how long a watch waits for changes.
func (f *Watcher) timeout() time.Duration {
	if f.role() == Backup {
		return backupTimeoutFactor * f.WatchTimeout
	}
	return f.WatchTimeout
}

// pause returns how long to wait after a watch that returned changes.
func (f *Watcher) pause() time.Duration {
	pause := time.Duration(watchPauseShare * float64(f.WatchTimeout))
	if f.role() == Primary {
		return pause
	}
	return pause + rand.N(time.Duration(backupJitterShare*float64(f.WatchTimeout)))
}

func (f *Watcher) role() Role {
	if f.Role == nil {
		return Primary
	}
	return f.Role()
}

func (f *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if f.Mirror.Cursor() == 0 {
		go f.cancelWhenFilled(ctx, cancel)
	}
	items, cursor, err := f.Store.List(ctx, f.Mirror.Kind)
	if err != nil && f.Mirror.Cursor() > 0 && ctx.Err() == context.Canceled {
		return nil
	}
	if err != nil {
		return err
	}
	dropped, newer := f.Mirror.Replace(items, cursor)
	f.Log.Info("store: listed", "kind", f.Mirror.Kind, "objects", len(items), "revision", cursor, "dropped", len(dropped))
	if newer {
		f.OnChange()
	}
	return nil
}

// cancelWhenFilled cancels a list once other entry hosts have sent the objects.
func (f *Watcher) cancelWhenFilled(ctx context.Context, end context.CancelFunc) {
	for ctx.Err() == nil {
		if f.Mirror.Cursor() > 0 {
			end()
			return
		}
		sleep(ctx, fillCheckInterval)
	}
}

// Monitor tells whether the object API answers. Set the exported fields before
// Run.
type Monitor struct {
	Store Store
	// Kind and Name are the object that is read; Mirror is that of its kind.
	Kind, Name string
	Mirror     *mirror.Mirror
	Watchers   []*Watcher
	Log        *slog.Logger
	// OnRecovery is called when the object API answers again.
	OnRecovery func()
	// Role returns what this entry host does for its failure domain; nil means
	// Main.
	Role func() Role

	mu         sync.Mutex
	alive      bool
	lastAnswer time.Time
}

// Alive reports whether the last read was answered, and when the last answer
// came.
func (p *Monitor) Alive() (bool, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alive, p.lastAnswer
}

// Run reads until the context ends.
func (p *Monitor) Run(ctx context.Context) {
	p.setAlive(true)
	var last time.Time
	for ctx.Err() == nil {
		sleep(ctx, readInterval)
		if p.passive() && time.Since(last) < passiveReadInterval {
			continue
		}
		last = time.Now()
		p.check(ctx)
	}
}

// passive reports whether others follow for this entry host and the object API
// answered the last read. In an outage every entry host checks for its end.
func (p *Monitor) passive() bool {
	alive, _ := p.Alive()
	return alive && p.Role != nil && p.Role() == Passive
}

func (p *Monitor) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	revision, err := p.Store.StaleRevision(ctx, p.Kind, p.Name)
	was := p.setAlive(err == nil)
	switch {
	case err != nil && was:
		p.Log.Warn("store: lost", "error", err)
	case err == nil && !was:
		p.Log.Info("store: regained")
		p.OnRecovery()
		p.restartWatches()
	case err == nil && revision > p.Mirror.Cursor():
		p.Log.Warn("store: a watch missed a change", "revision", revision, "cursor", p.Mirror.Cursor())
		p.restartWatches()
	}
}

func (p *Monitor) restartWatches() {
	for _, f := range p.Watchers {
		f.Restart()
	}
}

func (p *Monitor) setAlive(alive bool) (was bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was = p.alive
	p.alive = alive
	if alive {
		p.lastAnswer = time.Now()
	}
	return was
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
