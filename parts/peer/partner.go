package peer

import (
	"math/rand/v2"
	"slices"
)

// Partners chooses whom to exchange with in a round: a few in the own domain,
// the rest across, and now and then a dead one.
func (t *Table) Partners(r *rand.Rand) []Member {
	turn := t.Self.Heartbeat%viewTurn == 0
	t.near = t.renew(t.near, nearView, turn, r, func(m *Member) bool { return m.Domain == t.Self.Domain })
	t.far = t.renew(t.far, farView, turn, r, func(m *Member) bool { return m.Domain != t.Self.Domain })
	partners := sample(slices.Clone(t.near), near, r)
	// A domain with few members leaves room for more across.
	partners = append(partners, sample(slices.Clone(t.far), near+across-len(partners), r)...)
	if len(partners) == 0 || r.IntN(retryOdds) == 0 {
		partners = append(partners, sample(t.find(func(m *Member) bool { return m.State == Dead }), 1, r)...)
	}
	members := make([]Member, len(partners))
	for i, id := range partners {
		members[i] = *t.others[id]
	}
	return members
}

// renew keeps the members of a view that may still be talked to and fills it
// up at random. At a turn, one makes way for another.
func (t *Table) renew(view []ID, size int, turn bool, r *rand.Rand, in func(*Member) bool) []ID {
	usable := t.find(func(m *Member) bool { return m.State < Dead && in(m) })
	view = slices.DeleteFunc(view, func(id ID) bool { return !slices.Contains(usable, id) })
	if turn && len(view) > 0 && len(usable) > size {
		at := r.IntN(len(view))
		view = slices.Delete(view, at, at+1)
	}
	if len(view) >= min(size, len(usable)) {
		return view
	}
	rest := slices.DeleteFunc(usable, func(id ID) bool { return slices.Contains(view, id) })
	return append(view, sample(rest, size-len(view), r)...)
}

// find returns the members that can be reached by address and fit.
func (t *Table) find(fits func(*Member) bool) []ID {
	var found []ID
	for _, id := range t.order {
		if m := t.others[id]; m.Address != "" && m.State != Left && fits(m) {
			found = append(found, id)
		}
	}
	return found
}

// sample moves n random ids to the front and returns them.
func sample(all []ID, n int, r *rand.Rand) []ID {
	n = min(n, len(all))
	for i := range n {
		j := i + r.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}
