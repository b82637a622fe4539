package prio_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/prio"
)

var start = time.Unix(1_700_000_000, 0)

// simulate runs ten seconds in which requests arrive at one interval and capacity
// becomes free at another. It returns how many requests were served, refused or timed
// out, and the longest wait of a served one.
func simulate(q *prio.Queue, arrivalInterval, capacityInterval time.Duration) (served, refused, timedOut int, longest time.Duration) {
	type entry struct {
		waiter *prio.Waiter
		since  time.Time
	}
	var queued []entry
	nextArrival, nextCapacity := start, start
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		if !now.Before(nextArrival) {
			nextArrival = nextArrival.Add(arrivalInterval)
			if waiter, _ := q.Enqueue(0, time.Second); waiter != nil {
				queued = append(queued, entry{waiter, now})
			} else {
				refused++
			}
		}
		if !now.Before(nextCapacity) {
			nextCapacity = nextCapacity.Add(capacityInterval)
			if len(queued) > 0 && q.AtHead(queued[0].waiter) {
				q.Remove(queued[0].waiter, true, now)
				longest = max(longest, now.Sub(queued[0].since))
				served++
				queued = queued[1:]
			}
		}
		for len(queued) > 0 && now.Sub(queued[0].since) > time.Second {
			q.Remove(queued[0].waiter, false, now)
			timedOut++
			queued = queued[1:]
		}
	}
	return served, refused, timedOut, longest
}

// Guards against unused capacity, and against long waits that end in a timeout, under
// overload: after the loss of a failure domain requests arrive one and a half times as
// fast as capacity becomes free. The excess requests are refused at once.
func TestOverload(t *testing.T) {
	q := &prio.Queue{}
	served, refused, timedOut, longest := simulate(q, 33*time.Millisecond, 50*time.Millisecond)
	t.Logf("served %d, refused %d, timed out %d, longest wait %s", served, refused, timedOut, longest)
	qt.Assert(t, served >= 195, qt.IsTrue)
	qt.Assert(t, refused >= 70, qt.IsTrue)
	qt.Assert(t, timedOut <= 5, qt.IsTrue)
	qt.Assert(t, longest <= time.Second, qt.IsTrue)
}

// Guards against refusals while requests arrive more slowly than capacity becomes
// free.
func TestUnderload(t *testing.T) {
	q := &prio.Queue{}
	_, refused, timedOut, _ := simulate(q, 60*time.Millisecond, 50*time.Millisecond)
	qt.Assert(t, refused+timedOut, qt.Equals, 0)
}

// Guards against a long queue that holds requests until they time out while no
// capacity becomes free at all.
func TestNoCapacity(t *testing.T) {
	q := &prio.Queue{}
	_, refused, timedOut, _ := simulate(q, 33*time.Millisecond, time.Hour)
	qt.Assert(t, timedOut <= 40, qt.IsTrue)
	qt.Assert(t, refused >= 260, qt.IsTrue)
}

// Guards against an urgent request that waits behind others, and against a large
// request at the head that blocks the next ones.
func TestPriorityOrder(t *testing.T) {
	q := &prio.Queue{}
	large, _ := q.Enqueue(1, time.Second)
	small, _ := q.Enqueue(1, time.Second)
	urgent, _ := q.Enqueue(0, time.Second)
	qt.Assert(t, q.AtHead(large), qt.IsTrue)
	qt.Assert(t, q.AtHead(small), qt.IsTrue)
	qt.Assert(t, q.AtHead(urgent), qt.IsTrue)
	none, after := q.Enqueue(0, time.Second)
	qt.Assert(t, none, qt.IsNil)
	qt.Assert(t, after > 0, qt.IsTrue)
	q.Remove(large, false, start)
	last, _ := q.Enqueue(0, time.Second)
	qt.Assert(t, q.AtHead(last), qt.IsTrue)
	qt.Assert(t, q.HasWaiters(), qt.IsTrue)
}
