package fair

import (
	"cmp"
	"slices"
)

// expiredPerChange is how many idle flows are examined for each change of the
// virtual time. One change adds at most one idle flow.
const expiredPerChange = 2

// level holds the requests of one rank.
type level struct {
	rank               int
	maxCredit, maxDebt float64
	// virtualTime is the highest start tag that was served.
	virtualTime float64
	// flows holds the flows by team.
	flows map[string]*flow
	// lanes holds the flows with waiters, idle the others.
	lanes [numLanes]lane
	idle  []*flow
	// examined is the index of the idle flow that was examined last.
	examined int
	waiting  int
	turns    turns
}

// level returns the level of a rank.
func (q *Queue) level(rank int) *level {
	rank = validRank(rank)
	i, found := q.search(rank)
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{
			rank: rank, maxCredit: q.MaxCredit, maxDebt: q.MaxDebt, flows: map[string]*flow{},
		})
	}
	return q.levels[i]
}

// find returns the level of a rank, or nil if the rank was never used.
func (q *Queue) find(rank int) *level {
	if i, found := q.search(validRank(rank)); found {
		return q.levels[i]
	}
	return nil
}

// search returns the index of the level of a rank, or where it would be.
func (q *Queue) search(rank int) (index int, found bool) {
	return slices.BinarySearchFunc(q.levels, rank, func(l *level, rank int) int { return cmp.Compare(l.rank, rank) })
}

// floor returns the lowest start tag of a team that begins to wait.
func (l *level) floor() float64 { return l.virtualTime - l.maxCredit }

// tag returns the start tag of the next request of a flow; nil is that of an
// unknown team.
func (l *level) tag(f *flow) float64 {
	switch {
	case f == nil:
		return l.floor()
	case len(f.waiters) > 0:
		return f.tag
	}
	return max(f.tag, l.floor())
}

// first returns the first waiter, or nil if none waits.
func (l *level) first() *Waiter {
	for _, s := range l.lanes {
		if len(s) > 0 {
			return s[0].flow.waiters[0]
		}
	}
	return nil
}

// all yields the flows with waiters, in order of their first ones.
func (l *level) all(yield func(*flow) bool) {
	for _, s := range l.lanes {
		for _, other := range s {
			if !yield(other.flow) {
				return
			}
		}
	}
}

// push adds a waiter.
func (l *level) push(w *Waiter) {
	f := l.detach(w.Team)
	if len(f.waiters) == 0 {
		f.tag = l.tag(f)
	}
	f.insert(w)
	l.waiting++
	l.attach(f)
}

// remove removes a waiter that was not served.
func (l *level) remove(w *Waiter) {
	f := l.detach(w.Team)
	f.retag(l.take(f, w))
	l.attach(f)
}

// take removes a waiter from its flow and returns its index there.
func (l *level) take(f *flow, w *Waiter) (index int) {
	l.waiting--
	if l.waiting == 0 {
		l.turns = turns{}
	}
	return f.remove(w)
}

// serve charges a request, waiting or not, and advances the virtual time.
func (l *level) serve(w *Waiter) {
	f := l.detach(w.Team)
	if w.flow != nil {
		l.take(f, w)
	}
	start := max(f.tag, l.floor())
	f.setTag(start + w.work())
	l.attach(f)
	l.advance(start)
}

// refund takes back a charge of work for each unit of the weight of a team.
func (l *level) refund(team string, work float64) {
	f := l.detach(team)
	f.setTag(f.tag - work)
	l.attach(f)
}

// charge adds work for each unit of its weight to the tag of a team. The
// virtual time follows at the maximum debt.
func (l *level) charge(team string, work float64) {
	f := l.detach(team)
	f.setTag(max(f.tag, l.floor()) + work)
	l.attach(f)
	l.advance(f.tag - l.maxDebt)
}

// advance raises the virtual time, so that more teams have credit.
func (l *level) advance(to float64) {
	l.virtualTime = max(l.virtualTime, to)
	for i := range lanesByCredit {
		l.promote(lanesByCredit+i, i)
	}
	for range expiredPerChange {
		if len(l.idle) > 0 {
			l.examined = (l.examined + 1) % len(l.idle)
			l.expire(l.idle[l.examined])
		}
	}
}

// promote moves the flows that have credit now to their new lane. Those in it
// already have lower start tags.
func (l *level) promote(from, to int) {
	n := l.lanes[from].below(l.virtualTime)
	for _, s := range l.lanes[from][:n] {
		s.flow.lane = to
		l.lanes[to] = append(l.lanes[to], s)
	}
	l.lanes[from] = slices.Delete(l.lanes[from], 0, n)
}
