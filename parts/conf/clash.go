package conf

// Conflict returns the record of a line that changed a thing after the revision
// that an operator saw. The second result is false if there is none.
//
// Complete is false if lines after that revision have left the tail, so that
// nothing can be said: the operator has to look again.
func (c *Config) Conflict(thing string, seen uint64) (line Line, clash, complete bool) {
	complete = seen >= c.Revision || len(c.History) > 0 && c.History[0].Revision <= seen+1
	for _, l := range c.History {
		if l.Resource == thing && l.Revision > seen {
			line, clash = l, true
		}
	}
	return line, clash, complete
}
