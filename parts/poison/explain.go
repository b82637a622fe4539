package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// update blocks the causes that explain crashes, and releases those that no longer do. The mutex is
// held.
func (d *Detector) update(now time.Time) {
	d.stale, d.updatedAt = false, now
	blocked := d.explain(now)
	for cause := range blocked {
		if !d.blocked[cause] {
			s := d.suspects[cause]
			d.Log.Warn("crashes: blocked", "cause", cause, "servers", s.servers(), "answers", len(s.answers), "earlierAnswers", s.earlier, "sinceFirst", now.Sub(s.sorted()[0].at))
		}
	}
	for cause := range d.blocked {
		if !blocked[cause] {
			d.Log.Info("crashes: released", "cause", cause)
		}
	}
	d.blocked = blocked
}

// servers returns the servers that crashed, the first one first.
func (s *suspect) servers() []string {
	list := make([]string, len(s.crashes))
	for i, c := range s.sorted() {
		list[i] = c.server
	}
	return list
}

// explanation is a cause with the crashes that it would explain.
type explanation struct {
	cause                    Cause
	events, answers, earlier int
	rank                     uint8
}

// explain returns the causes to block. It repeatedly takes the cause that explains most of the
// crashes that the causes before do not explain. The mutex is held.
func (d *Detector) explain(now time.Time) map[Cause]bool {
	candidates := map[Cause]*suspect{}
	for cause, s := range d.suspects {
		if len(s.crashes) >= MinCrashes {
			candidates[cause] = s
		}
	}
	blocked, explained := map[Cause]bool{}, map[*crash]bool{}
	for len(candidates) > 0 {
		var best explanation
		for cause, s := range candidates {
			e := explanation{cause: cause, events: s.events(cause, explained), answers: s.countAnswers(now), earlier: s.earlier, rank: s.rank}
			if !e.blocks() {
				continue
			}
			if best.cause == "" || e.compare(best) < 0 {
				best = e
			}
		}
		if best.cause == "" {
			break
		}
		blocked[best.cause] = true
		for _, c := range candidates[best.cause].crashes {
			explained[c] = true
		}
		delete(candidates, best.cause)
	}
	return blocked
}

// blocks reports whether a cause that explains these crashes is to be blocked.
func (e explanation) blocks() bool {
	return e.answers < maxAnswers && e.events >= MinCrashes+crashesPerAnswer*(e.answers+e.earlier)
}

// compare is negative if e is the better explanation. Of several causes that all requests under which
// servers crashed have in common, the most specific one is blocked, since that concerns the
// fewest others.
func (e explanation) compare(other explanation) int {
	return cmp.Or(
		cmp.Compare(other.events, e.events), cmp.Compare(e.answers+e.earlier, other.answers+other.earlier),
		cmp.Compare(other.rank, e.rank), cmp.Compare(e.cause, other.cause),
	)
}

// events counts the crashes that are not explained. Those at about the same time count as one,
// unless a request was sent to one of the servers after the other had crashed.
func (s *suspect) events(cause Cause, explained map[*crash]bool) int {
	n := 0
	var last time.Time
	for _, c := range s.sorted() {
		if !explained[c] && (n == 0 || c.sequential[cause] || c.at.Sub(last) >= sameEvent) {
			n, last = n+1, c.at
		}
	}
	return n
}

// sorted returns the crashes, the first one first.
func (s *suspect) sorted() []*crash {
	slices.SortFunc(s.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	return s.crashes
}

// countAnswers counts the answers that are not too old.
func (s *suspect) countAnswers(now time.Time) int {
	n := 0
	for at := range maps.Values(s.answers) {
		if now.Sub(at) <= crashTTL {
			n++
		}
	}
	return n
}
