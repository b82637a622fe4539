package peer

// Event is sent to the embedding daemon: [NewerConfig], [MarksReceived] or
// [MembershipChanged].
type Event interface{ event() }

// NewerConfig says that a member uses a newer configuration revision.
type NewerConfig struct {
	From     Member
	Revision uint64
}

// MarksReceived says that another member sent new marks.
type MarksReceived struct {
	Marks []Mark
}

// MembershipChanged says that the set of members or the state of a member
// changed.
type MembershipChanged struct{}

func (NewerConfig) event()       {}
func (MarksReceived) event()     {}
func (MembershipChanged) event() {}
