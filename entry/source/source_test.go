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

// store implements source.Store with functions.
type store struct {
	mu    sync.Mutex
	list  func() ([]mirror.Object, mirror.Position, error)
	watch func(ctx context.Context, after mirror.Position) (mirror.Batch, error)
	read  func() (mirror.Position, error)
}

func (s *store) List(context.Context, string) ([]mirror.Object, mirror.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list()
}

func (s *store) Watch(ctx context.Context, _ string, after mirror.Position, _ time.Duration) (mirror.Batch, error) {
	return s.watch(ctx, after)
}

func (s *store) StaleRevision(context.Context, string, string) (mirror.Position, error) {
	return s.read()
}

// startWatcher runs a watcher of the store until the test ends. Changes of its mirror
// are sent on the channel.
func startWatcher(t *testing.T, s source.Store) (*source.Watcher, chan struct{}) {
	changed := make(chan struct{}, 100)
	w := &source.Watcher{
		Store: s, Mirror: &mirror.Mirror{Kind: "k"}, Log: slog.New(slog.DiscardHandler),
		OnChange: func() { changed <- struct{}{} }, WatchTimeout: 10 * time.Second,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w, changed
}

// Guards against missing changes for good that the object API has compacted: only a
// new list contains them.
func TestCompactedHistoryIsRelisted(t *testing.T) {
	revision := uint64(5)
	s := &store{}
	s.list = func() ([]mirror.Object, mirror.Position, error) {
		revision += 5
		return []mirror.Object{{Name: "a", Revision: revision}}, mirror.Position{Revision: revision}, nil
	}
	first := true
	s.watch = func(ctx context.Context, after mirror.Position) (mirror.Batch, error) {
		if first {
			first = false
			return mirror.Batch{}, source.ErrCompacted
		}
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	w, changed := startWatcher(t, s)
	<-changed
	<-changed
	qt.Assert(t, w.Mirror.Cursor().Revision, qt.Equals, uint64(15))
}

// Guards against a watch that continues from a revision which a restored object API has
// given out again, so that the changes before it are missed.
func TestRestoreIsRelisted(t *testing.T) {
	lists := []mirror.Position{{Era: 1, Revision: 90}, {Era: 2, Revision: 40}}
	s := &store{}
	s.list = func() ([]mirror.Object, mirror.Position, error) {
		at := lists[0]
		lists = lists[1:]
		return []mirror.Object{{Name: "a", Revision: at.Revision}}, at, nil
	}
	s.watch = func(ctx context.Context, after mirror.Position) (mirror.Batch, error) {
		if after.Era == 1 {
			return mirror.Batch{}, source.ErrRestored
		}
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	w, changed := startWatcher(t, s)
	<-changed
	<-changed
	qt.Assert(t, w.Mirror.Cursor(), qt.Equals, mirror.Position{Era: 2, Revision: 40})
}

// Guards against a pending watch that hides a restore of the object API until its wait
// is over.
func TestReadOfNewerEraRelists(t *testing.T) {
	var mu sync.Mutex
	era := uint64(1)
	current := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return era
	}
	s := &store{read: func() (mirror.Position, error) { return mirror.Position{Era: current(), Revision: 5}, nil }}
	s.list = func() ([]mirror.Object, mirror.Position, error) {
		return nil, mirror.Position{Era: current(), Revision: 5}, nil
	}
	s.watch = func(ctx context.Context, _ mirror.Position) (mirror.Batch, error) {
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	w, changed := startWatcher(t, s)
	<-changed
	recovered := make(chan struct{}, 1)
	m := &source.Monitor{
		Store: s, Mirror: w.Mirror, Watchers: []*source.Watcher{w}, Log: slog.New(slog.DiscardHandler),
		OnRecovery: func() { recovered <- struct{}{} },
	}
	go m.Run(t.Context())
	for m.Era() != 1 {
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	era = 2
	mu.Unlock()
	<-recovered
	<-changed
	qt.Assert(t, w.Mirror.Cursor(), qt.Equals, mirror.Position{Era: 2, Revision: 5})
}

// Guards against lists in a tight loop when each is older than what is known.
func TestStaleListsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lists := 0
		s := &store{
			list: func() ([]mirror.Object, mirror.Position, error) {
				lists++
				return nil, mirror.Position{Era: 1, Revision: 40}, nil
			},
			watch: func(context.Context, mirror.Position) (mirror.Batch, error) {
				return mirror.Batch{}, source.ErrCompacted
			},
		}
		w := &source.Watcher{
			Store: s, Mirror: &mirror.Mirror{Kind: "k"}, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, WatchTimeout: time.Second,
		}
		w.Mirror.Replace(nil, mirror.Position{Era: 1, Revision: 90})
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		qt.Check(t, lists <= 25, qt.IsTrue, qt.Commentf("%d lists in 10 s", lists))
	})
}

// Guards against a watch that no longer delivers changes while its connection stays
// open: without the stale read, which shows a newer revision, this would go unnoticed
// for the whole watch timeout.
func TestStalledWatchIsRestarted(t *testing.T) {
	s := &store{list: func() ([]mirror.Object, mirror.Position, error) { return nil, mirror.Position{Revision: 5}, nil }, read: func() (mirror.Position, error) { return mirror.Position{Revision: 9}, nil }}
	watches := make(chan struct{}, 100)
	s.watch = func(ctx context.Context, after mirror.Position) (mirror.Batch, error) {
		watches <- struct{}{}
		if len(watches) < 2 {
			<-ctx.Done()
			return mirror.Batch{}, ctx.Err()
		}
		return mirror.Batch{Kind: "k", After: after.Revision, Cursor: 9, Items: []mirror.Object{{Name: "a", Revision: 9}}}, nil
	}
	w, changed := startWatcher(t, s)
	<-changed
	m := &source.Monitor{
		Store: s, Kind: "k", Name: "a", Mirror: w.Mirror, Watchers: []*source.Watcher{w}, Log: slog.New(slog.DiscardHandler), OnRecovery: func() {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	<-changed
	qt.Assert(t, w.Mirror.Cursor().Revision, qt.Equals, uint64(9))
}

// Guards against treating entries that expired during an outage as removed: the owner
// of the monitor must learn that the object API answers again.
func TestRecoveryIsReported(t *testing.T) {
	recovered := make(chan struct{}, 1)
	calls := 0
	s := &store{read: func() (mirror.Position, error) {
		calls++
		if calls == 1 {
			return mirror.Position{}, errors.New("unavailable")
		}
		return mirror.Position{}, nil
	}}
	m := &source.Monitor{
		Store: s, Mirror: &mirror.Mirror{}, Log: slog.New(slog.DiscardHandler),
		OnRecovery: func() { recovered <- struct{}{} },
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	<-recovered
	alive, _ := m.Alive()
	qt.Assert(t, alive, qt.IsTrue)
}

// hangingLists is a store whose lists never return.
type hangingLists struct{ store }

func (h *hangingLists) List(ctx context.Context, _ string) ([]mirror.Object, mirror.Position, error) {
	<-ctx.Done()
	return nil, mirror.Position{}, ctx.Err()
}

// Guards against an entry host that the object API does not answer at its start, and
// that waits for its own list although others have sent it all objects.
func TestListEndsWhenMirrorIsFilled(t *testing.T) {
	watched := make(chan uint64, 10)
	s := &hangingLists{store{watch: func(ctx context.Context, after mirror.Position) (mirror.Batch, error) {
		watched <- after.Revision
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}}}
	w, _ := startWatcher(t, s)
	w.Mirror.Replace([]mirror.Object{{Name: "a", Revision: 7}}, mirror.Position{Revision: 7})
	qt.Assert(t, <-watched, qt.Equals, uint64(7))
}

// Guards against serving with old keys and routes after a change that is made while
// the object API compacts its history: a pending watch misses the change and stays
// open, so that only its timeout ends it.
func TestWatchTimeoutLimitsMissedChanges(t *testing.T) {
	watched := make(chan uint64, 10)
	s := &store{
		list: func() ([]mirror.Object, mirror.Position, error) { return nil, mirror.Position{Revision: 5}, nil },
		watch: func(ctx context.Context, after mirror.Position) (mirror.Batch, error) {
			watched <- after.Revision
			<-ctx.Done()
			return mirror.Batch{}, ctx.Err()
		},
	}
	w := &source.Watcher{
		Store: s, Mirror: &mirror.Mirror{Kind: "k"}, Log: slog.New(slog.DiscardHandler), OnChange: func() {},
		WatchTimeout: time.Millisecond,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	for range 3 {
		qt.Assert(t, <-watched, qt.Equals, uint64(5))
	}
	cancel()
	<-done
}

// Guards against passive entry hosts whose reads load the object API more the more of them there
// are, and against few of them, or one that lags behind its peers, that notice the end of an
// outage late.
func TestPassiveHostsReadRarely(t *testing.T) {
	for name, c := range map[string]struct {
		role       source.Role
		hosts      int
		down       bool
		peersReach bool
		min, max   int
	}{
		"primary":            {role: source.Primary, hosts: 100, min: 58, max: 60},
		"primary, outage":    {role: source.Primary, hosts: 100, down: true, min: 58, max: 60},
		"passive":            {role: source.Passive, hosts: 10, min: 11, max: 15},
		"one of 100 passive": {role: source.Passive, hosts: 100, min: 2, max: 3},
		"passive, outage":    {role: source.Passive, hosts: 10, down: true, min: 58, max: 60},
		"one of 100, outage": {role: source.Passive, hosts: 100, down: true, min: 9, max: 11},
		"peers are answered": {role: source.Passive, hosts: 100, down: true, peersReach: true, min: 58, max: 60},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reads := 0
				read := func() (mirror.Position, error) {
					reads++
					if c.down {
						return mirror.Position{}, errors.New("no answer")
					}
					return mirror.Position{}, nil
				}
				m := &source.Monitor{
					Store: &store{read: read}, Mirror: &mirror.Mirror{}, Log: slog.New(slog.DiscardHandler), OnRecovery: func() {},
					Role: func() source.Role { return c.role }, Hosts: func() int { return c.hosts }, PeersReach: func() bool { return c.peersReach },
				}
				ctx, cancel := context.WithCancel(t.Context())
				go m.Run(ctx)
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				qt.Check(t, c.min <= reads && reads <= c.max, qt.IsTrue, qt.Commentf("%d reads a minute", reads))
				qt.Check(t, m.Reads(), qt.Equals, int64(reads))
			})
		})
	}
}

// Guards against a backup that makes a call for each of many changes in a row, although
// the primary sends them to it.
func TestBackupMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const watcherCount, changes, gap = 2, 40, 250 * time.Millisecond
		c := &changingStore{changed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		var watchers []*source.Watcher
		for i := range watcherCount {
			w := &source.Watcher{Store: c, Mirror: &mirror.Mirror{Kind: "k"}, Log: slog.New(slog.DiscardHandler), WatchTimeout: 2 * time.Second}
			w.Role = func() source.Role { return source.Role(i) }
			// Each watcher sends its changes to the others at once.
			w.OnChange = func() {
				for _, other := range watchers {
					if batch, _ := w.Mirror.Since(other.Mirror.Cursor()); other != w && batch.Position().After(other.Mirror.Cursor()) {
						other.Mirror.Merge(batch)
					}
				}
			}
			watchers = append(watchers, w)
		}
		c.change()
		for _, w := range watchers {
			go w.Run(ctx)
		}
		for range changes {
			time.Sleep(gap)
			c.change()
		}
		calls := c.watches()
		time.Sleep(time.Second)
		for _, w := range watchers {
			qt.Check(t, w.Mirror.Cursor().Revision, qt.Equals, c.revision)
		}
		qt.Check(t, calls <= changes*3/2, qt.IsTrue, qt.Commentf("%d watches for %d changes", calls, changes))
		cancel()
		synctest.Wait()
	})
}

// changingStore is a store with one object, whose revision the test advances with
// change.
type changingStore struct {
	mu       sync.Mutex
	revision uint64
	changed  chan struct{}
	calls    int
}

func (c *changingStore) change() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	close(c.changed)
	c.changed = make(chan struct{})
}

// watches returns the number of Watch calls.
func (c *changingStore) watches() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *changingStore) List(context.Context, string) ([]mirror.Object, mirror.Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []mirror.Object{{Name: "a", Revision: c.revision}}, mirror.Position{Revision: c.revision}, nil
}

func (c *changingStore) Watch(ctx context.Context, _ string, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	c.mu.Lock()
	c.calls++
	revision, changed := c.revision, c.changed
	c.mu.Unlock()
	if revision <= after.Revision {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return mirror.Batch{}, ctx.Err()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return mirror.Batch{Kind: "k", After: after.Revision, Cursor: c.revision, Items: []mirror.Object{{Name: "a", Revision: c.revision}}}, nil
}

func (c *changingStore) StaleRevision(context.Context, string, string) (mirror.Position, error) {
	return mirror.Position{}, nil
}

// waitingStore is a store whose watches never return. It records their timeouts.
type waitingStore struct {
	store
	waits chan time.Duration
}

func (w *waitingStore) Watch(ctx context.Context, _ string, after mirror.Position, wait time.Duration) (mirror.Batch, error) {
	w.waits <- wait
	<-ctx.Done()
	return mirror.Batch{}, ctx.Err()
}

// Guards against backups that make many calls which return no changes, and against a
// primary that notices late what its watch has missed.
func TestBackupWaitsLonger(t *testing.T) {
	for role, want := range map[source.Role]time.Duration{source.Primary: time.Second, source.Backup: 3 * time.Second} {
		s := &waitingStore{waits: make(chan time.Duration, 1)}
		m := &mirror.Mirror{Kind: "k"}
		m.Replace(nil, mirror.Position{Revision: 5})
		w := &source.Watcher{
			Store: s, Mirror: m, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, WatchTimeout: time.Second,
			Role: func() source.Role { return role },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		qt.Check(t, <-s.waits, qt.Equals, want)
		cancel()
	}
}

// Guards against hundreds of entry hosts that all watch the object API when they start, because none of them
// knows yet that others do.
func TestNewHostDoesNotWatchBeforeItKnowsItsRole(t *testing.T) {
	for _, role := range []source.Role{source.Primary, source.Passive} {
		synctest.Test(t, func(t *testing.T) {
			watches := 0
			s := &store{}
			s.list = func() ([]mirror.Object, mirror.Position, error) { return nil, mirror.Position{Revision: 1}, nil }
			s.watch = func(ctx context.Context, _ mirror.Position) (mirror.Batch, error) {
				watches++
				<-ctx.Done()
				return mirror.Batch{}, ctx.Err()
			}
			startedAt := time.Now()
			w := &source.Watcher{Store: s, Mirror: &mirror.Mirror{Kind: "k"}, Log: slog.New(slog.DiscardHandler), OnChange: func() {}, WatchTimeout: 10 * time.Second}
			w.Role = func() source.Role {
				if time.Since(startedAt) < 450*time.Millisecond {
					return source.Primary
				}
				return role
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			w.Run(ctx)
			qt.Check(t, watches > 0, qt.Equals, role == source.Primary)
		})
	}
}
