package queue

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/share"
)

// lineWaiters and lineTeams are the size of a line in these tests.
const lineWaiters, lineTeams = 2000, 400

// newFilledLine returns a line with waiters, of which the given number are overdue at a time.
func newFilledLine(overdue, ranks int, now time.Time) *line {
	log := slog.New(slog.DiscardHandler)
	alive := func() map[domain.Name]int { return map[domain.Name]int{"a": 1} }
	a := &Admission{Shares: &share.Tracker{Self: "host", Domain: "a", Alive: alive, Log: log}, Book: &resv.Book{Log: log}, Log: log}
	l := newLine(a, "assist")
	for i := range lineWaiters {
		r := Request{
			Class: share.Class{Service: "assist", Team: fmt.Sprint("team-", i%lineTeams), Rank: i % ranks}, Key: uint64(i),
			Return: fair.Return(i % 3), Cost: float64(1 + i%7), MaxWait: time.Hour, Deadline: now.Add(10 * time.Hour),
		}
		if i*overdue/lineWaiters != (i+1)*overdue/lineWaiters {
			r.MaxWait = 0
		}
		w := newWaiter(r, nil, now)
		w.result = make(chan result, 1)
		w.stopWaiting = l.Shares.Wait(r.Class, w.Cost, now)
		l.queue.Push(&w.Waiter)
		l.waiters[&w.Waiter] = w
	}
	return l
}

// Guards against overdue waiters that are refused out of order, so that their callers return in
// another one, or with a wrong number of waiters ahead.
func TestOverdueWaitersAreInOrder(t *testing.T) {
	now := time.Now()
	for _, overdue := range []int{0, 1, maxPlaced, maxPlaced + 1, lineWaiters} {
		l := newFilledLine(overdue, 3, now)
		// Some teams have used more than others, and the last ranks are due.
		for range 100 {
			l.serve(l.waiters[l.queue.Head(1)[0]], now)
		}
		var want []displacement
		for ahead, waiting := range l.queue.Head(l.queue.Len()) {
			if w := l.waiters[waiting]; w.request.MaxWait == 0 {
				want = append(want, displacement{w, ahead})
			}
		}
		qt.Check(t, l.overdue(now), qt.HasLen, len(want))
		for i, d := range l.overdue(now) {
			qt.Assert(t, d == want[i], qt.IsTrue, qt.Commentf("%d of %d", i, len(want)))
		}
	}
}

// BenchmarkRefuseOverdue measures the search for overdue waiters in a long line, which each round
// makes, and their refusal.
func BenchmarkRefuseOverdue(b *testing.B) {
	now := time.Now()
	for _, overdue := range []int{0, 20, lineWaiters} {
		b.Run(fmt.Sprint(overdue), func(b *testing.B) {
			b.ReportAllocs()
			l := newFilledLine(overdue, 1, now)
			for b.Loop() {
				if overdue > 0 {
					b.StopTimer()
					l = newFilledLine(overdue, 1, now)
					b.StartTimer()
				}
				l.refuseOverdue(now)
			}
		})
	}
}
