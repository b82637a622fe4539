package fair

import (
	"cmp"
	"slices"
	"sort"
)

// Head returns the next n waiters in order. The slice is valid until the next
// call.
func (q *Queue) Head(n int) []*Waiter {
	clear(q.head)
	q.head = q.head[:0]
	for _, l := range q.levels {
		if l.turns.due && len(q.head) < n {
			q.head = append(q.head, l.first())
		}
	}
	for _, l := range q.levels {
		if len(q.head) >= n {
			break
		}
		q.head = l.appendHead(q.head, n)
	}
	return q.head
}

// appendHead appends the next waiters in order until the list has n. The first
// of a rank that is due is in the list already.
func (l *level) appendHead(list []*Waiter, n int) []*Waiter {
	from, first := len(list), l.first()
	due := l.turns.due
	for f := range l.all {
		for i, w := range f.waiters {
			if due && w == first {
				continue
			}
			at := from + l.position(list[from:], w)
			if at == n && i == 0 {
				// The first waiters of further flows are later.
				return list
			}
			if at == n {
				break
			}
			list = slices.Insert(list, at, w)
			list = list[:min(n, len(list))]
		}
	}
	return list
}

// position returns how many of a sorted list go before a waiter.
func (l *level) position(list []*Waiter, w *Waiter) int {
	k := l.key(w)
	return sort.Search(len(list), func(i int) bool { return !l.key(list[i]).before(k) })
}

// Last returns the waiter that would be served last, or nil if none waits.
func (q *Queue) Last() *Waiter {
	var last *Waiter
	for _, l := range q.levels {
		// A rank whose only waiter is due precedes the others.
		if l.waiting > 1 || l.waiting == 1 && !l.turns.due || last == nil || q.isDue(last) {
			last = cmp.Or(l.last(), last)
		}
	}
	return last
}

// last returns the last waiter of the rank, or nil if none waits.
func (l *level) last() *Waiter {
	var last key
	for _, flows := range slices.Backward(l.lanes[:]) {
		for i := len(flows) - 1; i >= 0; i-- {
			s := &flows[i]
			if last.waiter != nil && s.waiting == 1 {
				continue // The flows are in order of their first waiters.
			}
			lane, start := l.end(s)
			if last.waiter != nil && (lane < last.lane || lane == last.lane && start < last.start) {
				continue
			}
			k := key{lane: lane, start: start, waiter: s.flow.waiters[s.waiting-1]}
			if last.waiter == nil || last.before(k) {
				last = k
			}
		}
	}
	return last.waiter
}
