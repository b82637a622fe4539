package claim

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/fault"
)

// pendingOp is an op that waits for a commit of its shard.
type pendingOp struct {
	op    Op
	reply chan<- opReply
}

// opReply is the reply to the submitter of an op.
type opReply struct {
	result OpResult
	err    *fault.Error
}

// shardQueue holds the ops that wait for one shard. Its fields belong to the
// goroutine of Run or, while busy is set, to the running commit.
type shardQueue struct {
	shard   int
	waiting []*pendingOp
	// inBackground and inUrgent say which queues of the Writer hold this one.
	inBackground bool
	inUrgent     bool
	busy         bool
	batch        []*pendingOp
	commit       Commit
	// writes, lastCommit and commitTime are the number of writes, the end and
	// the duration of the last commit.
	writes     int
	lastCommit time.Time
	commitTime time.Duration
	// deferred holds outcomes that could not be written, until the scheduled
	// retry.
	deferred       []*pendingOp
	retryScheduled bool
}

// enqueue adds an op to the queue of its shard. While the store hangs, it
// rejects every Take except the one that probes the store.
func (w *Writer) enqueue(p *pendingOp) {
	q := w.queues[p.op.key().Shard()]
	if _, isTake := p.op.(Take); isTake && w.hangErr != nil {
		if w.probe != nil {
			w.reject(p, nil, w.hangErr)
			return
		}
		w.probe = q
	}
	q.waiting = append(q.waiting, p)
	w.schedule(q)
}

// schedule queues a shard for a commit. A shard with a Take is urgent, since
// a caller waits for it. Outcomes alone can wait for the next Take of their
// shard and share its write.
func (w *Writer) schedule(q *shardQueue) {
	if q.busy || q.inUrgent || len(q.waiting) == 0 {
		return
	}
	if slices.ContainsFunc(q.waiting, func(p *pendingOp) bool { _, isTake := p.op.(Take); return isTake }) {
		q.inUrgent = true
		w.urgent = append(w.urgent, q)
		return
	}
	if !q.inBackground {
		q.inBackground = true
		w.background = append(w.background, q)
	}
}

// nextQueue removes and returns the shard queue to commit next, or returns
// nil if there is none.
func (w *Writer) nextQueue() *shardQueue {
	if len(w.urgent) > 0 {
		q := w.urgent[0]
		w.urgent = w.urgent[1:]
		q.inUrgent = false
		return q
	}
	for len(w.background) > 0 {
		q := w.background[0]
		w.background = w.background[1:]
		q.inBackground = false
		// It may have been committed from the urgent queue in the meantime.
		if !q.busy && len(q.waiting) > 0 {
			return q
		}
	}
	return nil
}

// startCommits starts commits of the waiting shards as the rate limit allows.
// It returns how long to wait for the next one.
func (w *Writer) startCommits(ctx context.Context) time.Duration {
	for len(w.urgent)+len(w.background) > 0 && w.pool.Free() > 0 {
		r := w.limiter.Reserve()
		if wait := r.Delay(); wait > 0 {
			r.Cancel()
			return wait
		}
		q := w.nextQueue()
		if q == nil {
			r.Cancel()
			return 0
		}
		q.busy = true
		n := min(len(q.waiting), maxBatch)
		q.batch, q.waiting = q.waiting[:n], q.waiting[n:]
		if err := w.pool.Submit(func() { w.commit(ctx, q) }); err != nil {
			w.Log.Error("claim: cannot start commit", "err", err)
			q.commit = Commit{failure: fault.As(err)}
			w.finished <- q
		}
	}
	return 0
}

// commit writes the batch of a shard to the store and passes the queue back
// to Run.
func (w *Writer) commit(ctx context.Context, q *shardQueue) {
	defer func() { w.finished <- q }()
	c := &q.commit
	*c = Commit{Shard: c.Shard, Version: c.Version, HighestSeen: c.HighestSeen}
	for _, p := range q.batch {
		c.Ops = append(c.Ops, p.op)
	}
	q.writes = 0
	started := time.Now()
	if started.Sub(q.lastCommit) > cacheTTL {
		c.Shard = nil
	}
	defer func() {
		q.lastCommit = time.Now()
		q.commitTime = q.lastCommit.Sub(started)
	}()
	key := ObjectKey(q.shard)
	for {
		switch step := c.Next(time.Now()).(type) {
		case DoRead:
			c.OnRead(w.Store.Get(ctx, key))
			metrics.GetOrRegisterCounter("claim.reads", nil).Inc(1)
		case DoWrite:
			c.OnWrite(w.Store.Put(ctx, key, step.Value, step.Version))
			metrics.GetOrRegisterCounter("claim.writes", nil).Inc(1)
			q.writes++
			if len(step.Value) > maxCachedBytes {
				defer func() { c.Shard = nil }()
			}
		case Committed, Failed:
			return
		}
	}
}

// complete replies to the submitters of a queue's batch.
func (w *Writer) complete(q *shardQueue) {
	q.busy = false
	if q.writes > 1 {
		w.limiter.ReserveN(time.Now(), q.writes-1)
	}
	metrics.GetOrRegisterCounter("claim.ops", nil).Inc(int64(len(q.batch)))
	w.updateHang(q)
	for n, p := range q.batch {
		if q.commit.failure == nil {
			p.reply <- opReply{result: q.commit.results[n]}
			continue
		}
		w.handleFailure(q, p)
	}
	q.batch = nil
	if q.commit.failure == nil {
		w.requeueDeferred(q)
	}
	w.schedule(q)
}

// updateHang tracks whether the store hangs. Without it, each caller would
// wait for the store's timeout to learn that its call was refused.
func (w *Writer) updateHang(q *shardQueue) {
	if w.probe == q {
		w.probe = nil
	}
	switch {
	case q.commit.failure == nil:
		w.hangErr = nil
	case q.commitTime >= hangThreshold:
		w.hangErr = q.commit.failure
	}
}

// handleFailure replies to a Take with the error of its commit. Any other op
// is kept for a retry: no caller waits for it, and the store may recover.
func (w *Writer) handleFailure(q *shardQueue, p *pendingOp) {
	if _, isTake := p.op.(Take); isTake {
		var result OpResult
		if q.commit.uncertain {
			result = Unknown{}
		}
		w.reject(p, result, q.commit.failure)
		return
	}
	if len(q.deferred) == maxDeferred {
		w.Log.Warn("claim: outcome dropped: too many wait for a retry", "err", q.commit.failure)
		return
	}
	q.deferred = append(q.deferred, p)
	if q.retryScheduled {
		return
	}
	q.retryScheduled = true
	time.AfterFunc(retryDelay/2+rand.N(retryDelay), func() { w.retryDue <- q })
}

// reject replies to an op with an error.
func (w *Writer) reject(p *pendingOp, result OpResult, e *fault.Error) {
	metrics.GetOrRegisterCounter("claim.failed", nil).Inc(1)
	p.reply <- opReply{result: result, err: e}
}

// requeueDeferred puts the deferred outcomes of a shard back into its queue.
func (w *Writer) requeueDeferred(q *shardQueue) {
	q.waiting = append(q.waiting, q.deferred...)
	q.deferred = nil
	w.schedule(q)
}
