package fair

import "sort"

// isFirst reports whether a request, waiting or not, goes first in its rank.
func (l *level) isFirst(w *Waiter) bool {
	first := l.first()
	return first == nil || !l.key(first).before(l.key(w))
}

// end returns the lane and the start tag of the last waiter of a flow.
func (l *level) end(s *slot) (lane int, start float64) {
	return l.lane(int(s.endPrecedence), s.end), s.end
}

// ahead returns how many waiters of a flow go before a request. The first one
// does.
func (l *level) ahead(s *slot, k *key) int {
	if s.waiting == 1 {
		return 1
	}
	return l.aheadOfSeveral(s, k)
}

// aheadOfSeveral is ahead for a flow with several waiters.
func (l *level) aheadOfSeveral(s *slot, k *key) int {
	if lane, start := l.end(s); lane < k.lane || lane == k.lane && start < k.start {
		return int(s.waiting)
	}
	waiters := s.flow.waiters[1:]
	return 1 + sort.Search(len(waiters), func(i int) bool { return !l.key(waiters[i]).before(*k) })
}

// lanesAhead returns the flows with waiters before a request.
func (l *level) lanesAhead(k key) (lanes [numLanes]lane) {
	copy(lanes[:], l.lanes[:k.lane+1])
	lanes[k.lane] = lanes[k.lane][:lanes[k.lane].search(k)]
	return lanes
}

// isDue reports whether a request goes before all other ranks because its own
// is due.
func (q *Queue) isDue(w *Waiter) bool {
	l := q.find(w.rank())
	return l != nil && l.turns.due && l.isFirst(w)
}

// Before reports whether a is served before b. Each of them may wait or not.
func (q *Queue) Before(a, b *Waiter) bool {
	if x, y := q.isDue(a), q.isDue(b); x != y {
		return x
	}
	if a.rank() != b.rank() {
		return a.rank() < b.rank()
	}
	l := q.find(a.rank())
	if l == nil {
		return a.precedes(b)
	}
	return l.key(a).before(l.key(b))
}

// Ahead returns how many waiters would be served before w, which waits or not.
func (q *Queue) Ahead(w *Waiter) int {
	n, due := 0, q.isDue(w)
	for _, l := range q.levels {
		switch {
		case due:
			if l.rank < w.rank() && l.turns.due {
				n++
			}
		case l.rank < w.rank():
			n += l.waiting
		case l.rank == w.rank():
			n += l.countAhead(l.key(w))
		case l.turns.due:
			n++
		}
	}
	return n
}

// countAhead returns how many waiters of the rank go before a request.
func (l *level) countAhead(k key) int {
	n := 0
	for _, lane := range l.lanesAhead(k) {
		for i := range lane {
			n += l.ahead(&lane[i], &k)
		}
	}
	return n
}
