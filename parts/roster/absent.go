package roster

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

// suspected reports whether a contact with the member failed after its last known message.
func (e *entry) suspected() bool { return !e.suspectedAt.IsZero() }

// confirmed reports whether the suspicion of a member is due to the member itself: another
// host of its failure domain has been heard of since.
func (t *Table) confirmed(e *entry) bool {
	if !e.suspected() {
		return false
	}
	return e.Domain == t.Domain || e.domain.lastHeard.After(e.suspectedAt.Add(transitTolerance))
}

// assessment is what tells absent members from present ones at one time.
type assessment struct {
	*Table
	// now is the time, and ran the time on the clock of this process.
	now, ran time.Time
}

// assess assesses the silence of the other failure domains.
func (t *Table) assess(now time.Time) assessment {
	a := assessment{Table: t, now: now, ran: t.Clock.Now()}
	for name, d := range t.domains {
		silence := a.ran.Sub(d.heardAt)
		d.silent, d.unresponsive = name != t.Domain && silence > AbsentAfter, name != t.Domain && silence > unresponsiveAfter
	}
	return a
}

// silenceDue returns when the next failure domain will be unresponsive or silent if nothing
// more is heard of it.
func (a *assessment) silenceDue() time.Time {
	due := a.now.Add(AbsentAfter)
	for name, d := range a.domains {
		for _, after := range []time.Duration{unresponsiveAfter, AbsentAfter} {
			if at := a.now.Add(after - a.ran.Sub(d.heardAt)); name != a.Domain && at.After(a.now) && at.Before(due) {
				due = at
			}
		}
	}
	return due.Add(time.Millisecond)
}

// absent reports whether a member is absent.
func (a *assessment) absent(e *entry) bool {
	return e.domain.silent || a.confirmed(e) && a.now.Sub(e.suspectedAt) >= suspicionTime && a.ran.Sub(e.heardAt) > AbsentAfter
}

// responsive reports whether a member that is present need not be replaced in its roles.
func (a *assessment) responsive(e *entry) bool {
	return !e.domain.unresponsive && (!a.confirmed(e) || a.ran.Sub(e.heardAt) <= unresponsiveAfter)
}

// goneSince returns since when a member is absent or has left, if it has.
func (a *assessment) goneSince(e *entry) (since time.Time, gone bool) {
	switch {
	case e.Leaving:
		return e.lastHeard, true
	case e.domain.silent:
		return e.domain.lastHeard, true
	case a.absent(e):
		return e.suspectedAt, true
	}
	return time.Time{}, false
}

// dropSuspicions drops the suspicions of the hosts of a failure domain that arose since it
// fell silent.
func (t *Table) dropSuspicions(name domain.Name, since time.Time) {
	for _, e := range t.order {
		if e.Domain == name && e.suspectedAt.After(since) {
			e.suspectedAt, t.list = time.Time{}, nil
		}
	}
}

// mergeSuspicion merges the suspicion in a state of a member that was received. Of two
// suspicions the earlier one counts.
func (t *Table) mergeSuspicion(e *entry, m Member, now time.Time) {
	if m.Boot != e.Boot {
		return
	}
	if m.Suspected == 0 {
		if t.confirmed(e) && max(m.Seq, m.Heard) <= e.heard {
			t.tellAgain(e)
		}
		return
	}
	t.suspect(e, max(m.Seq, m.Heard), now.Add(-m.Suspected))
}

// suspect records that a contact with a member failed, unless a later message of the member
// is known than the one with the given number, which the host knows that found out.
func (t *Table) suspect(e *entry, known uint64, at time.Time) {
	if e.heard > known && e.lastHeard.After(at.Add(transitTolerance)) {
		t.tellAgain(e)
		return
	}
	if e.suspected() && !at.Before(e.suspectedAt) {
		return
	}
	suspected := e.suspected()
	e.suspectedAt = at
	if !suspected {
		t.tell(e)
	}
}

const (
	// checkers is the number of other hosts that are asked to contact a member.
	checkers = 3
	// maxChecks is the number of members that are checked at once. If more fail at once, a failure
	// domain is silent, which shows more than checks of each of its members by each other host.
	maxChecks = 2
)

// BeginCheck returns the addresses of other hosts that are to contact a member with which
// a contact has failed. check is false if nothing is to be done: the member is unknown,
// suspected, or being checked, its failure domain is silent, or enough others are being checked.
func (t *Table) BeginCheck(name string, now time.Time) (addresses []string, check bool) {
	e := t.entries[name]
	if e == nil || e.suspected() || e.checking || e.Leaving || t.checks >= maxChecks {
		return nil, false
	}
	if t.assess(now); e.domain.unresponsive {
		return nil, false
	}
	e.checking = true
	t.checks++
	// Hosts of several failure domains are asked, because links between two of them may be cut.
	var own, same, others []string
	for _, m := range t.Current(now).Present {
		switch {
		case m.Name == name:
		case m.Domain == t.Domain:
			own = append(own, m.Address)
		case m.Domain == e.Domain:
			same = append(same, m.Address)
		default:
			others = append(others, m.Address)
		}
	}
	for _, group := range [][]string{own, same, others} {
		addresses = append(addresses, pick(group, 1, t.Random)...)
	}
	rest := slices.DeleteFunc(slices.Concat(own, same, others), func(a string) bool { return slices.Contains(addresses, a) })
	return append(addresses, pick(rest, checkers-len(addresses), t.Random)...), true
}

// EndCheck ends a check that BeginCheck began. It records that neither this host, at the given time, nor those that it asked have
// reached a member. It reports whether the member is suspected now.
func (t *Table) EndCheck(name string, failedAt time.Time) bool {
	t.checks--
	e := t.entries[name]
	if e == nil {
		return false
	}
	e.checking = false
	if e.lastHeard.After(failedAt) {
		return false
	}
	t.suspect(e, e.heard, failedAt)
	return e.suspected()
}

// pick returns at most n elements of a list, chosen at random.
func pick[T any](list []T, n int, random func(n int) int) []T {
	if n >= len(list) {
		return slices.Clone(list)
	}
	var chosen []T
	for drawn := map[int]bool{}; len(chosen) < n; {
		if i := random(len(list)); !drawn[i] {
			drawn[i] = true
			chosen = append(chosen, list[i])
		}
	}
	return chosen
}
