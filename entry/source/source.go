// Package source follows the objects of the platform's object API into
// mirrors.
//
// One watch waits for changes of each kind. A watch can fall silent for good,
// without an end of its connection, for one entry host alone; so an entry host that watches also reads
// possibly old data every second, which costs a tenth of a call. When that read
// fails, the object API counts as away; when it succeeds again, or shows
// something that the watch has not told, the watch is restarted.
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

// ErrHistory says that the changes after a revision are no longer known.
var ErrHistory = errors.New("source: history is gone")

// Store is the part of the object API that is followed.
type Store interface {
	// List returns all objects of a kind, and the revision of the list.
	List(ctx context.Context, kind string) ([]mirror.Item, uint64, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none when the wait ends. It fails with ErrHistory if they are forgotten.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (mirror.Batch, error)
	// Peek returns the revision of one object, perhaps seconds old.
	Peek(ctx context.Context, kind, name string) (uint64, error)
}

// The times of following.
const (
	// watchSlack is how much longer an answer may take.
	watchSlack = 500 * time.Millisecond
	// listTime bounds a list. One of 39 servers takes milliseconds; one of 3,000
	// is worked out to be three megabytes in six pages, which 300 entry hosts that
	// start together would fetch over one link of 1,000 Mbit/s in seven seconds.
	listTime = 20 * time.Second
	// filledEvery is how often an entry host that lists looks whether others
	// have told it everything meanwhile.
	filledEvery = 50 * time.Millisecond
	// peekTime bounds a peek, which takes milliseconds.
	peekTime = 500 * time.Millisecond
	// peekEvery bounds how long a silent object API goes unnoticed; a peek
	// costs a tenth of a call.
	peekEvery = time.Second
	// peekRelying is how often an entry host peeks for which others follow: only
	// those that follow, or are about to, need to know at once whether the object
	// API answers.
	peekRelying = 4 * time.Second
	// pauseShare of the time that a watch waits follows one that told of changes,
	// before the next one, so that changes in a row cost one call. A backup pauses
	// longer, by up to backupShare at random: meanwhile the main watcher hands it
	// what changes, and it need not ask.
	pauseShare  = 0.15
	backupShare = 0.5
	// reliesFor is how often an entry host that relies on others looks whether
	// it still may.
	reliesFor = 200 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed call. It
	// doubles, so that an outage costs a call a second.
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
)

// Role is what an entry host does to follow the objects for its failure domain.
type Role uint8

// The roles.
const (
	// Main watches and hands on what changes.
	Main Role = iota
	// Backup watches as well, less eagerly.
	Backup
	// Relying makes no calls of its own while others watch.
	Relying
)

// Follow keeps the mirror of one kind up to date. Set the exported fields
// before Run.
type Follow struct {
	Store  Store
	Mirror *mirror.Mirror
	Log    *slog.Logger
	// Changed is called after the mirror changed.
	Changed func()
	// Wait is how long a watch waits. A watch may hear nothing of a change that
	// is made while the object API drops its history, without being ended, so this
	// bounds how late the change is noticed. Each watch is a priced call.
	Wait time.Duration
	// Role returns what this entry host does for its failure domain; nil means
	// Main.
	Role func() Role

	mu     sync.Mutex
	cancel context.CancelFunc
}

// Run follows until the context ends.
func (f *Follow) Run(ctx context.Context) {
	pause := firstPause
	again := f.Mirror.Cursor() == 0
	for ctx.Err() == nil {
		if f.Mirror.Cursor() > 0 && f.role() == Relying {
			rest(ctx, reliesFor)
			continue
		}
		err := f.step(ctx, again)
		again = errors.Is(err, ErrHistory) || f.Mirror.Cursor() == 0
		if err == nil || errors.Is(err, ErrHistory) {
			pause = firstPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.Log.Warn("store: no answer", "kind", f.Mirror.Kind, "error", err, "pause", pause)
		rest(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, longestPause)
	}
}

// Nudge cancels the current watch and starts a new one.
func (f *Follow) Nudge() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *Follow) step(ctx context.Context, whole bool) error {
	if whole {
		return f.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.Wait+watchSlack)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	after := f.Mirror.Cursor()
	b, err := f.Store.Watch(ctx, f.Mirror.Kind, after, f.Wait)
	if err != nil {
		if ctx.Err() == context.Canceled {
			return nil
		}
		return err
	}
	if f.Mirror.Merge(b) {
		f.Changed()
	}
	if len(b.Items) > 0 {
		rest(ctx, f.pause())
	}
	return nil
}

// pause returns how long to wait after a watch that told of changes.
func (f *Follow) pause() time.Duration {
	pause := time.Duration(pauseShare * float64(f.Wait))
	if f.role() == Main {
		return pause
	}
	return pause + rand.N(time.Duration(backupShare*float64(f.Wait)))
}

func (f *Follow) role() Role {
	if f.Role == nil {
		return Main
	}
	return f.Role()
}

func (f *Follow) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	if f.Mirror.Cursor() == 0 {
		go f.untilFilled(ctx, cancel)
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
		f.Changed()
	}
	return nil
}

// untilFilled ends a list when other entry hosts have told everything: what
// they have read need not be read again.
func (f *Follow) untilFilled(ctx context.Context, end context.CancelFunc) {
	for ctx.Err() == nil {
		if f.Mirror.Cursor() > 0 {
			end()
			return
		}
		rest(ctx, filledEvery)
	}
}

// Pulse tells whether the object API answers. Set the exported fields before
// Run.
type Pulse struct {
	Store Store
	// Kind and Name are the object that is read; Mirror is that of its kind.
	Kind, Name string
	Mirror     *mirror.Mirror
	Follows    []*Follow
	Log        *slog.Logger
	// Returned is called when the object API answers again.
	Returned func()
	// Role returns what this entry host does for its failure domain; nil means
	// Main.
	Role func() Role

	mu    sync.Mutex
	alive bool
	seen  time.Time
}

// Alive reports whether the last read was answered, and when the last answer
// came.
func (p *Pulse) Alive() (bool, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alive, p.seen
}

// Run reads until the context ends.
func (p *Pulse) Run(ctx context.Context) {
	p.set(true)
	var last time.Time
	for ctx.Err() == nil {
		rest(ctx, peekEvery)
		if p.rests() && time.Since(last) < peekRelying {
			continue
		}
		last = time.Now()
		p.beat(ctx)
	}
}

// rests reports whether others follow for this entry host. One that the object
// API does not answer looks for its return itself.
func (p *Pulse) rests() bool {
	alive, _ := p.Alive()
	return alive && p.Role != nil && p.Role() == Relying
}

func (p *Pulse) beat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peekTime)
	defer cancel()
	revision, err := p.Store.Peek(ctx, p.Kind, p.Name)
	was := p.set(err == nil)
	switch {
	case err != nil && was:
		p.Log.Warn("store: lost", "error", err)
	case err == nil && !was:
		p.Log.Info("store: regained")
		p.Returned()
		p.nudge()
	case err == nil && revision > p.Mirror.Cursor():
		p.Log.Warn("store: a watch missed a change", "revision", revision, "cursor", p.Mirror.Cursor())
		p.nudge()
	}
}

func (p *Pulse) nudge() {
	for _, f := range p.Follows {
		f.Nudge()
	}
}

func (p *Pulse) set(alive bool) (was bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	was = p.alive
	p.alive = alive
	if alive {
		p.seen = time.Now()
	}
	return was
}

func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
