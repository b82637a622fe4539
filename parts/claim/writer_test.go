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

// memStore is an in-memory store whose writes can be blocked or made to fail.
type memStore struct {
	store.API
	mu       sync.Mutex
	objects  map[string]store.Object
	version  uint64
	writes   int
	writeErr func(write int) error
	gate     chan struct{}
}

func (m *memStore) Get(_ context.Context, key string) (store.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[key], nil
}

func (m *memStore) Put(_ context.Context, key string, value []byte, version uint64) (uint64, error) {
	if m.gate != nil {
		<-m.gate
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.writeErr != nil {
		if err := m.writeErr(m.writes); err != nil {
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

// startWriter runs a Writer and returns a function that stops it.
func startWriter(t *testing.T, m *memStore) (*Writer, func()) {
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

// sameShard returns n Takes whose keys are in one shard.
func sameShard(n int) []Take {
	var takes []Take
	shard := newTake("seat", 1).key().Shard()
	for i := 0; len(takes) < n; i++ {
		if t := newTake(fmt.Sprint("seat", i), uint64(i+1)); t.key().Shard() == shard {
			takes = append(takes, t)
		}
	}
	return takes
}

// Claims that arrive while their shard is being written share the next write.
func TestGroupCommit(t *testing.T) {
	m := &memStore{gate: make(chan struct{})}
	w, stop := startWriter(t, m)
	takes := sameShard(40)
	var wg sync.WaitGroup
	for _, take := range takes {
		wg.Go(func() {
			result, e := w.Acquire(context.Background(), take)
			qt.Check(t, e == nil, qt.IsTrue)
			qt.Check(t, result, qt.Equals, OpResult(Granted{}))
		})
	}
	m.gate <- struct{}{}
	close(m.gate)
	wg.Wait()
	stop()
	qt.Assert(t, m.writes < 40, qt.IsTrue, qt.Commentf("%d writes", m.writes))
}

// The store fails while an outcome is written. Without a retry, a resend
// would only be told that the call may have run.
func TestSettleIsRetried(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	m := &memStore{writeErr: func(write int) error {
		if write == 2 {
			return &fault.Error{Code: fault.StoreDown, Verdict: fault.NotRun}
		}
		return nil
	}}
	w, stop := startWriter(t, m)
	first := newTake("seat", 1)
	_, e := w.Acquire(context.Background(), first)
	qt.Assert(t, e == nil, qt.IsTrue)
	<-w.Settle(settleOf(first))
	second := first
	second.Record.Nonce = 2
	result, e := w.Acquire(context.Background(), second)
	qt.Assert(t, e == nil, qt.IsTrue)
	qt.Assert(t, result, qt.DeepEquals, OpResult(Completed{settleOf(first).Record}))
	stop()
}

// An entry host that stops first writes its remaining outcomes.
func TestStopFlushesOutcomes(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	m := &memStore{gate: make(chan struct{}, 1)}
	w, stop := startWriter(t, m)
	first := newTake("seat", 1)
	m.gate <- struct{}{}
	_, e := w.Acquire(context.Background(), first)
	qt.Assert(t, e == nil, qt.IsTrue)
	written := w.Settle(settleOf(first))
	close(m.gate)
	stop()
	<-written
	qt.Assert(t, m.writes, qt.Equals, 2)
}

// An outcome waits for its retry, because the store failed, when the entry host stops.
// Without it, a resend would only be told that the call may have run.
func TestStopWritesDeferredOutcomes(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	failed := make(chan struct{})
	m := &memStore{writeErr: func(write int) error {
		if write == 2 {
			close(failed)
			return &fault.Error{Code: fault.StoreDown, Verdict: fault.NotRun}
		}
		return nil
	}}
	w, stop := startWriter(t, m)
	first := newTake("seat", 1)
	_, e := w.Acquire(context.Background(), first)
	qt.Assert(t, e == nil, qt.IsTrue)
	written := w.Settle(settleOf(first))
	<-failed
	stop()
	qt.Assert(t, m.writes, qt.Equals, 3)
	<-written
}

// A caller's deadline ends while its claim waits for the store. The claim is
// withdrawn, so that the caller can send its call again.
func TestReleaseAfterCancel(t *testing.T) {
	m := &memStore{gate: make(chan struct{})}
	w, stop := startWriter(t, m)
	first := newTake("seat", 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, e := w.Acquire(ctx, first)
	qt.Assert(t, e.Verdict, qt.Equals, fault.NotRun)
	released := w.Release(Void{first.Record.Key, 1})
	close(m.gate)
	<-released
	second := first
	second.Record.Nonce = 2
	result, e := w.Acquire(context.Background(), second)
	qt.Assert(t, e == nil, qt.IsTrue)
	qt.Assert(t, result, qt.Equals, OpResult(Granted{}))
	stop()
}
