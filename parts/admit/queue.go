package admit

import (
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// Queue admits the requests of one pool. Set the exported fields before first
// use. It is not safe for concurrent use.
type Queue struct {
	Limits Limits
	// Limit is the maximum number of requests that run concurrently.
	Limit float64

	teams   map[string]*teamQueue
	running int
	waiting int
	bytes   int
	// virtualTime is the virtual time of the fair queueing: the start tag of
	// the last request that was started.
	virtualTime float64
	runTimes    runTimes
}

// teamQueue holds the waiting requests of one team.
type teamQueue struct {
	weight float64
	// finishTag is the finish tag of the last request of the team.
	finishTag float64
	running   int
	entries   []*Entry
}

// Entry is a waiting or running request.
type Entry struct {
	Request
	// Running reports that the request was started.
	Running bool
	// Credit reports that its team had credit left when it was started.
	Credit bool

	arrivedAt, startedAt time.Time
	startTag             float64
	wake                 chan struct{}
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Submit starts a request, queues it, or refuses it.
func (q *Queue) Submit(now time.Time, req Request) (*Entry, *fault.Error) {
	req.Weight, req.Cost = max(req.Weight, 1), max(req.Cost, 1)
	tq := q.teamQueue(&req)
	remaining := req.Deadline.Sub(now)
	if req.RunTime > remaining {
		q.dropIdle(req.Team)
		return nil, deadlineExceeded("runs longer than its deadline allows", 0)
	}
	entry := &Entry{Request: req, arrivedAt: now}
	if len(tq.entries) == 0 && q.hasCapacity(q.startTag(tq)) {
		q.assignTags(tq, entry)
		q.begin(now, tq, entry)
		return entry, nil
	}
	if e := q.rejection(tq, &req, remaining); e != nil {
		q.dropIdle(req.Team)
		return nil, e
	}
	q.assignTags(tq, entry)
	tq.entries = append(tq.entries, entry)
	q.waiting++
	q.bytes += req.Bytes
	return entry, nil
}

// rejection returns why a request must not wait, or nil.
func (q *Queue) rejection(tq *teamQueue, req *Request, remaining time.Duration) *fault.Error {
	wait := q.expectedWait(tq)
	switch {
	case wait > q.Limits.MaxWait:
		return overloaded("too many requests of the team wait", wait)
	case wait+req.RunTime > remaining:
		return deadlineExceeded("waits longer than its deadline allows", wait)
	case q.waiting >= q.Limits.MaxRequests:
		return overloaded("too many requests wait", wait)
	case q.bytes+req.Bytes > q.Limits.MaxBytes:
		return overloaded("the waiting requests hold too much memory", wait)
	}
	return nil
}

// expectedWait returns how long a request that joins a team's queue now is
// expected to wait if the running requests end at the same rate as before.
// Requests of a team with credit are served in the order of their start tags,
// and those of another team at the rate of its share.
func (q *Queue) expectedWait(tq *teamQueue) time.Duration {
	start, ahead, share := q.startTag(tq), 0.0, 1.0
	queues := q.teams
	if start > q.virtualTime {
		queues, share = map[string]*teamQueue{"": tq}, tq.weight/q.activeWeight(tq)
	}
	for _, other := range queues {
		for _, entry := range other.entries {
			if entry.startTag <= start {
				ahead += entry.Cost
			}
		}
	}
	return q.runTimes.expectedWait(ahead, share, q.running)
}

// startTag returns the start tag of a request that joins a team's queue now. An
// idle team starts at the virtual time less the maximum credit: it saves up no
// more than that while it sends little.
func (q *Queue) startTag(tq *teamQueue) float64 {
	return max(q.virtualTime-q.Limits.MaxCredit, tq.finishTag)
}

// activeWeight returns the total weight of the teams with waiting requests,
// including the given one.
func (q *Queue) activeWeight(tq *teamQueue) float64 {
	sum := 0.0
	for _, other := range q.teams {
		if len(other.entries) > 0 || other == tq {
			sum += other.weight
		}
	}
	return sum
}

// teamQueue returns the queue of a team, with its weight up to date.
func (q *Queue) teamQueue(req *Request) *teamQueue {
	if q.teams == nil {
		q.teams = map[string]*teamQueue{}
	}
	tq := q.teams[req.Team]
	if tq == nil {
		tq = &teamQueue{finishTag: q.virtualTime - q.Limits.MaxCredit}
		q.teams[req.Team] = tq
	}
	tq.weight = req.Weight
	return tq
}

// assignTags sets the start tag of a request and the finish tag of its team.
func (q *Queue) assignTags(tq *teamQueue, entry *Entry) {
	entry.startTag = q.startTag(tq)
	tq.finishTag = entry.startTag + entry.Cost/tq.weight
}

// hasCapacity reports whether a request with a start tag may run now. Below the
// limit any request may; within the headroom above it, those of teams with
// credit.
func (q *Queue) hasCapacity(start float64) bool {
	running := float64(q.running)
	return running < q.Limit || running < q.Limit*(1+q.Limits.Headroom) && start < q.virtualTime
}

// begin starts a request.
func (q *Queue) begin(now time.Time, tq *teamQueue, entry *Entry) {
	entry.Credit = entry.startTag < q.virtualTime
	q.virtualTime = max(q.virtualTime, entry.startTag)
	q.running++
	tq.running++
	entry.Running, entry.startedAt = true, now
}

// Done records that a request that ran has ended, and returns the requests that
// may run now.
func (q *Queue) Done(now time.Time, entry *Entry) []*Entry {
	q.runTimes.observe(now.Sub(entry.startedAt), entry.Cost)
	return q.Abort(now, entry)
}

// Abort is like Done for a request that was started but did not run, so that
// its time is not observed.
func (q *Queue) Abort(now time.Time, entry *Entry) []*Entry {
	q.running--
	q.teams[entry.Team].running--
	next := q.Dispatch(now)
	q.dropIdle(entry.Team)
	return next
}

// Dispatch starts waiting requests while there is capacity, lowest start tag
// first. Call it after Limit has grown.
func (q *Queue) Dispatch(now time.Time) []*Entry {
	var next []*Entry
	for q.waiting > 0 {
		tq := q.next()
		if tq == nil {
			break
		}
		entry := tq.entries[0]
		q.remove(tq, 0)
		q.begin(now, tq, entry)
		next = append(next, entry)
	}
	return next
}

// next returns the team queue to serve next, or nil if there is no capacity.
// Equal start tags are served by arrival, so that the choice never depends on
// the order of a map.
func (q *Queue) next() *teamQueue {
	var best *teamQueue
	for _, tq := range q.teams {
		if len(tq.entries) == 0 || !q.hasCapacity(tq.entries[0].startTag) {
			continue
		}
		if best == nil || tq.entries[0].less(best.entries[0]) {
			best = tq
		}
	}
	return best
}

// less reports whether an entry is served before another one.
func (e *Entry) less(other *Entry) bool {
	if e.startTag != other.startTag {
		return e.startTag < other.startTag
	}
	if !e.arrivedAt.Equal(other.arrivedAt) {
		return e.arrivedAt.Before(other.arrivedAt)
	}
	return e.Team < other.Team
}

// Cancel removes a waiting request, and reports whether it was still waiting. A
// request that was started meanwhile stays until Done.
func (q *Queue) Cancel(entry *Entry) bool {
	if entry.Running {
		return false
	}
	tq := q.teams[entry.Team]
	if tq == nil {
		return false
	}
	for i, other := range tq.entries {
		if other == entry {
			q.remove(tq, i)
			q.dropIdle(entry.Team)
			return true
		}
	}
	return false
}

// remove removes the entry at an index from a team's queue.
func (q *Queue) remove(tq *teamQueue, i int) {
	q.waiting--
	q.bytes -= tq.entries[i].Bytes
	copy(tq.entries[i:], tq.entries[i+1:])
	tq.entries[len(tq.entries)-1] = nil
	tq.entries = tq.entries[:len(tq.entries)-1]
}

// dropIdle removes the queue of a team that has no requests and whose finish
// tag is not ahead of the virtual time less the credit. Otherwise the queues
// of teams that no longer send requests would accumulate.
func (q *Queue) dropIdle(team string) {
	tq := q.teams[team]
	if tq != nil && tq.running == 0 && len(tq.entries) == 0 && tq.finishTag <= q.virtualTime-q.Limits.MaxCredit {
		delete(q.teams, team)
	}
}
