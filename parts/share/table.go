package share

// table holds the headrooms of the contended services. It is never changed.
type table map[string]*entry

// entry holds the headrooms of a service: by rank, and of the classes that differ from
// that of their rank.
type entry struct {
	ranks   [Ranks]float64
	classes map[teamRank]float64
}

// newEntry returns the entry for a decision.
func newEntry(list []*class, h headrooms) *entry {
	e := &entry{ranks: h.ranks, classes: map[teamRank]float64{}}
	for i, c := range list {
		if h.classes[i] != h.ranks[c.Rank] {
			e.classes[teamRank{c.Team, c.Rank}] = h.classes[i]
		}
	}
	return e
}

// headroom returns the headroom of a class.
func (t table) headroom(c Class) float64 {
	e := t[c.Service]
	if e == nil {
		return 0
	}
	c = c.normal()
	if h, known := e.classes[teamRank{c.Team, c.Rank}]; known {
		return h
	}
	return e.ranks[c.Rank]
}
