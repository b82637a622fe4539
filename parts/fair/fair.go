// Package fair decides in which order waiting requests take capacity.
//
// A request belongs to a team and has a rank, of which 0 is the most urgent.
// More urgent ranks go first. So that none starves, a rank is due once requests
// of more urgent ranks with a multiple of the cost of its first waiter were
// served while it waited. Its first waiter then goes before all other ranks,
// until one request of the rank is served.
//
// Within a rank, teams share capacity by start-time fair queueing. Each team has
// a start tag, the work that it was served for each unit of its weight, and the
// rank has a virtual time, the highest start tag that was served. A team whose
// start tag is below the virtual time has used less than its share: it has
// credit, which is bounded by MaxCredit, so that a team that was idle for long
// does not shut out the others. One above it has debt; only work at other hosts
// adds debt beyond the last request, and it is bounded by MaxDebt. The order is:
//
//  1. requests of teams with credit, then the others;
//  2. requests that returned on time after a refusal, then new ones, then those
//     that returned early;
//  3. by start tag: each waiter has that of its team plus the work of the
//     team's waiters before it;
//  4. by arrival.
//
// The bounds are applied to a team when it begins to wait and when it is
// charged. Queries answer for the present state: requests that are served or
// arrive later change the order.
//
// The state of a team without waiters is dropped once its start tag is at the
// lower bound, where that of an unknown team is. The package is a pure state
// machine: the same calls give the same order.
package fair

// Queue orders requests that wait for capacity. Set the exported fields before
// first use. It is not safe for concurrent use.
type Queue struct {
	// MaxCredit and MaxDebt bound how far the start tag of a team may be behind
	// and ahead of the virtual time, in work per unit of weight.
	MaxCredit, MaxDebt float64

	// levels holds the state of each rank that was used, by rank.
	levels []*level
	// pushed counts calls of Push, to order requests that arrived at once.
	pushed uint64
	// head is the buffer of Head.
	head []*Waiter
}

// Push adds a waiter. It does nothing if w waits already.
func (q *Queue) Push(w *Waiter) {
	if w.flow != nil {
		return
	}
	q.pushed++
	w.sequence = q.pushed
	q.level(w.rank()).push(w)
}

// Remove removes a waiter that was not served, and reports whether it waited.
// Its team is not charged.
func (q *Queue) Remove(w *Waiter) bool {
	if w.flow == nil {
		return false
	}
	q.level(w.rank()).remove(w)
	return true
}

// Serve records that w, waiting or not, takes capacity now: it charges the team
// and advances the virtual time.
func (q *Queue) Serve(w *Waiter) {
	q.level(w.rank()).serve(w)
	w.served = true
	for _, l := range q.levels {
		switch {
		case l.waiting == 0:
		case l.rank == w.rank():
			l.turns.use(w.cost(), l.first().cost())
		case l.rank > w.rank():
			l.turns.pass(w.cost(), l.first().cost())
		}
	}
}

// Refund takes back the charge of a request that was served but not sent. It
// does nothing if w was not served.
func (q *Queue) Refund(w *Waiter) {
	if !w.served {
		return
	}
	w.served = false
	q.level(w.rank()).refund(w.Team, w.work())
}

// Charge records work of a team that other hosts served. The virtual time
// follows at MaxDebt behind the start tag, so that among several teams with
// high usage elsewhere those with less of it still go first. A single call
// charges at most MaxCredit plus MaxDebt, the greatest distance of two tags.
func (q *Queue) Charge(team string, rank int, weight, work float64) {
	if work > 0 {
		q.level(rank).charge(team, min(work/atLeastOne(weight), q.MaxCredit+q.MaxDebt))
	}
}

// HasCredit reports whether a team has used less than its share in a rank.
func (q *Queue) HasCredit(team string, rank int) bool {
	l := q.find(rank)
	if l == nil {
		return q.MaxCredit > 0
	}
	return l.tag(l.flows[team]) < l.virtualTime
}

// Waiting returns how many requests of a team wait in a rank.
func (q *Queue) Waiting(team string, rank int) int {
	if l := q.find(rank); l != nil && l.flows[team] != nil {
		return len(l.flows[team].waiters)
	}
	return 0
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	n := 0
	for _, l := range q.levels {
		n += l.waiting
	}
	return n
}
