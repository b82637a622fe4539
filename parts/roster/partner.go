package roster

import "time"

// neighborRounds is the number of rounds of which one includes the next host of the own
// failure domain by name. With random partners alone a dead host may go unnoticed for
// several times the mean time.
const neighborRounds = 3

// Partners returns the addresses of hosts to exchange messages with in a round: of the own
// failure domain and of others. A host that is alone in its failure domain contacts as many
// others as hosts elsewhere contact local ones.
func (t *Table) Partners(local, remote int, now time.Time) []string {
	t.init()
	l := t.Current(now)
	if len(l.local) == 0 {
		remote = max(remote, local)
	}
	partners := append(pick(l.local, local, t.Random), pick(l.remote, remote, t.Random)...)
	if t.rounds++; len(l.local) > local && t.rounds%neighborRounds == 0 {
		if next := t.neighbor(now); next != "" {
			partners[0] = next
		}
	}
	return partners
}

// neighbor returns the address of the present host that follows this one by name in its
// failure domain, or "". Suspected ones are being noticed already.
func (t *Table) neighbor(now time.Time) string {
	first, next := "", ""
	for _, m := range t.Current(now).Present {
		if m.Domain != t.Domain || t.entries[m.Name].suspected() {
			continue
		}
		if first == "" {
			first = m.Address
		}
		if next == "" && m.Name > t.Self {
			next = m.Address
		}
	}
	if next == "" {
		return first
	}
	return next
}

// Audience returns the addresses of members to tell news: up to the given numbers of those of the own
// failure domain and of others, in random order. None is absent, leaving, or of a silent failure domain.
func (t *Table) Audience(local, remote int, now time.Time) []string {
	t.init()
	var own, others []string
	for _, m := range t.Current(now).Responsive {
		if m.Domain == t.Domain {
			own = append(own, m.Address)
		} else {
			others = append(others, m.Address)
		}
	}
	if len(own) == 0 {
		remote = max(remote, local)
	}
	list := append(pick(own, local, t.Random), pick(others, remote, t.Random)...)
	for i := len(list) - 1; i > 0; i-- {
		j := t.Random(i + 1)
		list[i], list[j] = list[j], list[i]
	}
	return list
}
