package prio_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/prio"
)

var start = time.Unix(1_700_000_000, 0)

// play lets requests come at one rate and room come free at another, for ten
// seconds, and counts what callers get.
func play(q *prio.Queue, arrive, free time.Duration) (served, refused, vain int, longest time.Duration) {
	type waiter struct {
		place *prio.Waiter
		since time.Time
	}
	var line []waiter
	nextArrival, nextRoom := start, start
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		if !now.Before(nextArrival) {
			nextArrival = nextArrival.Add(arrive)
			if place, _ := q.Enqueue(0, time.Second); place != nil {
				line = append(line, waiter{place, now})
			} else {
				refused++
			}
		}
		if !now.Before(nextRoom) {
			nextRoom = nextRoom.Add(free)
			if len(line) > 0 && q.AtHead(line[0].place) {
				q.Remove(line[0].place, true, now)
				longest = max(longest, now.Sub(line[0].since))
				served++
				line = line[1:]
			}
		}
		for len(line) > 0 && now.Sub(line[0].since) > time.Second {
			q.Remove(line[0].place, false, now)
			vain++
			line = line[1:]
		}
	}
	return served, refused, vain, longest
}

// A domain is lost, and requests come half as fast again as room comes free.
// All the room is used, nobody waits in vain for long, and the rest is refused
// at once.
func TestOverload(t *testing.T) {
	q := &prio.Queue{}
	served, refused, vain, longest := play(q, 33*time.Millisecond, 50*time.Millisecond)
	t.Logf("served %d, refused %d, in vain %d, longest wait %s", served, refused, vain, longest)
	qt.Assert(t, served >= 195, qt.IsTrue)
	qt.Assert(t, refused >= 70, qt.IsTrue)
	qt.Assert(t, vain <= 5, qt.IsTrue)
	qt.Assert(t, longest <= time.Second, qt.IsTrue)
}

// Requests come slower than room comes free: nobody is refused.
func TestUnderload(t *testing.T) {
	q := &prio.Queue{}
	_, refused, vain, _ := play(q, 60*time.Millisecond, 50*time.Millisecond)
	qt.Assert(t, refused+vain, qt.Equals, 0)
}

// Nothing comes free at all. A long queue would hold everybody for nothing.
func TestStandstill(t *testing.T) {
	q := &prio.Queue{}
	_, refused, vain, _ := play(q, 33*time.Millisecond, time.Hour)
	qt.Assert(t, vain <= 40, qt.IsTrue)
	qt.Assert(t, refused >= 260, qt.IsTrue)
}

// A more urgent request comes last and goes first; the first in line needs more
// than there is, and the next ones need not wait for it.
func TestOrder(t *testing.T) {
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
