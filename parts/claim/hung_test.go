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

// hanging is a store that answers no write until its timeout, until it heals.
type hanging struct {
	store.API
	healed bool
	writes int
}

// storeTimeout is when a call of a hanging store fails.
const storeTimeout = 2 * time.Second

func (h *hanging) Get(context.Context, string) (store.Object, error) {
	return store.Object{}, nil
}

func (h *hanging) Put(context.Context, string, []byte, uint64) (uint64, error) {
	h.writes++
	if h.healed {
		return uint64(h.writes), nil
	}
	<-time.After(storeTimeout)
	return 0, &fault.Error{Code: fault.StoreDown, Verdict: fault.NotRun}
}

// The store takes calls and answers none. The first callers wait for its
// timeout, since nothing is known yet. Were each later one to wait as well, a
// caller would hear only after seconds that its call was refused, and callers
// would pile up. One at a time tries the store, so that the first one after it
// healed is let through and all after that.
func TestHangingStoreRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &hanging{}
		w := &Writer{Store: h, Log: slog.New(slog.DiscardHandler), Done: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = w.Run(ctx) }()
		try := func(id string) (time.Duration, *fault.Error) {
			began := time.Now()
			_, e := w.Acquire(context.Background(), take(id, 1))
			return time.Since(began), e
		}

		waited, e := try("first")
		qt.Assert(t, e.Code, qt.Equals, fault.StoreDown)
		qt.Assert(t, waited >= storeTimeout, qt.IsTrue)

		probe := make(chan *fault.Error)
		go func() {
			_, e := try("probe")
			probe <- e
		}()
		synctest.Wait()
		waited, e = try("second")
		qt.Assert(t, e.Code, qt.Equals, fault.StoreDown)
		qt.Assert(t, e.Verdict, qt.Equals, fault.NotRun)
		qt.Assert(t, waited, qt.Equals, time.Duration(0))
		qt.Assert(t, (<-probe).Code, qt.Equals, fault.StoreDown)

		h.healed = true
		for _, id := range []string{"third", "fourth"} {
			_, e = try(id)
			qt.Assert(t, e == nil, qt.IsTrue, qt.Commentf(id))
		}
		cancel()
		<-w.Done
	})
}
