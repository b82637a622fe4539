package admit

import (
	"time"

	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/fault"
)

// Queue admits the requests of one pool. Set the exported fields before first
// use. It is not safe for concurrent use.
type Queue struct {
	Limits Limits
	// Limit is the maximum number of requests that run concurrently.
	Limit float64

	// order holds the waiting requests, all of one rank, and entries the
	// entries of these.
	order    fair.Queue
	entries  map[*fair.Waiter]*Entry
	running  int
	bytes    int
	runTimes runTimes
}

// rank is the rank of all requests: those of one pool differ by team only.
const rank = 0

// Entry is a waiting or running request.
type Entry struct {
	Request
	// Running reports that the request was started.
	Running bool
	// Credit reports that its team had credit left when it was started.
	Credit bool

	waiter    fair.Waiter
	startedAt time.Time
	wake      chan struct{}
}

// newEntry returns the entry of a request.
func newEntry(now time.Time, req Request) *Entry {
	return &Entry{Request: req, waiter: fair.Waiter{
		Team: req.Team, Rank: rank, Weight: req.Weight, Cost: req.Cost, Arrived: now,
	}}
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.entries) }

// Submit starts a request, queues it, or refuses it.
func (q *Queue) Submit(now time.Time, req Request) (*Entry, *fault.Error) {
	q.order.MaxCredit = q.Limits.MaxCredit
	req.Weight, req.Cost = max(req.Weight, 1), max(req.Cost, 1)
	remaining := req.Deadline.Sub(now)
	if req.RunTime > remaining {
		return nil, deadlineExceeded("runs longer than its deadline allows", 0)
	}
	entry := newEntry(now, req)
	if q.order.Waiting(req.Team, rank) == 0 && q.hasCapacity(req.Team) {
		q.begin(now, entry)
		return entry, nil
	}
	if e := q.rejection(entry, remaining); e != nil {
		return nil, e
	}
	if q.entries == nil {
		q.entries = map[*fair.Waiter]*Entry{}
	}
	q.entries[&entry.waiter] = entry
	q.order.Push(&entry.waiter)
	q.bytes += req.Bytes
	return entry, nil
}

// rejection returns why a request must not wait, or nil.
func (q *Queue) rejection(entry *Entry, remaining time.Duration) *fault.Error {
	wait := q.runTimes.expectedWait(q.order.WorkAhead(&entry.waiter), q.running)
	switch {
	case wait > q.Limits.MaxWait:
		return overloaded("too many requests of the team wait", wait)
	case wait+entry.RunTime > remaining:
		return deadlineExceeded("waits longer than its deadline allows", wait)
	case q.Waiting() >= q.Limits.MaxRequests:
		return overloaded("too many requests wait", wait)
	case q.bytes+entry.Bytes > q.Limits.MaxBytes:
		return overloaded("the waiting requests hold too much memory", wait)
	}
	return nil
}

// hasCapacity reports whether the next request of a team may run now. Below the
// limit any request may; within the headroom above it, those of teams with
// credit.
func (q *Queue) hasCapacity(team string) bool {
	running := float64(q.running)
	return running < q.Limit || running < q.Limit*(1+q.Limits.Headroom) && q.order.HasCredit(team, rank)
}

// begin starts a request.
func (q *Queue) begin(now time.Time, entry *Entry) {
	entry.Credit = q.order.HasCredit(entry.Team, rank)
	q.order.Serve(&entry.waiter)
	q.running++
	entry.Running, entry.startedAt = true, now
}

// Done records that a request that ran has ended, and returns the requests that
// may run now.
func (q *Queue) Done(now time.Time, entry *Entry) []*Entry {
	q.runTimes.observe(now.Sub(entry.startedAt), entry.Cost)
	q.running--
	return q.Dispatch(now)
}

// Abort is like Done for a request that was started but did not run. Its time
// is not observed, and its team is not charged.
func (q *Queue) Abort(now time.Time, entry *Entry) []*Entry {
	q.order.Refund(&entry.waiter)
	q.running--
	return q.Dispatch(now)
}

// Dispatch starts waiting requests in order while there is capacity. Call it
// after Limit has grown.
func (q *Queue) Dispatch(now time.Time) []*Entry {
	var next []*Entry
	for {
		// Teams with credit are first, so that no other waiter has capacity if
		// the first one has none.
		head := q.order.Head(1)
		if len(head) == 0 || !q.hasCapacity(head[0].Team) {
			return next
		}
		entry := q.entries[head[0]]
		q.forget(entry)
		q.begin(now, entry)
		next = append(next, entry)
	}
}

// Cancel removes a waiting request, and reports whether it was still waiting.
// Its team is not charged. A request that was started meanwhile stays until
// Done or Abort.
func (q *Queue) Cancel(entry *Entry) bool {
	if !q.order.Remove(&entry.waiter) {
		return false
	}
	q.forget(entry)
	return true
}

// forget releases what a request holds while it waits.
func (q *Queue) forget(entry *Entry) {
	delete(q.entries, &entry.waiter)
	q.bytes -= entry.Bytes
}
