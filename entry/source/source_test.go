package source_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/source"
	"fuchsiashelf.dev/parts/mirror"
)

// store answers by functions.
type store struct {
	mu    sync.Mutex
	list  func() ([]mirror.Object, uint64, error)
	watch func(ctx context.Context, after uint64) (mirror.Batch, error)
	peek  func() (uint64, error)
}

func (s *store) List(context.Context, string) ([]mirror.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list()
}

func (s *store) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (mirror.Batch, error) {
	return s.watch(ctx, after)
}

func (s *store) StaleRevision(context.Context, string, string) (uint64, error) {
	return s.peek()
}

func follow(t *testing.T, s source.Store) (*source.Watcher, chan struct{}) {
	changed := make(chan struct{}, 100)
	f := &source.Watcher{
		Store: s, Mirror: &mirror.Mirror{Kind: "k"}, Log: slog.New(slog.DiscardHandler),
		OnChange: func() { changed <- struct{}{} }, WatchTimeout: 10 * time.Second,
	}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		end()
		<-done
	})
	return f, changed
}

// The object API has forgotten the changes since the last one that was seen. A
// watch alone would never learn of them.
func TestForgottenHistoryIsListedAnew(t *testing.T) {
	revision := uint64(5)
	s := &store{}
	s.list = func() ([]mirror.Object, uint64, error) {
		revision += 5
		return []mirror.Object{{Name: "a", Revision: revision}}, revision, nil
	}
	first := true
	s.watch = func(ctx context.Context, after uint64) (mirror.Batch, error) {
		if first {
			first = false
			return mirror.Batch{}, source.ErrCompacted
		}
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	f, changed := follow(t, s)
	<-changed
	<-changed
	qt.Assert(t, f.Mirror.Cursor(), qt.Equals, uint64(15))
}

// A watch falls silent for good, without an end of its connection. Nobody would
// notice for as long as it may wait; a peek that shows something newer does.
func TestSilentWatchIsBegunAnew(t *testing.T) {
	s := &store{list: func() ([]mirror.Object, uint64, error) { return nil, 5, nil }, peek: func() (uint64, error) { return 9, nil }}
	watches := make(chan struct{}, 100)
	s.watch = func(ctx context.Context, after uint64) (mirror.Batch, error) {
		watches <- struct{}{}
		if len(watches) < 2 {
			<-ctx.Done()
			return mirror.Batch{}, ctx.Err()
		}
		return mirror.Batch{Kind: "k", After: after, Cursor: 9, Items: []mirror.Object{{Name: "a", Revision: 9}}}, nil
	}
	f, changed := follow(t, s)
	<-changed
	p := &source.Monitor{
		Store: s, Kind: "k", Name: "a", Mirror: f.Mirror, Watchers: []*source.Watcher{f}, Log: slog.New(slog.DiscardHandler), OnRecovery: func() {},
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go p.Run(ctx)
	<-changed
	qt.Assert(t, f.Mirror.Cursor(), qt.Equals, uint64(9))
}

// The object API answers again after an outage. What lapsed meanwhile must not
// be taken for gone.
func TestReturnIsTold(t *testing.T) {
	returned := make(chan struct{}, 1)
	calls := 0
	s := &store{peek: func() (uint64, error) {
		calls++
		if calls == 1 {
			return 0, errors.New("away")
		}
		return 0, nil
	}}
	p := &source.Monitor{
		Store: s, Mirror: &mirror.Mirror{}, Log: slog.New(slog.DiscardHandler),
		OnRecovery: func() { returned <- struct{}{} },
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go p.Run(ctx)
	<-returned
	alive, _ := p.Alive()
	qt.Assert(t, alive, qt.IsTrue)
}

// hung is a store whose lists never end.
type hung struct{ store }

func (h *hung) List(ctx context.Context, _ string) ([]mirror.Object, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// An entry host starts while the object API is silent for it alone, and hears
// everything from others. It would wait for its own list before it follows the
// changes.
func TestListEndsWhenOthersToldEverything(t *testing.T) {
	watched := make(chan uint64, 10)
	s := &hung{store{watch: func(ctx context.Context, after uint64) (mirror.Batch, error) {
		watched <- after
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}}}
	f, _ := follow(t, s)
	f.Mirror.Replace([]mirror.Object{{Name: "a", Revision: 7}}, 7)
	qt.Assert(t, <-watched, qt.Equals, uint64(7))
}

// A change is made while the object API drops its history. The watch that waits
// hears nothing of it and is not ended, and old keys and routes would be served
// for as long as it waits.
func TestDeafWatchIsBegunAnewSoon(t *testing.T) {
	watched := make(chan uint64, 10)
	s := &store{
		list: func() ([]mirror.Object, uint64, error) { return nil, 5, nil },
		watch: func(ctx context.Context, after uint64) (mirror.Batch, error) {
			watched <- after
			<-ctx.Done()
			return mirror.Batch{}, ctx.Err()
		},
	}
	f := &source.Watcher{
		Store: s, Mirror: &mirror.Mirror{Kind: "k"}, Log: slog.New(slog.DiscardHandler), OnChange: func() {},
		WatchTimeout: time.Millisecond,
	}
	ctx, end := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	for range 3 {
		qt.Assert(t, <-watched, qt.Equals, uint64(5))
	}
	end()
	<-done
}

// Guards against calls to the object API that grow with the number of entry
// hosts: each change, and each second at rest, would cost as many as there are.
func TestCallsAtRest(t *testing.T) {
	for _, role := range []source.Role{source.Primary, source.Passive} {
		synctest.Test(t, func(t *testing.T) {
			peeks := 0
			p := &source.Monitor{
				Store: &store{peek: func() (uint64, error) { peeks++; return 0, nil }}, Mirror: &mirror.Mirror{},
				Log: slog.New(slog.DiscardHandler), OnRecovery: func() {}, Role: func() source.Role { return role },
			}
			ctx, end := context.WithCancel(t.Context())
			go p.Run(ctx)
			time.Sleep(time.Minute)
			end()
			synctest.Wait()
			if role == source.Passive {
				qt.Check(t, peeks <= 15, qt.IsTrue, qt.Commentf("%d peeks a minute", peeks))
				return
			}
			qt.Check(t, peeks >= 58, qt.IsTrue, qt.Commentf("%d peeks a minute", peeks))
		})
	}
}

// Guards against a backup that asks for each of some changes in a row, which the
// main watcher has handed to it.
func TestBackupAsksForFewChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const followers, changes, gap = 2, 40, 250 * time.Millisecond
		c := &changing{changed: make(chan struct{})}
		ctx, end := context.WithCancel(t.Context())
		var list []*source.Watcher
		for i := range followers {
			f := &source.Watcher{Store: c, Mirror: &mirror.Mirror{Kind: "k"}, Log: slog.New(slog.DiscardHandler), WatchTimeout: 2 * time.Second}
			f.Role = func() source.Role { return source.Role(i) }
			// What one hears is handed to the others at once.
			f.OnChange = func() {
				for _, other := range list {
					if b, _ := f.Mirror.Since(other.Mirror.Cursor()); other != f && b.Cursor > other.Mirror.Cursor() {
						other.Mirror.Merge(b)
					}
				}
			}
			list = append(list, f)
		}
		c.change()
		for _, f := range list {
			go f.Run(ctx)
		}
		for range changes {
			time.Sleep(gap)
			c.change()
		}
		calls := c.watches()
		time.Sleep(time.Second)
		for _, f := range list {
			qt.Check(t, f.Mirror.Cursor(), qt.Equals, c.revision)
		}
		qt.Check(t, calls <= changes*3/2, qt.IsTrue, qt.Commentf("%d watches for %d changes", calls, changes))
		end()
		synctest.Wait()
	})
}

// changing is a store with an object that changes now and then.
type changing struct {
	mu       sync.Mutex
	revision uint64
	changed  chan struct{}
	calls    int
}

func (c *changing) change() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	close(c.changed)
	c.changed = make(chan struct{})
}

// watches returns how many calls there were.
func (c *changing) watches() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *changing) List(context.Context, string) ([]mirror.Object, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []mirror.Object{{Name: "a", Revision: c.revision}}, c.revision, nil
}

func (c *changing) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (mirror.Batch, error) {
	c.mu.Lock()
	c.calls++
	revision, changed := c.revision, c.changed
	c.mu.Unlock()
	if revision <= after {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return mirror.Batch{}, ctx.Err()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return mirror.Batch{Kind: "k", After: after, Cursor: c.revision, Items: []mirror.Object{{Name: "a", Revision: c.revision}}}, nil
}

func (c *changing) StaleRevision(context.Context, string, string) (uint64, error) {
	return 0, nil
}

// waiting is a store that notes how long watches wait.
type waiting struct {
	store
	waits chan time.Duration
}

func (w *waiting) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (mirror.Batch, error) {
	w.waits <- wait
	<-ctx.Done()
	return mirror.Batch{}, ctx.Err()
}

// Guards against calls of backups that only ask whether there is nothing new, and
// against a main follower whose deaf watch is noticed late.
func TestBackupWaitsLonger(t *testing.T) {
	for role, want := range map[source.Role]time.Duration{source.Primary: time.Second, source.Backup: 3 * time.Second} {
		s := &waiting{waits: make(chan time.Duration, 1)}
		m := &mirror.Mirror{Kind: "k"}
		m.Replace(nil, 5)
		f := &source.Watcher{
			Store: s, Mirror: m, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, WatchTimeout: time.Second,
			Role: func() source.Role { return role },
		}
		ctx, end := context.WithCancel(t.Context())
		go f.Run(ctx)
		qt.Check(t, <-s.waits, qt.Equals, want)
		end()
	}
}
