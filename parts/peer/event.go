package peer

// Event is something that the embedding daemon may act on: [Newer], [Marked]
// or [Changed].
type Event interface{ event() }

// Newer says that a member has a newer configuration in force.
type Newer struct {
	From     Member
	Revision uint64
}

// Marked says that marks were learned from another member.
type Marked struct {
	Marks []Mark
}

// Changed says that the members changed: a state, or who there is.
type Changed struct{}

func (Newer) event()   {}
func (Marked) event()  {}
func (Changed) event() {}
