package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/fault"
)

const (
	// pollInterval is the interval of rounds: other hosts free capacity as well.
	pollInterval = 20 * time.Millisecond
	// minRoundInterval is the shortest interval between two rounds if no request of this host has
	// ended meanwhile.
	minRoundInterval = 10 * time.Millisecond
)

// run runs rounds while requests wait.
func (l *line) run() {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for l.goesOn() {
		select {
		case <-tick.C:
		case <-l.wake:
		}
		l.round()
	}
}

// goesOn reports whether requests wait. The goroutine of the rounds ends otherwise.
func (l *line) goesOn() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = l.queue.Len() > 0
	return l.running
}

// roundDue reports whether capacity may have become free since the last round, and when that began.
func (l *line) roundDue(now time.Time) (due bool, last time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Len() > 0 && (l.freed || now.Sub(l.lastRound) >= minRoundInterval), l.lastRound
}

// round looks for capacity on behalf of the first waiters, in their order, until none finds any. It
// refuses those that have waited for too long.
func (l *line) round() {
	l.rounds.Lock()
	defer l.rounds.Unlock()
	l.runRound()
}

// roundIfDue runs a round if one is due. Of several callers that wait for the round before, only the
// first one does.
func (l *line) roundIfDue() {
	due, last := l.roundDue(time.Now())
	if !due {
		return
	}
	l.rounds.Lock()
	defer l.rounds.Unlock()
	if _, latest := l.roundDue(time.Now()); latest.Equal(last) {
		l.runRound()
	}
}

// runRound is round while the mutex of the rounds is held.
func (l *line) runRound() {
	now := time.Now()
	l.mu.Lock()
	l.freed, l.lastRound, l.missed = false, now, l.missed[:0]
	l.mu.Unlock()
	for l.pass() {
		// Those behind a request that was served have moved up.
	}
	l.refuseOverdue(now)
}

// pass looks on behalf of the first waiters, and reports whether one of them left the line.
func (l *line) pass() bool {
	for _, w := range l.head() {
		if !l.beginLook(w) {
			continue
		}
		headroom := l.Shares.Headroom(w.request.Class)
		found, e := w.find(headroom)
		if l.endLook(w, found, e, headroom) {
			return true
		}
	}
	return false
}

// head returns the waiters that look for capacity, in their order: the first ones, and behind them
// those that need to leave less of it free than all before them.
func (l *line) head() (list []*waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	least := math.Inf(1)
	for i, first := range l.queue.Head(maxScan) {
		w := l.waiters[first]
		headroom := l.Shares.Headroom(w.request.Class)
		if i < headSize || headroom < least {
			list = append(list, w)
		}
		least = min(least, headroom)
	}
	return list
}

// beginLook reports whether w still waits, and keeps it in the line until endLook.
func (l *line) beginLook(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, w.looking = l.waiters[&w.Waiter]
	return w.looking
}

// endLook ends the wait of w if it found capacity, cannot be served, or its caller has left.
func (l *line) endLook(w *waiter, found bool, e *fault.Error, headroom float64) (ended bool) {
	if found {
		w.result <- result{ticket: l.serve(w, time.Now())}
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w.looking = false
	if e == nil && !w.request.Restricted {
		l.missed = append(l.missed, missedLook{w.Cost, headroom})
	}
	if e == nil && w.left {
		e = errLeft()
	}
	if e == nil {
		return false
	}
	l.remove(w)
	w.result <- result{err: e}
	return true
}

// missedLook is a request that found no capacity on any server.
type missedLook struct{ cost, headroom float64 }

// mayFind reports whether a request may find capacity that those which looked in the last round
// did not. One that needs as much would only take what became free for them a moment ago.
func (l *line) mayFind(w *waiter) bool {
	headroom := l.Shares.Headroom(w.request.Class)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Len() == 0 || !slices.ContainsFunc(l.missed, func(m missedLook) bool { return m.cost <= w.Cost && m.headroom <= headroom })
}

// refuseOverdue refuses the waiters that cannot be served in time any more, in their order.
func (l *line) refuseOverdue(now time.Time) {
	l.mu.Lock()
	list := l.overdue(now)
	for _, d := range list {
		l.remove(d.waiter)
	}
	l.mu.Unlock()
	for _, d := range list {
		l.refuseWaiter(d.waiter, timeoutReason, d.ahead, now)
	}
}

// maxPlaced is the number of waiters from which it is faster to order the whole queue than to find
// the place of each: after a stall of the process all may be overdue.
const maxPlaced = 32

// overdue returns the waiters that cannot be served in time any more, in their order. The mutex is
// held.
func (l *line) overdue(now time.Time) (list []displacement) {
	for _, w := range l.waiters {
		if w.isOverdue(now) {
			list = append(list, displacement{waiter: w})
		}
	}
	if len(list) > maxPlaced {
		list = list[:0]
		for ahead, waiting := range l.queue.Head(l.queue.Len()) {
			if w := l.waiters[waiting]; w.isOverdue(now) {
				list = append(list, displacement{w, ahead})
			}
		}
		return list
	}
	for i, d := range list {
		list[i].ahead = l.queue.Ahead(&d.waiter.Waiter)
	}
	slices.SortFunc(list, func(a, b displacement) int { return cmp.Compare(a.ahead, b.ahead) })
	return list
}
