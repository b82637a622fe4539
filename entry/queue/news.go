package queue

import (
	"sync"
	"time"

	"fuchsiashelf.dev/parts/share"
)

const (
	// newsInterval is the shortest interval between two calls of Admission.OnLack; hosts of one
	// failure domain exchange messages as often.
	newsInterval = 400 * time.Millisecond
	// forgottenAfter is how long after its last request waited or was refused the other hosts
	// need news that a class lacks capacity: they drop what they heard by then.
	forgottenAfter = 3 * time.Second
)

// news decides when other hosts should hear at once that a class lacks capacity. Messages between
// failure domains are more than a second apart, and until they arrive others leave nothing free,
// and what they leave free is not known here.
type news struct {
	mu sync.Mutex
	// toldAt is when OnLack was last called, and lacked when each class last lacked capacity.
	toldAt time.Time
	lacked map[share.Class]time.Time
}

// waits records that a request begins to wait, and reports whether that is news.
func (n *news) waits(c share.Class, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	last, known := n.lacked[c]
	if n.lacked == nil {
		n.lacked = map[share.Class]time.Time{}
	}
	n.lacked[c] = now
	return (!known || now.Sub(last) > forgottenAfter) && n.due(now)
}

// refused reports whether it is news that a request was refused: it is if its class precedes others.
func (n *news) refused(precedes bool, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return precedes && n.due(now)
}

// due reports whether newsInterval is over, and begins another one. The mutex is held.
func (n *news) due(now time.Time) bool {
	if now.Sub(n.toldAt) < newsInterval {
		return false
	}
	n.toldAt = now
	return true
}

// sweep drops classes that lack no capacity any more.
func (n *news) sweep(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, last := range n.lacked {
		if now.Sub(last) > forgottenAfter {
			delete(n.lacked, c)
		}
	}
}

// tell calls OnLack if there is news.
func (a *Admission) tell(isNews bool) {
	if isNews && a.OnLack != nil {
		a.OnLack()
	}
}

// precedes reports whether others leave capacity free for a class.
func (l *line) precedes(c share.Class) bool {
	return l.reserved.Load() && l.Shares.Headroom(c) == 0
}

// updateReserved records for each service whether any class leaves capacity free.
func (a *Admission) updateReserved(now time.Time) {
	reserved := map[string]bool{}
	for _, s := range a.Shares.Stats(now) {
		if s.Headroom > 0 {
			reserved[s.Service] = true
		}
	}
	for _, l := range a.allLines() {
		l.reserved.Store(reserved[l.service])
	}
}
