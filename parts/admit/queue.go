package admit

import (
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// Queue decides for one pool. Set the exported fields before first use. It
// is not safe for several goroutines.
type Queue struct {
	Limits Limits
	// Limit is how many requests run at once.
	Limit float64

	teams   map[string]*line
	running int
	waiting int
	bytes   int
	// virtual is the virtual time: the start tag of the last request that
	// was let run.
	virtual float64
	pace    pace
}

// line is the line of one team.
type line struct {
	weight float64
	// finish is the finish tag of the last request that joined.
	finish  float64
	running int
	items   []*Item
}

// Item is a request that waits or runs.
type Item struct {
	Request
	// Running says that the request was let run.
	Running bool
	// Credit says that its team had credit left when it was let run.
	Credit bool

	arrived, began time.Time
	start          float64
	wake           chan struct{}
}

// Running returns how many requests run.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// Submit takes a request in, running or waiting, or refuses it.
func (q *Queue) Submit(now time.Time, ask Request) (*Item, *fault.Error) {
	ask.Weight, ask.Cost = max(ask.Weight, 1), max(ask.Cost, 1)
	l := q.line(&ask)
	left := ask.Deadline.Sub(now)
	if ask.RunTime > left {
		q.forget(ask.Team)
		return nil, tooLate("runs longer than its deadline allows", 0)
	}
	item := &Item{Request: ask, arrived: now}
	if len(l.items) == 0 && q.room(q.start(l)) {
		q.tag(l, item)
		q.run(now, l, item)
		return item, nil
	}
	if e := q.refuse(l, &ask, left); e != nil {
		q.forget(ask.Team)
		return nil, e
	}
	q.tag(l, item)
	l.items = append(l.items, item)
	q.waiting++
	q.bytes += ask.Bytes
	return item, nil
}

// refuse returns why a request must not wait, or nil.
func (q *Queue) refuse(l *line, ask *Request, left time.Duration) *fault.Error {
	wait := q.wait(l)
	switch {
	case wait > q.Limits.MaxWait:
		return overloaded("too many requests of the team wait", wait)
	case wait+ask.RunTime > left:
		return tooLate("waits longer than its deadline allows", wait)
	case q.waiting >= q.Limits.MaxRequests:
		return overloaded("too many requests wait", wait)
	case q.bytes+ask.Bytes > q.Limits.MaxBytes:
		return overloaded("the waiting requests hold too much memory", wait)
	}
	return nil
}

// wait returns how long a request that joins a line now is going to wait, if
// the running requests end as those before them did. A team with credit left
// is served in the order of tags; another one at the rate of its share.
func (q *Queue) wait(l *line) time.Duration {
	start, ahead, share := q.start(l), 0.0, 1.0
	lines := q.teams
	if start > q.virtual {
		lines, share = map[string]*line{"": l}, l.weight/q.weights(l)
	}
	for _, other := range lines {
		for _, item := range other.items {
			if item.start <= start {
				ahead += item.Cost
			}
		}
	}
	return q.pace.wait(ahead, share, q.running)
}

// start returns the start tag of a request that joins a line now. A line that
// was empty starts at the virtual time, less the credit: a team saves up no
// more than that while it sends little.
func (q *Queue) start(l *line) float64 {
	return max(q.virtual-q.Limits.MaxCredit, l.finish)
}

// weights returns the weight of all lines in which requests wait, with l.
func (q *Queue) weights(l *line) float64 {
	sum := 0.0
	for _, other := range q.teams {
		if len(other.items) > 0 || other == l {
			sum += other.weight
		}
	}
	return sum
}

// line returns the line of a team, with its weight up to date.
func (q *Queue) line(ask *Request) *line {
	if q.teams == nil {
		q.teams = map[string]*line{}
	}
	l := q.teams[ask.Team]
	if l == nil {
		l = &line{finish: q.virtual - q.Limits.MaxCredit}
		q.teams[ask.Team] = l
	}
	l.weight = ask.Weight
	return l
}

// tag gives a request its place.
func (q *Queue) tag(l *line, item *Item) {
	item.start = q.start(l)
	l.finish = item.start + item.Cost/l.weight
}

// room reports whether a request with a start tag may run now. Up to the
// limit any may; above it, within the reserve, those of a team with credit
// left.
func (q *Queue) room(start float64) bool {
	running := float64(q.running)
	return running < q.Limit || running < q.Limit*(1+q.Limits.Headroom) && start < q.virtual
}

func (q *Queue) run(now time.Time, l *line, item *Item) {
	item.Credit = item.start < q.virtual
	q.virtual = max(q.virtual, item.start)
	q.running++
	l.running++
	item.Running, item.began = true, now
}

// Done notes that a request that ran has ended, and returns the requests that
// may run now.
func (q *Queue) Done(now time.Time, item *Item) []*Item {
	q.pace.add(now.Sub(item.began), item.Cost)
	return q.Abort(now, item)
}

// Abort is Done for a request that was let run and was not started, so that
// its time tells nothing.
func (q *Queue) Abort(now time.Time, item *Item) []*Item {
	q.running--
	q.teams[item.Team].running--
	next := q.Dispatch(now)
	q.forget(item.Team)
	return next
}

// Dispatch lets waiting requests run while there is room, lowest start tag
// first. Call it after Limit has grown.
func (q *Queue) Dispatch(now time.Time) []*Item {
	var next []*Item
	for q.waiting > 0 {
		l := q.first()
		if l == nil {
			break
		}
		item := l.items[0]
		q.leave(l, 0)
		q.run(now, l, item)
		next = append(next, item)
	}
	return next
}

// first returns the line to serve next, or nil if there is no room. Lines
// with equal tags are served by arrival, so that the choice never hangs on
// the order of a map.
func (q *Queue) first() *line {
	var best *line
	for _, l := range q.teams {
		if len(l.items) == 0 || !q.room(l.items[0].start) {
			continue
		}
		if best == nil || l.items[0].before(best.items[0]) {
			best = l
		}
	}
	return best
}

func (i *Item) before(other *Item) bool {
	if i.start != other.start {
		return i.start < other.start
	}
	if !i.arrived.Equal(other.arrived) {
		return i.arrived.Before(other.arrived)
	}
	return i.Team < other.Team
}

// Cancel takes a waiting request out, and reports whether it still waited. One
// that was let run meanwhile stays in, until Done.
func (q *Queue) Cancel(item *Item) bool {
	if item.Running {
		return false
	}
	l := q.teams[item.Team]
	if l == nil {
		return false
	}
	for i, other := range l.items {
		if other == item {
			q.leave(l, i)
			q.forget(item.Team)
			return true
		}
	}
	return false
}

func (q *Queue) leave(l *line, i int) {
	q.waiting--
	q.bytes -= l.items[i].Bytes
	copy(l.items[i:], l.items[i+1:])
	l.items[len(l.items)-1] = nil
	l.items = l.items[:len(l.items)-1]
}

// forget drops the line of a team that has nothing in the queue and no finish
// tag ahead of the virtual time. Otherwise lines of teams that no longer call
// would pile up.
func (q *Queue) forget(team string) {
	l := q.teams[team]
	if l != nil && l.running == 0 && len(l.items) == 0 && l.finish <= q.virtual-q.Limits.MaxCredit {
		delete(q.teams, team)
	}
}
