package claim

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/store"
)

// hangingStore is a store whose writes block until storeTimeout and then
// fail, until it recovers.
type hangingStore struct {
	store.API
	recovered bool
	writes    int
}

// storeTimeout is how long a write to a hanging store blocks.
const storeTimeout = 2 * time.Second

func (h *hangingStore) Get(context.Context, string) (store.Object, error) {
	return store.Object{}, nil
}

func (h *hangingStore) Put(context.Context, string, []byte, uint64) (uint64, error) {
	h.writes++
	if h.recovered {
		return uint64(h.writes), nil
	}
	<-time.After(storeTimeout)
	return 0, &fault.Error{Code: fault.StoreDown, Verdict: fault.NotRun}
}

// The store accepts calls but never answers. Callers must not queue up for
// its timeout once it is known to hang: one Take at a time probes the store
// and the others fail at once. The first probe after a recovery succeeds, as
// do all Takes after it.
func TestHangingStoreFailsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &hangingStore{}
		w := &Writer{Store: h, Log: slog.New(slog.DiscardHandler), Done: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = w.Run(ctx) }()
		acquire := func(id string) (time.Duration, *fault.Error) {
			started := time.Now()
			_, e := w.Acquire(context.Background(), newTake(id, 1))
			return time.Since(started), e
		}

		waited, e := acquire("first")
		qt.Assert(t, e.Code, qt.Equals, fault.StoreDown)
		qt.Assert(t, waited >= storeTimeout, qt.IsTrue)

		probe := make(chan *fault.Error)
		go func() {
			_, e := acquire("probe")
			probe <- e
		}()
		synctest.Wait()
		waited, e = acquire("second")
		qt.Assert(t, e.Code, qt.Equals, fault.StoreDown)
		qt.Assert(t, e.Verdict, qt.Equals, fault.NotRun)
		qt.Assert(t, waited, qt.Equals, time.Duration(0))
		qt.Assert(t, (<-probe).Code, qt.Equals, fault.StoreDown)

		h.recovered = true
		for _, id := range []string{"third", "fourth"} {
			_, e = acquire(id)
			qt.Assert(t, e == nil, qt.IsTrue, qt.Commentf(id))
		}
		cancel()
		<-w.Done
	})
}
