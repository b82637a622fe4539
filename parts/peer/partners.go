package peer

import (
	"math/rand/v2"
	"slices"
)

// Partners chooses the members for the exchanges of a round: some from the
// local failure domain, the rest from others, and occasionally a dead one.
func (t *Table) Partners(r *rand.Rand) []Member {
	rotate := t.Self.Heartbeat%viewRotationRounds == 0
	t.localView = t.refreshView(t.localView, localViewSize, rotate, r, func(m *Member) bool { return m.Domain == t.Self.Domain })
	t.remoteView = t.refreshView(t.remoteView, remoteViewSize, rotate, r, func(m *Member) bool { return m.Domain != t.Self.Domain })
	partners := sample(slices.Clone(t.localView), localPartners, r)
	// Fill up with remote members if the local domain has too few.
	partners = append(partners, sample(slices.Clone(t.remoteView), localPartners+remotePartners-len(partners), r)...)
	if len(partners) == 0 || r.IntN(deadRetryOdds) == 0 {
		partners = append(partners, sample(t.candidates(func(m *Member) bool { return m.State == Dead }), 1, r)...)
	}
	members := make([]Member, len(partners))
	for i, id := range partners {
		members[i] = *t.others[id]
	}
	return members
}

// refreshView removes members from a view that can no longer be talked to and
// fills it up with random ones. If rotate is set, it also replaces one
// member.
func (t *Table) refreshView(view []ID, size int, rotate bool, r *rand.Rand, match func(*Member) bool) []ID {
	usable := t.candidates(func(m *Member) bool { return m.State < Dead && match(m) })
	view = slices.DeleteFunc(view, func(id ID) bool { return !slices.Contains(usable, id) })
	if rotate && len(view) > 0 && len(usable) > size {
		i := r.IntN(len(view))
		view = slices.Delete(view, i, i+1)
	}
	if len(view) >= min(size, len(usable)) {
		return view
	}
	rest := slices.DeleteFunc(usable, func(id ID) bool { return slices.Contains(view, id) })
	return append(view, sample(rest, size-len(view), r)...)
}

// candidates returns the members that match, have an address and have not
// left.
func (t *Table) candidates(match func(*Member) bool) []ID {
	var ids []ID
	for _, id := range t.order {
		if m := t.others[id]; m.Address != "" && m.State != Left && match(m) {
			ids = append(ids, id)
		}
	}
	return ids
}

// sample moves n random IDs to the front of ids and returns them.
func sample(ids []ID, n int, r *rand.Rand) []ID {
	n = min(n, len(ids))
	for i := range n {
		j := i + r.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids[:n]
}
