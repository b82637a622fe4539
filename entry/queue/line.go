package queue

import (
	"context"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/share"
)

const (
	// minLength is the number of requests that may wait whatever the service rate, which may be
	// unknown.
	minLength = 3
	// headSize is how many requests at the head look for capacity, so that a large one does not
	// block the others.
	headSize = 3
	// maxScan bounds the waiters among which those are found that leave less capacity free than
	// the head.
	maxScan = 16
	// maxCredit and maxDebt bound how much less and more than the others a team counts as having
	// been served, in tokens: some ten seconds of a team that uses a server for itself.
	maxCredit = 10_000
	maxDebt   = 10_000
)

// line holds the requests that wait for one service.
type line struct {
	*Admission
	service string
	// rounds serializes rounds.
	rounds sync.Mutex
	// wake receives a value when a round is due before the next interval.
	wake chan struct{}

	mu      sync.Mutex
	queue   fair.Queue
	waiters map[*fair.Waiter]*waiter
	pace    pace
	recent  recent
	// running says that the goroutine that runs the rounds exists.
	running bool
	// freed says that capacity became free since the last round, which began at lastRound.
	freed     bool
	lastRound time.Time
	// missed holds the looks since then that found nothing.
	missed []missedLook
}

func newLine(a *Admission, service string) *line {
	return &line{
		Admission: a, service: service, wake: make(chan struct{}, 1),
		queue: fair.Queue{MaxCredit: maxCredit, MaxDebt: maxDebt}, waiters: map[*fair.Waiter]*waiter{},
	}
}

// isFirst reports whether no waiter goes before w.
func (l *line) isFirst(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Len() == 0 || l.queue.Ahead(&w.Waiter) == 0
}

// look looks for capacity for w.
func (l *line) look(w *waiter) (found bool, err *fault.Error) {
	return w.find(l.Shares.Headroom(w.request.Class))
}

// conclude returns the result for a request that does not wait.
func (l *line) conclude(w *waiter, found bool, e *fault.Error) (Ticket, *fault.Error) {
	if !found {
		return Ticket{}, e
	}
	return l.serve(w, time.Now()), nil
}

// join adds w to the line if it can be served in time, and refuses the waiters that cannot be
// because of it.
func (l *line) join(w *waiter, now time.Time) bool {
	l.mu.Lock()
	ahead := l.queue.Ahead(&w.Waiter)
	if !l.inTime(w, ahead, now) {
		l.mu.Unlock()
		return false
	}
	l.pace.begin(l.queue.Len(), now)
	w.result = make(chan result, 1)
	w.served = l.recent.count
	w.stopWaiting = l.Shares.Wait(w.request.Class, w.Cost, now)
	l.queue.Push(&w.Waiter)
	l.waiters[&w.Waiter] = w
	displaced := l.displace(w, now)
	if !l.running {
		l.running = true
		go l.run()
	}
	l.mu.Unlock()
	for _, d := range displaced {
		l.refuseWaiter(d.waiter, displacedReason, d.ahead, now)
	}
	if ahead > 0 && ahead < headSize {
		l.signal()
	}
	return true
}

// inTime reports whether w can be expected to be served within its wait with the given number of
// waiters ahead of it. The mutex is held.
func (l *line) inTime(w *waiter, ahead int, now time.Time) bool {
	if w.isOverdue(now) {
		return false
	}
	if ahead < minLength {
		return true
	}
	// The capacity is found at the next interval, and the wait ends at the one before its deadline.
	wait := l.pace.wait(ahead, now)
	return wait > 0 && wait < w.remaining(now)-2*pollInterval
}

// displacement is a waiter that is refused, and the number of waiters ahead of it.
type displacement struct {
	waiter *waiter
	ahead  int
}

// displace removes the last waiters that can no longer be served in time because w goes before
// them. The mutex is held.
func (l *line) displace(w *waiter, now time.Time) (list []displacement) {
	for {
		ahead := l.queue.Len() - 1
		last := l.waiters[l.queue.Last()]
		if last == nil || last == w || last.looking || l.inTime(last, ahead, now) {
			return list
		}
		l.remove(last)
		list = append(list, displacement{last, ahead})
	}
}

// remove removes a waiter that was not served. The mutex is held.
func (l *line) remove(w *waiter) {
	l.queue.Remove(&w.Waiter)
	l.forget(w)
}

// forget drops a waiter that is not in the queue any more. The mutex is held.
func (l *line) forget(w *waiter) {
	if _, waits := l.waiters[&w.Waiter]; waits {
		delete(l.waiters, &w.Waiter)
		w.stopWaiting()
	}
}

// serve records that w, waiting or not, took capacity.
func (l *line) serve(w *waiter, now time.Time) Ticket {
	l.mu.Lock()
	_, waited := l.waiters[&w.Waiter]
	l.pace.record(l.queue.Len(), now)
	l.queue.Serve(&w.Waiter)
	l.forget(w)
	var passed map[string]int
	if waited && l.logged.allow(subject{waitedMessage, w.request.Class}, now) {
		passed = l.recent.since(w.served)
	}
	l.recent.add(w.request.Class)
	l.mu.Unlock()
	if passed != nil {
		l.logWaited(w, passed, now)
	}
	l.Book.Served(l.service, now)
	l.counts.served(w.request.Class)
	return Ticket{&taken{line: l, waiter: w, waited: waited, end: l.Shares.Begin(w.request.Class, w.Cost, now)}}
}

// release records that a request which was served has ended, or was not executed.
func (l *line) release(w *waiter, refund bool) {
	l.mu.Lock()
	if refund {
		l.queue.Refund(&w.Waiter)
	}
	waits := l.queue.Len() > 0
	l.freed = l.freed || waits
	l.mu.Unlock()
	if waits {
		l.signal()
	}
}

// signal makes the next round start at once.
func (l *line) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// findOrRefuse takes capacity that the waiters cannot use, because they are larger, avoid its
// servers or leave more of it free. Otherwise it refuses the request at once.
func (l *line) findOrRefuse(w *waiter) (Ticket, *fault.Error) {
	l.roundIfDue()
	if l.mayFind(w) {
		if found, e := l.look(w); found || e != nil {
			return l.conclude(w, found, e)
		}
	}
	now := time.Now()
	l.mu.Lock()
	ahead := l.queue.Ahead(&w.Waiter)
	l.mu.Unlock()
	return Ticket{}, l.refuse(w, fullReason, ahead, now)
}

// wait waits for the result of a waiter.
func (l *line) wait(ctx context.Context, w *waiter) (Ticket, *fault.Error) {
	select {
	case r := <-w.result:
		return r.ticket, r.err
	case <-ctx.Done():
	}
	l.leave(w)
	r := <-w.result
	return r.ticket, r.err
}

// leave ends the wait of a request whose caller has left. If a round is looking on its behalf, the
// round does.
func (l *line) leave(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waits := l.waiters[&w.Waiter]; !waits {
		return
	}
	if w.looking {
		w.left = true
		return
	}
	l.remove(w)
	w.result <- result{err: errLeft()}
}

func errLeft() *fault.Error {
	return &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "ended while it waited for room"}
}

// chargeRemote charges the teams for what other hosts served.
func (l *line) chargeRemote() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Shares.TakeRemote(l.service, func(c share.Class, work float64) {
		l.queue.Charge(c.Team, c.Rank, 1, work)
	})
}

// length returns the number of waiters.
func (l *line) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Len()
}
