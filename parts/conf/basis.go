package conf

// Basis says which configuration the next line is applied to.
type Basis int

// The possible bases of a line.
const (
	// Stored is the configuration that the object API holds.
	Stored Basis = iota
	// Local is the configuration in force on this entry host, which the object
	// API has lost.
	Local
	// Peers is the configuration in force on another entry host, which the
	// object API has lost and which is newer than the one in force here.
	Peers
	// None means that no line may be applied now.
	None
)

// ChooseBasis chooses the basis of the next line from the configuration that
// the object API holds, the one in force on this entry host, the highest
// revision in force on another entry host, and whether an entry host did not
// answer. What is in force must have been queried before the object was read,
// so that a line accepted in between does not look like a loss.
//
// The object API can hold less than what is in force after the platform has
// restored it from an older copy. It can hold other lines under the same
// revisions if, after a restore, an entry host that had not seen the latest
// configuration accepted lines. A line applied to either would undo lines that
// operators were told are done. An unresponsive entry host may have a higher
// revision, so nothing is applied until it answers or has left.
func ChooseBasis(stored, local *Config, peerRevision uint64, unresponsive bool) Basis {
	switch {
	case stored.DescendsFrom(local) && stored.Revision >= peerRevision:
		return Stored
	case unresponsive:
		return None
	case local != nil && local.Revision >= peerRevision:
		return Local
	}
	return Peers
}

// DescendsFrom reports whether c is old, or was made from it by lines accepted
// since. It looks for the ID of the newest line of old; once the history of c
// no longer reaches back that far, the higher revision decides.
func (c *Config) DescendsFrom(old *Config) bool {
	switch {
	case old == nil || old.Revision == 0:
		return true
	case c == nil || c.Revision < old.Revision:
		return false
	case len(c.History) > 0 && c.History[0].Revision > old.Revision:
		return true
	}
	_, found := c.Find(old.lastID())
	return found || old.lastID() == ""
}

// Supersedes reports whether c may come into force in place of old: it has a
// higher revision and contains all lines of old.
func (c *Config) Supersedes(old *Config) bool {
	return old == nil || c.Revision > old.Revision && c.DescendsFrom(old)
}

// SupersedesAtStart reports whether c, which is in force on another entry host,
// may replace the configuration that an entry host has gathered at its start,
// before it has served any request. A configuration in force elsewhere takes
// precedence over that of a restored store, even with a lower revision, unless
// the latter contains all its lines.
func (c *Config) SupersedesAtStart(gathered *Config) bool {
	return c.Supersedes(gathered) || !gathered.DescendsFrom(c)
}

// RebaseOnto returns c, chosen as Local or Peers, in the form in which it
// overwrites the stored configuration: with a revision that is at least the
// stored one, so that the line applied to it gets a revision that neither has
// used, and with the next epoch.
func (c *Config) RebaseOnto(stored *Config) *Config {
	next := c.Clone()
	next.Revision = max(c.Revision, stored.Revision)
	next.Epoch = max(c.Epoch, stored.Epoch) + 1
	return next
}
