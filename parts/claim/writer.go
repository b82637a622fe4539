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

// Writer writes claims. All changes that wait for a shard share one write
// (group commit), so that a burst costs at most one write per shard. Set the
// exported fields, then call Run.
type Writer struct {
	// Store is the object API.
	Store store.API
	// Log receives failures.
	Log *slog.Logger
	// WriteRate is the maximum rate of commits per second; zero means no limit.
	// Changes that exceed it wait and share a write.
	WriteRate float64
	// Workers is the number of concurrent commits; zero means DefaultWorkers.
	Workers int
	// Done is closed when Run returns. Make it before calling Run.
	Done chan struct{}

	setupOnce sync.Once
	incoming  chan *pendingOp
	finished  chan *shardQueue
	retryDue  chan *shardQueue
	queues    [Shards]*shardQueue
	// urgent holds the shards in which a Take waits, background those in which
	// only other ops wait.
	urgent     []*shardQueue
	background []*shardQueue
	pool       *ants.Pool
	limiter    *rate.Limiter
	// hangErr is the error of a store that hangs, else nil. probe is the shard
	// whose commit tests whether the store has recovered.
	hangErr *fault.Error
	probe   *shardQueue
}

// The defaults and bounds of a Writer.
const (
	// DefaultWorkers is far above the number of calls that the store handles
	// at once.
	DefaultWorkers = 64
	// maxBatch bounds the ops in one write.
	maxBatch = 512
	// drainTimeout bounds how long Run continues after its context ended to
	// write the remaining outcomes.
	drainTimeout = 2 * time.Second
	// retryDelay is the mean delay before the outcomes of a shard are written
	// again.
	retryDelay = time.Second
	// maxDeferred bounds the outcomes of a shard that wait for a retry.
	maxDeferred = 4096
	// hangThreshold is the duration from which a failed commit counts as a
	// sign that the store hangs. While it hangs, one Take at a time probes it
	// and others are refused at once.
	hangThreshold = time.Second
	// maxCachedBytes is the size of the largest shard that is cached between
	// writes. A larger one is read again for each commit, which bounds the
	// total memory.
	maxCachedBytes = 64 << 10
	// cacheTTL is how long a cached shard is used without reading it again.
	// After that another entry host has likely written it, and a write that
	// conflicts costs the store more than a read.
	cacheTTL = 100 * time.Millisecond
)

// setup makes the channels and queues on first use, since callers may submit
// ops before Run.
func (w *Writer) setup() {
	w.setupOnce.Do(func() {
		w.incoming = make(chan *pendingOp, Shards)
		// One slot per shard, so that a commit never blocks on passing its queue
		// back.
		w.finished = make(chan *shardQueue, Shards)
		w.retryDue = make(chan *shardQueue, Shards)
		for i := range w.queues {
			w.queues[i] = &shardQueue{shard: i}
		}
	})
}

// Acquire claims a call. The caller may send the call only if the result is
// Granted. An error comes with Unknown if the claim may be in the store;
// withdraw it with Release.
func (w *Writer) Acquire(ctx context.Context, t Take) (OpResult, *fault.Error) {
	reply := make(chan opReply, 1)
	if !w.submit(ctx, &pendingOp{op: t, reply: reply}) {
		return nil, acquireError(ctx)
	}
	select {
	case r := <-reply:
		return r.result, r.err
	case <-ctx.Done():
	case <-w.Done:
	}
	return Unknown{}, acquireError(ctx)
}

// acquireError returns the error of an Acquire that got no reply.
func acquireError(ctx context.Context) *fault.Error {
	code := fault.StoreDown
	if ctx.Err() != nil {
		code = fault.Deadline
	}
	return &fault.Error{
		Code: code, Verdict: fault.NotRun, Message: "the claim was not written in time",
		RetryAfter: time.Second, Cause: context.Cause(ctx),
	}
}

// Settle records an outcome in the background. The returned channel is closed
// once the outcome is in the store; if writing keeps failing, it is never
// closed.
func (w *Writer) Settle(s Settle) <-chan struct{} {
	return w.submitAsync(s)
}

// Release withdraws a claim in the background; see Void.
func (w *Writer) Release(v Void) <-chan struct{} {
	return w.submitAsync(v)
}

// submitAsync submits an op and returns a channel that is closed once the op
// is in the store.
func (w *Writer) submitAsync(op Op) <-chan struct{} {
	reply := make(chan opReply, 1)
	written := make(chan struct{})
	if !w.submit(context.Background(), &pendingOp{op: op, reply: reply}) {
		return written
	}
	go func() {
		select {
		case <-reply:
			close(written)
		case <-w.Done:
		}
	}()
	return written
}

// submit passes an op to Run and reports whether Run took it.
func (w *Writer) submit(ctx context.Context, p *pendingOp) bool {
	w.setup()
	select {
	case w.incoming <- p:
		return true
	case <-ctx.Done():
	case <-w.Done:
	}
	return false
}

// Run writes claims until the context ends, and then the queued outcomes for
// at most drainTimeout.
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
	w.limiter = rate.NewLimiter(rate.Inf, 0)
	if w.WriteRate > 0 {
		w.limiter = rate.NewLimiter(rate.Limit(w.WriteRate), max(1, int(w.WriteRate/20)))
	}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	w.loop(ctx, workCtx)
	return nil
}

// loop handles submitted ops and finished commits until ctx ends and the
// queues are empty, or until drainTimeout after ctx ended. workCtx is the
// context of the commits and outlives ctx.
func (w *Writer) loop(ctx, workCtx context.Context) {
	limitTimer := time.NewTimer(time.Hour)
	defer limitTimer.Stop()
	var drainEnd <-chan time.Time
	done := ctx.Done()
	for {
		select {
		case p := <-w.incoming:
			w.enqueue(p)
		case q := <-w.finished:
			w.complete(q)
		case q := <-w.retryDue:
			q.retryScheduled = false
			w.requeueDeferred(q)
		case <-limitTimer.C:
		case <-done:
			done = nil
			timer := time.NewTimer(drainTimeout)
			defer timer.Stop()
			drainEnd = timer.C
		case <-drainEnd:
			return
		}
		if wait := w.startCommits(workCtx); wait > 0 {
			limitTimer.Reset(wait)
		}
		if done == nil && w.idle() {
			return
		}
	}
}

// idle reports whether no op is queued or waits for a retry and no commit runs.
func (w *Writer) idle() bool {
	for _, q := range w.queues {
		if q.busy || len(q.waiting)+len(q.deferred) > 0 {
			return false
		}
	}
	return len(w.incoming) == 0
}
