package conf

// Basis says what the next line is built on.
type Basis int

// The bases.
const (
	// Stored: the configuration that the object API holds.
	Stored Basis = iota
	// Own: the configuration in force here, which the object API has lost.
	Own
	// Peers: the configuration in force on another entry host, which the
	// object API has lost and which is newer than the one here.
	Peers
	// None: nothing may be built now.
	None
)

// ChooseBasis decides on the basis of the next line. It takes what the object API
// holds, what is in force here, and the highest revision that another entry
// host has in force, and whether an entry host did not answer. What is in
// force must have been asked for before the object was read, so that a line
// accepted in between does not look like a loss.
//
// The object API can hold less than what is in force, when the platform has
// restored it from an older copy, or something else with the same revisions,
// when lines were accepted since by an entry host that had not seen the newest.
// A line built on that would undo what was answered with done. A silent entry
// host may have a higher revision still, so nothing is built until it answers
// or is gone.
func ChooseBasis(stored, own *Config, peers uint64, silent bool) Basis {
	switch {
	case stored.DescendsFrom(own) && stored.Revision >= peers:
		return Stored
	case silent:
		return None
	case own != nil && own.Revision >= peers:
		return Own
	}
	return Peers
}

// DescendsFrom reports whether a configuration came of another one by lines that
// were accepted since, or is the same. It knows by the id of the newest line.
// When the tail no longer reaches back to it, the higher revision has to do.
func (c *Config) DescendsFrom(old *Config) bool {
	switch {
	case old == nil || old.Revision == 0:
		return true
	case c == nil || c.Revision < old.Revision:
		return false
	case len(c.History) > 0 && c.History[0].Revision > old.Revision:
		return true
	}
	_, found := c.Find(old.last())
	return found || old.last() == ""
}

// Supersedes reports whether a configuration may come into force in place of
// another one: it has a higher revision and holds all its lines.
func (c *Config) Supersedes(old *Config) bool {
	return old == nil || c.Revision > old.Revision && c.DescendsFrom(old)
}

// SupersedesAtStart reports whether a configuration that is in force on another entry
// host may come in place of what an entry host has gathered at its start,
// before it has served anybody. What is in force elsewhere goes before what a
// restored store holds, also under a lower revision, unless the latter holds
// all its lines.
func (c *Config) SupersedesAtStart(gathered *Config) bool {
	return c.Supersedes(gathered) || !gathered.DescendsFrom(c)
}

// RebaseOnto returns a configuration, chosen with Own or Peers, in the form in which
// it is written over what the object API holds: above its revision, so that
// no revision stands for two things, and with the next epoch.
func (c *Config) RebaseOnto(stored *Config) *Config {
	next := c.Clone()
	next.Revision = max(c.Revision, stored.Revision)
	next.Epoch = max(c.Epoch, stored.Epoch) + 1
	return next
}
