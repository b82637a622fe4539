package claim

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/fault"
)

// item is one op that waits.
type item struct {
	op    Op
	found chan<- result
}

type result struct {
	finding OpResult
	err     *fault.Error
}

// lane is one shard. Its fields belong to Run, and while it is busy to its
// commit.
type lane struct {
	shard   int
	waiting []*item
	// queued and urgent say that the lane is in quiet and in ready.
	queued bool
	urgent bool
	busy   bool
	batch  []*item
	commit Commit
	writes int
	ended  time.Time
	took   time.Duration
	// parked holds outcomes that could not be written, until timed ends.
	parked []*item
	timed  bool
}

func (w *Writer) add(i *item) {
	l := w.lanes[i.op.key().Shard()]
	if _, take := i.op.(Take); take && w.hung != nil {
		if w.probe != nil {
			w.refuse(i, nil, w.hung)
			return
		}
		w.probe = l
	}
	l.waiting = append(l.waiting, i)
	w.queue(l)
}

// queue lines a lane up for a commit. Callers wait for a Take; an outcome
// can wait for the next Take of its shard and share its write.
func (w *Writer) queue(l *lane) {
	if l.busy || l.urgent || len(l.waiting) == 0 {
		return
	}
	if slices.ContainsFunc(l.waiting, func(i *item) bool { _, take := i.op.(Take); return take }) {
		l.urgent = true
		w.ready = append(w.ready, l)
		return
	}
	if !l.queued {
		l.queued = true
		w.quiet = append(w.quiet, l)
	}
}

// next takes the lane out of the queues that is to be committed first, or
// returns nil.
func (w *Writer) next() *lane {
	if len(w.ready) > 0 {
		l := w.ready[0]
		w.ready = w.ready[1:]
		l.urgent = false
		return l
	}
	for len(w.quiet) > 0 {
		l := w.quiet[0]
		w.quiet = w.quiet[1:]
		l.queued = false
		// It may have been committed out of ready meanwhile.
		if !l.busy && len(l.waiting) > 0 {
			return l
		}
	}
	return nil
}

// launch starts commits of the lanes that wait, as far as the rate allows,
// and returns how long to wait for the next.
func (w *Writer) launch(work context.Context) time.Duration {
	for len(w.ready)+len(w.quiet) > 0 && w.pool.Free() > 0 {
		r := w.limit.Reserve()
		if wait := r.Delay(); wait > 0 {
			r.Cancel()
			return wait
		}
		l := w.next()
		if l == nil {
			r.Cancel()
			return 0
		}
		l.busy = true
		n := min(len(l.waiting), maxBatch)
		l.batch, l.waiting = l.waiting[:n], l.waiting[n:]
		if err := w.pool.Submit(func() { w.commit(work, l) }); err != nil {
			w.Log.Error("claim: commit not started", "err", err)
			l.commit = Commit{failed: fault.As(err)}
			w.out <- l
		}
	}
	return 0
}

// commit brings the batch of a lane into the store and hands the lane back.
func (w *Writer) commit(ctx context.Context, l *lane) {
	defer func() { w.out <- l }()
	c := &l.commit
	*c = Commit{Shard: c.Shard, Version: c.Version, Seen: c.Seen}
	for _, i := range l.batch {
		c.Ops = append(c.Ops, i.op)
	}
	l.writes = 0
	began := time.Now()
	if began.Sub(l.ended) > freshFor {
		c.Shard = nil
	}
	defer func() {
		l.ended = time.Now()
		l.took = l.ended.Sub(began)
	}()
	key := ObjectKey(l.shard)
	for {
		switch step := c.Next(time.Now()).(type) {
		case DoRead:
			c.Read(w.Store.Get(ctx, key))
			metrics.GetOrRegisterCounter("claim.reads", nil).Inc(1)
		case DoWrite:
			c.Wrote(w.Store.Put(ctx, key, step.Value, step.Version))
			metrics.GetOrRegisterCounter("claim.writes", nil).Inc(1)
			l.writes++
			if len(step.Value) > cacheBytes {
				defer func() { c.Shard = nil }()
			}
		case Committed, Failed:
			return
		}
	}
}

// back answers those who wait for a lane's batch.
func (w *Writer) back(l *lane) {
	l.busy = false
	if l.writes > 1 {
		w.limit.ReserveN(time.Now(), l.writes-1)
	}
	metrics.GetOrRegisterCounter("claim.ops", nil).Inc(int64(len(l.batch)))
	w.judge(l)
	for n, i := range l.batch {
		if l.commit.failed == nil {
			i.found <- result{finding: l.commit.findings[n]}
			continue
		}
		w.failed(l, i)
	}
	l.batch = nil
	if l.commit.failed == nil {
		w.unpark(l)
	}
	w.queue(l)
}

// judge notices that the store hangs, and that it does so no more. A caller
// would otherwise wait for the store's timeout to hear that its call was
// refused.
func (w *Writer) judge(l *lane) {
	if w.probe == l {
		w.probe = nil
	}
	switch {
	case l.commit.failed == nil:
		w.hung = nil
	case l.took >= slowFail:
		w.hung = l.commit.failed
	}
}

// failed answers a Take with the error, and keeps any other op for later:
// nobody waits for it, and the store may be back.
func (w *Writer) failed(l *lane, i *item) {
	if _, take := i.op.(Take); take {
		var found OpResult
		if l.commit.doubt {
			found = Unknown{}
		}
		w.refuse(i, found, l.commit.failed)
		return
	}
	if len(l.parked) == maxParked {
		w.Log.Warn("claim: outcome not written", "err", l.commit.failed)
		return
	}
	l.parked = append(l.parked, i)
	if l.timed {
		return
	}
	l.timed = true
	time.AfterFunc(again/2+rand.N(again), func() { w.again <- l })
}

func (w *Writer) refuse(i *item, found OpResult, e *fault.Error) {
	metrics.GetOrRegisterCounter("claim.failed", nil).Inc(1)
	i.found <- result{finding: found, err: e}
}

// unpark lets the outcomes of a lane be written again.
func (w *Writer) unpark(l *lane) {
	l.waiting = append(l.waiting, l.parked...)
	l.parked = nil
	w.queue(l)
}
