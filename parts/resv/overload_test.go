package resv_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/resv"
)

const (
	tick = 10 * time.Millisecond
	// maxWaiting is the bound of the queue of an overloaded host: 0.3 s of work.
	maxWaiting = 30
)

// attempt is a request at an overloaded host.
type attempt struct {
	key    uint64
	second bool
	kind   fair.Return
}

// overloaded is a host that serves one request per tick: first those on time, then new ones.
type overloaded struct {
	// retryAfter returns what a refused caller is told.
	retryAfter func(key uint64, ahead int, now time.Time) time.Duration
	book       resv.Book
	waiting    []attempt
	returns    map[int][]uint64
	// served and refused count second attempts.
	served, refused int
}

// arrive adds an attempt to the queue. If that is full, the last one is refused.
func (o *overloaded) arrive(a attempt, now time.Time) {
	a.kind = o.book.Arrive(a.key, now)
	place := 0
	for place < len(o.waiting) && (a.kind != fair.OnTime || o.waiting[place].kind == fair.OnTime) {
		place++
	}
	o.waiting = append(o.waiting[:place:place], append([]attempt{a}, o.waiting[place:]...)...)
	if len(o.waiting) <= maxWaiting {
		return
	}
	last := o.waiting[maxWaiting]
	o.waiting = o.waiting[:maxWaiting]
	if last.second {
		o.refused++
		return
	}
	due := now.Add(o.retryAfter(last.key, maxWaiting, now))
	n := int(due.Sub(start)/tick) + 1
	o.returns[n] = append(o.returns[n], last.key)
}

// run sends 150 requests a second for 6 s, then 50, to a host that serves 100. If the overload lasted, no
// order could serve all second attempts, since there would be 150 of them a second.
func (o *overloaded) run() {
	o.returns = map[int][]uint64{}
	key, pending := uint64(0), 0.0
	for n := range 1500 {
		now := start.Add(time.Duration(n) * tick)
		if pending += 1.5; n >= 600 {
			pending--
		}
		for ; pending >= 1; pending-- {
			key++
			o.arrive(attempt{key: key}, now)
		}
		for _, returned := range o.returns[n] {
			o.arrive(attempt{key: returned, second: true}, now)
		}
		if len(o.waiting) > 0 {
			if o.waiting[0].second {
				o.served++
			}
			o.waiting = o.waiting[1:]
			o.book.Served("s", now)
		}
		o.book.Sweep(now)
	}
}

// Guards against refused callers that return as told and are refused again, as they are with a constant
// Retry-After.
func TestReturnsAreServedUnderOverload(t *testing.T) {
	var told overloaded
	told.retryAfter = func(key uint64, ahead int, now time.Time) time.Duration {
		return told.book.Promise("s", key, 100*time.Millisecond, 5*time.Second, ahead, now)
	}
	told.run()
	constant := overloaded{retryAfter: func(uint64, int, time.Time) time.Duration { return 700 * time.Millisecond }}
	constant.run()
	t.Logf("second attempts served and refused: as promised %d, %d; after 0.7 s %d, %d", told.served, told.refused, constant.served, constant.refused)
	qt.Check(t, told.served >= 300, qt.IsTrue)
	qt.Check(t, told.refused*50 <= told.served, qt.IsTrue)
	qt.Check(t, constant.refused*2 >= constant.served, qt.IsTrue)
}
