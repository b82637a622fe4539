package resv

import (
	"container/list"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecords bounds the promises, and with them the keys, that a host holds.
	maxRecords = 4096
	// maxPerKey bounds the promises for one key.
	maxPerKey = maxPromises
	// forgetAfter is how long after it was due a promise is remembered. Other hosts pass it on for
	// passOnFor only, so that it does not return unless messages have been delayed by the difference.
	forgetAfter = grace + time.Second
)

// promiseID identifies a promise at all hosts.
type promiseID struct {
	key uint64
	// number distinguishes the promises for one key.
	number uint16
}

// newPromiseID returns the ID of the n-th promise of a host. The time is used only to distinguish the
// promises of several hosts for one key.
func newPromiseID(key uint64, now time.Time, n int64) promiseID {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(now.UnixNano()))
	binary.BigEndian.PutUint64(b[8:], uint64(n))
	return promiseID{key: key, number: uint16(xxhash.Sum64(b[:]))}
}

// promise is a promise to a caller.
type promise struct {
	promiseID
	due time.Duration
	// own says that this host made the promise.
	own bool
	// ended says that the promise was kept or has lapsed.
	ended bool
	// element is the place of the promise in the order of the ledger.
	element *list.Element
}

// lapsed reports whether it is too late to keep the promise.
func (p *promise) lapsed(at time.Duration) bool { return at > p.due+grace }

// entry holds the promises for one key.
type entry struct {
	promises []*promise
	// early is the number of early arrivals that were not refused since, and refused the number of
	// those that were.
	early, refused int
}

// next returns the promise that is due first, of those that may still be kept; nil if there is none.
func (e *entry) next(at time.Duration) *promise {
	var next *promise
	for _, p := range e.promises {
		if !p.ended && !p.lapsed(at) && (next == nil || p.due < next.due) {
			next = p
		}
	}
	return next
}

// find returns the promise with a number; nil if there is none.
func (e *entry) find(number uint16) *promise {
	for _, p := range e.promises {
		if p.number == number {
			return p
		}
	}
	return nil
}

// ledger holds promises by key.
type ledger struct {
	entries map[uint64]*entry
	// order holds the promises, those made, received or kept last first.
	order list.List
}

// find returns a promise; nil if it is unknown.
func (l *ledger) find(id promiseID) *promise {
	if e := l.entries[id.key]; e != nil {
		return e.find(id.number)
	}
	return nil
}

// add adds a promise, unless there are too many for its key, and reports whether the oldest was dropped.
func (l *ledger) add(p *promise) (dropped bool) {
	if l.entries == nil {
		l.entries = map[uint64]*entry{}
	}
	e := l.entries[p.key]
	if e == nil {
		e = &entry{}
		l.entries[p.key] = e
	}
	if len(e.promises) >= maxPerKey {
		return false
	}
	e.promises = append(e.promises, p)
	p.element = l.order.PushFront(p)
	if l.order.Len() <= maxRecords {
		return false
	}
	l.remove(l.order.Back().Value.(*promise))
	return true
}

// remove removes a promise.
func (l *ledger) remove(p *promise) {
	l.order.Remove(p.element)
	e := l.entries[p.key]
	e.promises = slices.DeleteFunc(e.promises, func(other *promise) bool { return other == p })
	if len(e.promises) == 0 {
		delete(l.entries, p.key)
	}
}

// end ends a promise that was kept. That is news for other hosts.
func (l *ledger) end(p *promise) {
	p.ended = true
	l.order.MoveToFront(p.element)
}

// sweep ends promises that have lapsed, and removes those that need not be remembered. It returns how
// many of this host have lapsed.
func (l *ledger) sweep(at time.Duration) (lapsed int64) {
	var following *list.Element
	for element := l.order.Front(); element != nil; element = following {
		following = element.Next()
		p := element.Value.(*promise)
		if !p.ended && p.lapsed(at) {
			p.ended = true
			if p.own {
				lapsed++
			}
		}
		if at > p.due+forgetAfter {
			l.remove(p)
		}
	}
	return lapsed
}
