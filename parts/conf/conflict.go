package conf

// Conflict returns the record of the latest line that changed a resource after
// the revision that an operator has seen. The second result is false if there
// is none.
//
// Complete is false if lines after that revision have been dropped from the
// history, so that a conflict cannot be ruled out: the operator has to read the
// configuration again.
func (c *Config) Conflict(resource string, seen uint64) (line Line, conflict, complete bool) {
	complete = seen >= c.Revision || len(c.History) > 0 && c.History[0].Revision <= seen+1
	for _, l := range c.History {
		if l.Resource == resource && l.Revision > seen {
			line, conflict = l, true
		}
	}
	return line, conflict, complete
}
