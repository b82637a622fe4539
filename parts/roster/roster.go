// Package roster maintains the list of entry hosts, and which of them are absent.
//
// A host that has sent nothing for a while is not absent: with hundreds of hosts each
// receives a message of most others once in minutes. A host is absent on evidence: a contact with it
// failed, the hosts that were asked to contact it did not reach it either, and nothing
// that it sent later has arrived from anywhere. Such a suspicion is passed on, and so is
// the message that refutes it. The cost of a [Table] in messages does not depend on the
// number of hosts: a message lists the hosts of which there is news, each a few times, and
// a few others.
//
// A failed contact shows something of one host only while other hosts of its failure
// domain are heard of. If none is, the failure domain counts as silent, and all of its
// hosts as absent until one is heard of again.
//
// Hosts that missed news differ in the digest of their lists, and exchange whole lists.
//
// Like parts/peer, a message of a host carries its incarnation (Boot) and a number (Seq).
// Unlike there, names and addresses are part of the records, since nothing else on the
// platform lists the entry hosts.
package roster

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/reach"
	"fuchsiashelf.dev/parts/stall"
)

// Member is the state of an entry host. The names of its fields are part of the encoding
// of messages.
type Member struct {
	Name    string
	Address string
	Domain  domain.Name
	// Boot orders the incarnations of an entry host.
	Boot int64
	// Seq numbers the messages of one incarnation. Of two states of a member the one
	// with the higher Seq wins, regardless of the order in which they arrive.
	Seq uint64
	// Heard is the Seq of the last message of the member that is known of, if it is later than
	// that of this state. Age is the time since that message was sent, to any entry host.
	Heard uint64 `cbor:",omitempty"`
	Age   time.Duration
	// Suspected is the time since a contact with the member failed; zero if none has since
	// its last known message.
	Suspected time.Duration `cbor:",omitempty"`
	// Store says that the object API answers the member.
	Store bool
	// Reach says whether the member reaches backend servers.
	Reach reach.State
	// Leaving says that the member is about to stop.
	Leaving bool
	// Settled says that the member has listened long enough to know which hosts are
	// absent.
	Settled bool
}

// Beat is the last known message of a member.
type Beat struct {
	Name string
	Boot int64
	Seq  uint64
	// Age is the time since the message was sent.
	Age time.Duration
}

// precedes reports whether m was sent before other, a state of the same member.
func (m *Member) precedes(other *Member) bool {
	return m.Boot < other.Boot || m.Boot == other.Boot && m.Seq < other.Seq
}

// isNews reports whether a state of a member tells others more than when it was sent. That a
// member has not connected to a server lately does not: it happens all the time.
func (m *Member) isNews(old *Member) bool {
	return m.Boot != old.Boot || m.Address != old.Address || m.Store != old.Store || m.Leaving != old.Leaving ||
		(m.Reach == reach.Isolated) != (old.Reach == reach.Isolated)
}

// Timeouts.
const (
	// AbsentAfter is how long nothing must have been heard of an entry host before it may
	// count as absent.
	AbsentAfter = 2 * time.Second
	// suspicionTime is how long a suspicion may be refuted before the host is absent.
	suspicionTime = time.Second
	// unresponsiveAfter is AbsentAfter for roles that another host must take over sooner.
	unresponsiveAfter = 1200 * time.Millisecond
	// RemoveAfter is how long an entry host is listed after it became absent or left.
	RemoveAfter = 15 * time.Second
	// forgetAfter is how long it is remembered that a host is absent. Otherwise hosts that
	// missed the news would bring it back.
	forgetAfter = 2 * time.Minute
	// transitTolerance is how much later a message may seem to have been sent than it was,
	// because of the time that the hosts needed to pass on its age.
	transitTolerance = 300 * time.Millisecond
	// refreshInterval is how often a list is derived again while hosts are suspected or leave.
	refreshInterval = 100 * time.Millisecond
)

const (
	// maxMembers bounds the members that are kept, several times those of the largest fleet.
	maxMembers = 8192
	// maxAge bounds the ages that are read from messages.
	maxAge = 24 * time.Hour
)

// Change is what a merged state changed.
type Change uint8

// The changes.
const (
	// None means that nothing that users of the list depend on has changed.
	None Change = iota
	// Added means that the member was not listed.
	Added
	// Left means that the member has announced that it stops.
	Left
	// Restarted means that the member's process is a new one.
	Restarted
	// Refused means that the member is not known, and more are known than any fleet has.
	Refused
)

// Table is the list of the other entry hosts as one host knows it. Set the exported fields
// before use. It is not safe for concurrent use.
type Table struct {
	// Self is the name of this entry host, and Domain its failure domain.
	Self   string
	Domain domain.Name
	// Boot is the incarnation of this entry host.
	Boot int64
	// Clock does not count the stalls of this process; nil assumes none.
	Clock *stall.Clock
	// Random returns a number in [0, n).
	Random func(n int) int

	entries   map[string]*entry
	byAddress map[string]*entry
	// order holds the entries by name.
	order []*entry
	// domains holds what is known of each failure domain.
	domains map[domain.Name]*domainState
	// news holds the entries whose latest change is still told, the next ones to tell first.
	news []*entry
	// list is the current list, or nil after a change.
	list      *List
	listUntil time.Time
	// agreedAt is when a message last showed the same digest.
	agreedAt time.Time
	// checks is the number of members that are being checked.
	checks int
	// rounds is the number of calls of Partners.
	rounds int
	// wholeAt is when a whole list was last asked for.
	wholeAt time.Time
}

// entry is a member with what is known of its absence.
type entry struct {
	// Member is the last known state. It is replaced and not changed, since lists hold it.
	*Member
	domain *domainState
	digest uint64
	// heard is the Seq of the last message that is known of.
	heard uint64
	// lastHeard is when the member sent its last known message, in real time, and heardAt
	// the same on the clock of this process, which does not count its stalls.
	lastHeard, heardAt time.Time
	// suspectedAt is when the contact failed that the member is suspected for; zero if it
	// is not.
	suspectedAt time.Time
	// checking says that other hosts are being asked to contact the member.
	checking bool
	// told is the number of messages that have told of the latest change.
	told int
	// removed says that the member is no longer listed. What is known of it is kept, so that
	// hosts that missed the news of its absence do not bring it back.
	removed bool
}

// domainState is what is known of a failure domain.
type domainState struct {
	// freshest is the member that sent the last message that is known of, and lastHeard and
	// heardAt are when it did.
	freshest           *entry
	lastHeard, heardAt time.Time
	// silent and unresponsive say that nothing was heard of the failure domain for
	// AbsentAfter and unresponsiveAfter, as of the last assessment.
	silent, unresponsive bool
}

// init initializes the unexported fields once.
func (t *Table) init() {
	if t.entries == nil {
		t.entries, t.byAddress, t.domains = map[string]*entry{}, map[string]*entry{}, map[domain.Name]*domainState{}
	}
}

// ByAddress returns the name of the member that listens at an address, or "".
func (t *Table) ByAddress(address string) string {
	if e := t.byAddress[address]; e != nil {
		return e.Name
	}
	return ""
}

// Sweep forgets members that left or became absent long ago, and returns those that have
// ceased to be listed since the last call.
func (t *Table) Sweep(now time.Time) (removed []Member) {
	t.init()
	a := t.assess(now)
	for _, e := range slices.Clone(t.order) {
		since, gone := a.goneSince(e)
		gone = gone && now.Sub(since) > RemoveAfter
		if gone && !e.removed {
			removed = append(removed, *e.Member)
		}
		if gone != e.removed {
			e.removed, t.list = gone, nil
		}
		if gone && now.Sub(since) > forgetAfter {
			t.forget(e)
		}
	}
	return removed
}

// forget removes a member.
func (t *Table) forget(e *entry) {
	delete(t.entries, e.Name)
	if t.byAddress[e.Address] == e {
		delete(t.byAddress, e.Address)
	}
	t.order = slices.DeleteFunc(t.order, func(other *entry) bool { return other == e })
	t.news = slices.DeleteFunc(t.news, func(other *entry) bool { return other == e })
	if e.domain.freshest == e {
		e.domain.freshest = nil
	}
	t.list = nil
}
