package peer

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
)

// Timing and sizes of the gossip protocol.
const (
	// suspectTimeout is how long a suspect has to refute the suspicion before
	// it counts as dead. It is far longer than a garbage collection or a short
	// pause of a host.
	suspectTimeout = 5 * time.Second
	// forgetAfter is how long a dead or left member that is not in the host
	// list is kept. It is far longer than the host list can lag behind.
	forgetAfter = 10 * time.Minute
	// prioritySends is the number of digests in which a change is sent with
	// priority. Each receiver spreads it further, so a small multiple of the
	// logarithm of the fleet size reaches all members.
	prioritySends = 12
	// localPartners and remotePartners are the exchanges per round with
	// members of the local failure domain and of others.
	localPartners, remotePartners = 2, 1
	// localViewSize and remoteViewSize bound the members that partners are
	// drawn from, so that few connections are needed and they stay open. One
	// member of each view is replaced every viewRotationRounds rounds. A
	// random graph of this degree mixes as fast as the complete graph, and
	// rotation reaches every member eventually.
	localViewSize, remoteViewSize = 6, 3
	viewRotationRounds            = 60
	// One in deadRetryOdds rounds also contacts a dead member. After a
	// partition heals, both sides consider each other dead, and only this
	// reconnects them.
	deadRetryOdds = 4
)

// Table is the membership as one member knows it. It is a state machine
// without I/O and is not safe for concurrent use. Create it with NewTable.
type Table struct {
	// Self is this member.
	Self Member
	// NameConflicts counts records of this member with a later incarnation:
	// another host has the same name, or the local clock was set back.
	NameConflicts int

	others map[ID]*Member
	// order holds the IDs of others in ascending order. cursor is the position
	// of the next member in the round-robin order of digests.
	order  []ID
	cursor int
	// localView and remoteView are the members that partners are drawn from.
	localView, remoteView []ID
}

// NewTable returns a table that knows only this member.
func NewTable(self Member) *Table {
	return &Table{Self: self, others: map[ID]*Member{}}
}

// Len returns the number of other members.
func (t *Table) Len() int {
	return len(t.others)
}

// Others returns the other members whose name is known, sorted by name.
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

// Get returns another member, if it is known.
func (t *Table) Get(id ID) (Member, bool) {
	m, ok := t.others[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// getOrAdd returns a member and adds it if it is not known.
func (t *Table) getOrAdd(id ID, now time.Time) *Member {
	if m := t.others[id]; m != nil {
		return m
	}
	m := &Member{changedAt: now}
	t.others[id] = m
	at, _ := slices.BinarySearch(t.order, id)
	t.order = slices.Insert(t.order, at, id)
	return m
}

func (t *Table) remove(id ID) {
	delete(t.others, id)
	if at, ok := slices.BinarySearch(t.order, id); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
}

// SetContact sets the name, address and domain of a member. It does nothing
// for a member of the host list: what other members report may be outdated,
// or an address that only they can reach.
func (t *Table) SetContact(name, address string, dom domain.Name, now time.Time) {
	if name == t.Self.Name || name == "" {
		return
	}
	m := t.getOrAdd(IDOf(name), now)
	if m.Listed {
		return
	}
	if m.Address != address {
		m.failures = 0
	}
	m.Name, m.Address, m.Domain = name, address, dom
}

// SetHosts applies a new host list. Its entry hosts become members. Members
// that an earlier list had and this one lacks are removed.
func (t *Table) SetHosts(hosts map[string]host.Host, now time.Time) {
	for _, h := range hosts {
		if h.Role == host.Entry && h.Name != t.Self.Name {
			m := t.getOrAdd(IDOf(h.Name), now)
			m.Listed = false
			t.SetContact(h.Name, h.Address, h.Domain, now)
			m.Listed = true
		}
	}
	for _, id := range slices.Clone(t.order) {
		m := t.others[id]
		if h, ok := hosts[m.Name]; m.Listed && (!ok || h.Role != host.Entry) {
			t.remove(id)
		}
	}
}

// Merge merges a record from a digest. changed reports whether the state or
// the incarnation of the member changed, which is worth sending on at once;
// unnamed reports whether its name is not known.
func (t *Table) Merge(id ID, r Record, revision uint64, now time.Time) (changed, unnamed bool) {
	if id == IDOf(t.Self.Name) {
		return t.refute(r), false
	}
	m := t.others[id]
	if m == nil {
		if r.State == Dead || r.State == Left {
			return false, false
		}
		m = t.getOrAdd(id, now)
	}
	if r.After(m.Record) {
		changed = r.State != m.State || r.Incarnation != m.Incarnation
		if changed {
			m.changedAt, m.sends = now, 0
		}
		m.Record = r
		m.Revision = max(m.Revision, revision)
	}
	return changed, m.Name == ""
}

// refute handles a record of this member that came from another. If it is
// newer than the local record, refute raises the local incarnation above it,
// so that the next heartbeat is newer everywhere. It reports whether it did.
func (t *Table) refute(r Record) bool {
	if !r.After(t.Self.Record) {
		// An old suspicion, already refuted by a later heartbeat.
		return false
	}
	if r.Incarnation > t.Self.Incarnation {
		t.NameConflicts++
	}
	t.Self.Incarnation = r.Incarnation + 1
	t.Self.sends = 0
	return true
}

// RecordContact records that a digest arrived from the member itself.
func (t *Table) RecordContact(id ID, drains []Drain, now time.Time) {
	if m := t.others[id]; m != nil {
		m.LastHeard, m.Drains, m.failures = now, drains, 0
	}
}

// RecordFailure records that a member did not respond. It reports whether the
// member became suspect.
func (t *Table) RecordFailure(id ID, now time.Time) bool {
	m := t.others[id]
	if m == nil {
		return false
	}
	m.failures++
	if m.State != Alive {
		return false
	}
	m.State, m.changedAt, m.sends = Suspect, now, 0
	return true
}

// Tick starts a round: it increments the local heartbeat, declares suspects
// dead after suspectTimeout, and removes unlisted members that have been dead
// or left for forgetAfter.
func (t *Table) Tick(now time.Time) {
	t.Self.Heartbeat++
	for _, id := range slices.Clone(t.order) {
		m := t.others[id]
		switch {
		case m.State == Suspect && now.Sub(m.changedAt) >= suspectTimeout:
			m.State, m.changedAt, m.sends = Dead, now, 0
		case m.State == Left && !m.Listed, m.State == Dead && !m.Listed:
			if now.Sub(m.changedAt) >= forgetAfter {
				t.remove(id)
			}
		}
	}
}

// Leave marks this member as left, which is the last record of this
// incarnation.
func (t *Table) Leave() {
	t.Self.State = Left
}
