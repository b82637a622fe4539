package peer

// Event is something that the embedding daemon may act on: [NewerConfig], [MarksReceived]
// or [MembershipChanged].
type Event interface{ event() }

// NewerConfig says that a member has a newer configuration in force.
type NewerConfig struct {
	From     Member
	Revision uint64
}

// MarksReceived says that marks were learned from another member.
type MarksReceived struct {
	Marks []Mark
}

// MembershipChanged says that the members changed: a state, or who there is.
type MembershipChanged struct{}

func (NewerConfig) event()       {}
func (MarksReceived) event()     {}
func (MembershipChanged) event() {}
