package peer

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
)

// The times and bounds of the membership.
const (
	// suspectFor is how long a suspect has to refute before it counts as
	// dead. A garbage collection or a short pause of a host ends well within.
	suspectFor = 5 * time.Second
	// forgetAfter is how long a dead member that no host list names is kept.
	// It is far longer than the host list lags.
	forgetAfter = 10 * time.Minute
	// spread is how many digests carry a change first. Each carrier infects
	// others, so a small multiple of the logarithm of the fleet reaches all.
	spread = 12
	// near and across are the partners in a round, in the own domain and in
	// others.
	near, across = 2, 1
	// nearView and farView bound the members that partners are drawn from, so
	// that connections stay open and few; one of each is replaced every
	// viewTurn rounds. A random graph of this degree mixes as fast as the
	// full one, and every member comes by in time.
	nearView, farView = 6, 3
	viewTurn          = 60
	// retryOdds is one in how many rounds also tries a dead member. After a
	// partition heals, both sides hold each other dead, and only this joins
	// them again.
	retryOdds = 4
)

// Table is the membership as one member knows it. It is a pure state machine
// and not safe for concurrent use. Make one with NewTable.
type Table struct {
	// Self is this member.
	Self Member
	// NameConflicts counts news of a later run under the own name: a second host
	// with the same name, or an own clock that was set back.
	NameConflicts int

	others map[ID]*Member
	order  []ID
	cursor int
	// near and far are the members that partners are drawn from.
	near, far []ID
}

// NewTable returns a table that knows only this member.
func NewTable(self Member) *Table {
	return &Table{Self: self, others: map[ID]*Member{}}
}

// Len returns how many other members are known.
func (t *Table) Len() int {
	return len(t.others)
}

// Others returns the other members with a name, by name.
func (t *Table) Others() []Member {
	all := make([]Member, 0, len(t.others))
	for _, id := range t.order {
		if m := t.others[id]; m.Name != "" {
			all = append(all, *m)
		}
	}
	slices.SortFunc(all, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Get returns another member.
func (t *Table) Get(id ID) (Member, bool) {
	m, ok := t.others[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

func (t *Table) add(id ID, now time.Time) *Member {
	if m := t.others[id]; m != nil {
		return m
	}
	m := &Member{changed: now}
	t.others[id] = m
	at, _ := slices.BinarySearch(t.order, id)
	t.order = slices.Insert(t.order, at, id)
	return m
}

func (t *Table) drop(id ID) {
	delete(t.others, id)
	if at, ok := slices.BinarySearch(t.order, id); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
}

// SetContact tells the name, address and domain of a member. For a member that
// the host list has, the list's word holds: what members say of others may be
// older, or an address that only they can reach.
func (t *Table) SetContact(name, address string, in domain.Name, now time.Time) {
	if name == t.Self.Name || name == "" {
		return
	}
	m := t.add(IDOf(name), now)
	if m.Listed {
		return
	}
	if m.Address != address {
		m.missed = 0
	}
	m.Name, m.Address, m.Domain = name, address, in
}

// SetHosts takes a new host list: its entry hosts are members, and members that
// an earlier list had and this one lacks are gone.
func (t *Table) SetHosts(hosts map[string]host.Host, now time.Time) {
	for _, h := range hosts {
		if h.Role == host.Entry && h.Name != t.Self.Name {
			m := t.add(IDOf(h.Name), now)
			m.Listed = false
			t.SetContact(h.Name, h.Address, h.Domain, now)
			m.Listed = true
		}
	}
	for _, id := range slices.Clone(t.order) {
		m := t.others[id]
		if h, ok := hosts[m.Name]; m.Listed && (!ok || h.Role != host.Entry) {
			t.drop(id)
		}
	}
}

// Merge takes a record of a member from a digest. It reports whether it
// was news worth passing on at once, and whether the name is missing.
func (t *Table) Merge(id ID, r Record, revision uint64, now time.Time) (news, nameless bool) {
	if id == IDOf(t.Self.Name) {
		return t.refute(r), false
	}
	m := t.others[id]
	if m == nil {
		if r.State == Dead || r.State == Left {
			return false, false
		}
		m = t.add(id, now)
	}
	if r.After(m.Record) {
		news = r.State != m.State || r.Incarnation != m.Incarnation
		if news {
			m.changed, m.sent = now, 0
		}
		m.Record = r
		m.Revision = max(m.Revision, revision)
	}
	return news, m.Name == ""
}

// refute answers news of this member itself that is not its own: it goes
// beyond them, so that its next beat is the later news everywhere.
func (t *Table) refute(r Record) bool {
	if !r.After(t.Self.Record) {
		// An old suspicion; the beat sent since has refuted it already.
		return false
	}
	if r.Incarnation > t.Self.Incarnation {
		t.NameConflicts++
	}
	t.Self.Incarnation = r.Incarnation + 1
	t.Self.sent = 0
	return true
}

// RecordContact notes a digest that came from a member directly.
func (t *Table) RecordContact(id ID, drains []Drain, now time.Time) {
	if m := t.others[id]; m != nil {
		m.Heard, m.Drains, m.missed = now, drains, 0
	}
}

// RecordFailure notes that a member did not answer. It reports whether that makes
// the member suspect.
func (t *Table) RecordFailure(id ID, now time.Time) bool {
	m := t.others[id]
	if m == nil {
		return false
	}
	m.missed++
	if m.State != Alive {
		return false
	}
	m.State, m.changed, m.sent = Suspect, now, 0
	return true
}

// Tick begins a round: it moves the own beat on and lets suspects grow old.
func (t *Table) Tick(now time.Time) {
	t.Self.Heartbeat++
	for _, id := range slices.Clone(t.order) {
		m := t.others[id]
		switch {
		case m.State == Suspect && now.Sub(m.changed) >= suspectFor:
			m.State, m.changed, m.sent = Dead, now, 0
		case m.State == Left && !m.Listed, m.State == Dead && !m.Listed:
			if now.Sub(m.changed) >= forgetAfter {
				t.drop(id)
			}
		}
	}
}

// Leave says goodbye: the own record is the last of this incarnation.
func (t *Table) Leave() {
	t.Self.State = Left
}
