package roster

import (
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

// Merge merges the state of a member from a message that has just arrived.
func (t *Table) Merge(m Member, now time.Time) Change {
	t.init()
	if m.Name == t.Self || m.Name == "" {
		return None
	}
	m.Age, m.Suspected = min(max(0, m.Age), maxAge), min(max(0, m.Suspected), maxAge)
	e := t.entries[m.Name]
	if e == nil {
		return t.add(m, now)
	}
	change := t.update(e, m, now)
	t.mergeSuspicion(e, m, now)
	return change
}

// MergeWhole merges the members of another host's whole list. Those that were not known are
// no news to others. It returns them.
func (t *Table) MergeWhole(members []Member, now time.Time) (added []Member) {
	for _, m := range members {
		if t.Merge(m, now) == Added {
			t.entries[m.Name].told = maxTold
			added = append(added, m)
		}
	}
	t.news = slices.DeleteFunc(t.news, func(e *entry) bool { return e.told >= maxTold })
	return added
}

// add adds a member that was not known, unless it has left or is about to be forgotten.
func (t *Table) add(m Member, now time.Time) Change {
	if m.Leaving && m.Age > RemoveAfter || m.Suspected > RemoveAfter {
		return None
	}
	if len(t.entries) >= maxMembers {
		return Refused
	}
	e := &entry{Member: &m, domain: t.domainState(m.Domain), digest: digest(m.Name, m.Boot)}
	t.entries[m.Name], t.byAddress[m.Address] = e, e
	at, _ := slices.BinarySearchFunc(t.order, e, func(a, b *entry) int { return strings.Compare(a.Name, b.Name) })
	t.order = slices.Insert(t.order, at, e)
	t.hear(e, max(m.Seq, m.Heard), m.Age, now)
	if m.Suspected > 0 {
		e.suspectedAt = now.Add(-m.Suspected)
	}
	t.tell(e)
	return Added
}

// update replaces the state of a member if m is newer.
func (t *Table) update(e *entry, m Member, now time.Time) Change {
	if m.Boot == e.Boot {
		t.hear(e, max(m.Seq, m.Heard), m.Age, now)
	}
	if m.precedes(e.Member) || m.Boot == e.Boot && m.Seq == e.Seq {
		return None
	}
	old := e.Member
	e.Member = &m
	if m.Boot != old.Boot || m.Domain != old.Domain {
		e.domain, e.digest = t.domainState(m.Domain), digest(m.Name, m.Boot)
	}
	if old.Address != m.Address {
		delete(t.byAddress, old.Address)
		t.byAddress[m.Address] = e
	}
	if m.Boot > old.Boot {
		// Whatever failed was the process before.
		e.suspectedAt, e.heard = time.Time{}, 0
		t.hear(e, max(m.Seq, m.Heard), m.Age, now)
	}
	if m.isNews(old) {
		t.tell(e)
	}
	switch {
	case m.Boot > old.Boot:
		return Restarted
	case m.Leaving && !old.Leaving:
		return Left
	}
	return None
}

// hear records that a member sent a message some time ago. The number of the message decides
// whether it is news: ages grow younger by the time that each host needs to pass them on. A
// message of age zero comes from the member itself.
func (t *Table) hear(e *entry, seq uint64, age time.Duration, now time.Time) {
	if seq <= e.heard {
		return
	}
	e.heard, e.lastHeard, e.heardAt = seq, now.Add(-age), t.Clock.Now().Add(-age)
	if e.suspected() && (age == 0 || e.lastHeard.After(e.suspectedAt.Add(transitTolerance))) {
		e.suspectedAt = time.Time{}
		t.tell(e)
	}
	d := e.domain
	if !e.lastHeard.After(d.lastHeard) {
		return
	}
	if e.heardAt.Sub(d.heardAt) > AbsentAfter {
		t.dropSuspicions(e.Domain, d.lastHeard)
	}
	d.freshest, d.lastHeard, d.heardAt = e, e.lastHeard, e.heardAt
}

// domainState returns what is known of a failure domain, adding it if needed.
func (t *Table) domainState(name domain.Name) *domainState {
	d := t.domains[name]
	if d == nil {
		d = &domainState{}
		t.domains[name] = d
	}
	return d
}

// Beats returns the last message that is known of from each other failure domain, to be sent
// to other hosts: without one for a while the failure domain is silent.
func (t *Table) Beats(now time.Time) []Beat {
	var beats []Beat
	for name, d := range t.domains {
		if e := d.freshest; e != nil && name != t.Domain {
			beats = append(beats, Beat{Name: e.Name, Boot: e.Boot, Seq: e.heard, Age: max(1, now.Sub(e.lastHeard))})
		}
	}
	return beats
}

// MergeBeats merges the beats of another host's message.
func (t *Table) MergeBeats(beats []Beat, now time.Time) {
	for _, b := range beats {
		if e := t.entries[b.Name]; e != nil && e.Boot == b.Boot {
			t.hear(e, b.Seq, min(max(1, b.Age), maxAge), now)
		}
	}
}
