package fair

import (
	"slices"
	"sort"
)

// flow holds the requests of one team and rank.
type flow struct {
	team string
	// weight is the weight of the team in its latest request.
	weight float64
	// tag is the start tag of the next request.
	tag float64
	// waiters holds the waiting requests in order.
	waiters []*Waiter
	// lane is the index of the lane of a flow with waiters, idle the index in
	// the list of idle flows of the others.
	lane, idle int
}

// index returns the index in the flow where a request is or would be inserted.
func (f *flow) index(w *Waiter) int {
	return sort.Search(len(f.waiters), func(i int) bool { return !f.waiters[i].precedes(w) })
}

// startAt returns the start tag of a request at an index.
func (f *flow) startAt(i int) float64 {
	if i == 0 {
		return f.tag
	}
	before := f.waiters[i-1]
	return before.start + before.work()
}

// insert adds a waiter.
func (f *flow) insert(w *Waiter) {
	i := f.index(w)
	f.waiters = slices.Insert(f.waiters, i, w)
	w.flow = f
	f.weight = atLeastOne(w.Weight)
	f.retag(i)
}

// remove removes a waiter and returns its index. The start tags of the others
// are unchanged.
func (f *flow) remove(w *Waiter) (index int) {
	index = slices.Index(f.waiters, w)
	f.waiters = slices.Delete(f.waiters, index, index+1)
	w.flow = nil
	return index
}

// setTag sets the start tag of the next request and of those behind it. These
// have the right ones already if the first waiter was served just now.
func (f *flow) setTag(tag float64) {
	f.tag = tag
	if len(f.waiters) > 0 && f.waiters[0].start != tag {
		f.retag(0)
	}
}

// retag sets the start tags of the waiters from an index on.
func (f *flow) retag(from int) {
	for i := from; i < len(f.waiters); i++ {
		f.waiters[i].start = f.startAt(i)
	}
}
