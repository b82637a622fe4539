package claim

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"golang.org/x/time/rate"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/store"
)

// Writer writes claims. All changes that wait for a shard go into one write
// (group commit), so that a burst costs no more writes than shards. Set the
// exported fields, then Run.
type Writer struct {
	// Store is the object API.
	Store store.API
	// Log gets what goes wrong.
	Log *slog.Logger
	// Writes is how many commits a second may start; zero means any number.
	// What comes faster waits and shares a write.
	Writes float64
	// Workers is how many commits run at once; zero means DefaultWorkers.
	Workers int
	// Done is closed when Run has ended. Make it before Run.
	Done chan struct{}

	once  sync.Once
	in    chan *item
	out   chan *lane
	again chan *lane
	lanes [Shards]*lane
	// ready holds the lanes in which a Take waits, quiet those in which only
	// others do.
	ready []*lane
	quiet []*lane
	pool  *ants.Pool
	limit *rate.Limiter
	// hung is the error of a store that hangs; probe is the lane that tries
	// it.
	hung  *fault.Error
	probe *lane
}

// The defaults and bounds of a Writer.
const (
	// DefaultWorkers is far above what the store takes at a time.
	DefaultWorkers = 64
	// maxBatch bounds the changes in one write.
	maxBatch = 512
	// drainWait bounds how long Run goes on after its context ended, for the
	// outcomes that are not written yet.
	drainWait = 2 * time.Second
	// again is the mean pause before outcomes of a shard are written again.
	again = time.Second
	// maxParked bounds the outcomes of a shard that wait to be written again.
	maxParked = 4096
	// slowFail is how long a commit takes to fail if the store hangs. While
	// it does, one claim at a time tries it and others are refused at once.
	slowFail = time.Second
	// cacheBytes is the largest shard that is kept between writes. A larger
	// one is read again each time, which bounds the memory of the whole.
	cacheBytes = 64 << 10
	// freshFor is how long a kept shard is written over without reading it
	// again. Later another entry host has likely written it, and a write that
	// fails costs the store more than a read.
	freshFor = 100 * time.Millisecond
)

func (w *Writer) setup() {
	w.once.Do(func() {
		w.in = make(chan *item, Shards)
		// One place for each lane: a commit never waits to hand itself back.
		w.out = make(chan *lane, Shards)
		w.again = make(chan *lane, Shards)
		for i := range w.lanes {
			w.lanes[i] = &lane{shard: i}
		}
	})
}

// Acquire claims a call and returns what came of it. Whoever gets no grant
// sends no call. An error comes with Unknown if the claim may be in the
// store; it should then be taken back with Forsake.
func (w *Writer) Acquire(ctx context.Context, t Take) (OpResult, *fault.Error) {
	found := make(chan result, 1)
	if !w.send(ctx, &item{op: t, found: found}) {
		return nil, gaveUp(ctx)
	}
	select {
	case r := <-found:
		return r.finding, r.err
	case <-ctx.Done():
	case <-w.Done:
	}
	return Unknown{}, gaveUp(ctx)
}

func gaveUp(ctx context.Context) *fault.Error {
	code := fault.StoreDown
	if ctx.Err() != nil {
		code = fault.Deadline
	}
	return &fault.Error{
		Code: code, Verdict: fault.NotRun, Message: "the claim was not written in time",
		RetryAfter: time.Second, Cause: context.Cause(ctx),
	}
}

// Settle records an outcome in the background. The channel is closed when it
// is in the store; it stays open if that fails for long.
func (w *Writer) Settle(s Settle) <-chan struct{} {
	return w.behind(s)
}

// Release takes back a claim whose call was never sent, in the background.
func (w *Writer) Release(v Void) <-chan struct{} {
	return w.behind(v)
}

func (w *Writer) behind(op Op) <-chan struct{} {
	found := make(chan result, 1)
	written := make(chan struct{})
	if !w.send(context.Background(), &item{op: op, found: found}) {
		return written
	}
	go func() {
		select {
		case <-found:
			close(written)
		case <-w.Done:
		}
	}()
	return written
}

func (w *Writer) send(ctx context.Context, i *item) bool {
	w.setup()
	select {
	case w.in <- i:
		return true
	case <-ctx.Done():
	case <-w.Done:
	}
	return false
}

// Run writes claims until the context ends, and then for a while what is
// left of the outcomes.
func (w *Writer) Run(ctx context.Context) error {
	w.setup()
	defer close(w.Done)
	workers := w.Workers
	if workers == 0 {
		workers = DefaultWorkers
	}
	pool, err := ants.NewPool(workers)
	if err != nil {
		return err
	}
	defer pool.Release()
	w.pool = pool
	w.limit = rate.NewLimiter(rate.Inf, 0)
	if w.Writes > 0 {
		w.limit = rate.NewLimiter(rate.Limit(w.Writes), max(1, int(w.Writes/20)))
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	w.loop(ctx, work)
	return nil
}

func (w *Writer) loop(ctx, work context.Context) {
	tick := time.NewTimer(time.Hour)
	defer tick.Stop()
	var end <-chan time.Time
	ended := ctx.Done()
	for {
		select {
		case i := <-w.in:
			w.add(i)
		case l := <-w.out:
			w.back(l)
		case l := <-w.again:
			l.timed = false
			w.unpark(l)
		case <-tick.C:
		case <-ended:
			ended = nil
			timer := time.NewTimer(drainWait)
			defer timer.Stop()
			end = timer.C
		case <-end:
			return
		}
		if wait := w.launch(work); wait > 0 {
			tick.Reset(wait)
		}
		if ended == nil && w.idle() {
			return
		}
	}
}

func (w *Writer) idle() bool {
	for _, l := range w.lanes {
		if l.busy || len(l.waiting) > 0 {
			return false
		}
	}
	return len(w.in) == 0
}
