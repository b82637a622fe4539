package claim

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/store"
)

// memory is a store in memory whose writes can be made to wait or to fail.
type memory struct {
	store.API
	mu      sync.Mutex
	objects map[string]store.Object
	version uint64
	writes  int
	fail    func(write int) error
	gate    chan struct{}
}

func (m *memory) Get(_ context.Context, key string) (store.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[key], nil
}

func (m *memory) Put(_ context.Context, key string, value []byte, version uint64) (uint64, error) {
	if m.gate != nil {
		<-m.gate
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.fail != nil {
		if err := m.fail(m.writes); err != nil {
			return 0, err
		}
	}
	if m.objects[key].Version != version {
		return 0, &fault.Error{Code: fault.Conflict, Verdict: fault.NotRun}
	}
	m.version++
	m.objects[key] = store.Object{Key: key, Version: m.version, Value: value}
	return m.version, nil
}

func run(t *testing.T, m *memory) (*Writer, func()) {
	m.objects = map[string]store.Object{}
	w := &Writer{Store: m, Log: slog.New(slog.DiscardHandler), Done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	return w, func() {
		cancel()
		qt.Assert(t, <-ended, qt.IsNil)
	}
}

// sameShard returns takes whose keys are in one shard.
func sameShard(n int) []Take {
	var takes []Take
	shard := take("seat", 1).key().Shard()
	for i := 0; len(takes) < n; i++ {
		if t := take(fmt.Sprint("seat", i), uint64(i+1)); t.key().Shard() == shard {
			takes = append(takes, t)
		}
	}
	return takes
}

// All claims that wait while a shard is being written share the next write.
func TestGroupCommit(t *testing.T) {
	m := &memory{gate: make(chan struct{})}
	w, stop := run(t, m)
	takes := sameShard(40)
	var all sync.WaitGroup
	for _, one := range takes {
		all.Go(func() {
			found, e := w.Acquire(context.Background(), one)
			qt.Check(t, e == nil, qt.IsTrue)
			qt.Check(t, found, qt.Equals, OpResult(Granted{}))
		})
	}
	m.gate <- struct{}{}
	close(m.gate)
	all.Wait()
	stop()
	qt.Assert(t, m.writes < 40, qt.IsTrue, qt.Commentf("%d writes", m.writes))
}

// The store fails as an outcome is written. It is written again, since a
// resend would otherwise hear only that the call may have run.
func TestSettleAgain(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	m := &memory{fail: func(write int) error {
		if write == 2 {
			return &fault.Error{Code: fault.StoreDown, Verdict: fault.NotRun}
		}
		return nil
	}}
	w, stop := run(t, m)
	first := take("seat", 1)
	_, e := w.Acquire(context.Background(), first)
	qt.Assert(t, e == nil, qt.IsTrue)
	<-w.Settle(done(first))
	second := first
	second.Record.Nonce = 2
	found, e := w.Acquire(context.Background(), second)
	qt.Assert(t, e == nil, qt.IsTrue)
	qt.Assert(t, found, qt.DeepEquals, OpResult(Completed{done(first).Record}))
	stop()
}

// An entry host that stops writes the outcomes that it has not written yet.
func TestStopWritesOutcomes(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	m := &memory{gate: make(chan struct{}, 1)}
	w, stop := run(t, m)
	first := take("seat", 1)
	m.gate <- struct{}{}
	_, e := w.Acquire(context.Background(), first)
	qt.Assert(t, e == nil, qt.IsTrue)
	written := w.Settle(done(first))
	close(m.gate)
	stop()
	<-written
	qt.Assert(t, m.writes, qt.Equals, 2)
}

// A caller's deadline ends while its claim waits for the store. The claim is
// taken back, so that the caller can send its call again.
func TestGiveUpWaiting(t *testing.T) {
	m := &memory{gate: make(chan struct{})}
	w, stop := run(t, m)
	first := take("seat", 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, e := w.Acquire(ctx, first)
	qt.Assert(t, e.Verdict, qt.Equals, fault.NotRun)
	back := w.Release(Void{first.Record.Key, 1})
	close(m.gate)
	<-back
	second := first
	second.Record.Nonce = 2
	found, e := w.Acquire(context.Background(), second)
	qt.Assert(t, e == nil, qt.IsTrue)
	qt.Assert(t, found, qt.Equals, OpResult(Granted{}))
	stop()
}
