// Package peer implements gossip membership among the entry hosts and spreads
// short-lived facts between them. It is embedded in a daemon.
//
// In each round a [Peer] exchanges a [wire.Digest] with a few random members
// of its own failure domain and of others. A digest has a bounded size, so
// the cost per node does not grow with the fleet: recent changes go first,
// and the rest is sent in round-robin order. There is no consensus. Two
// records of a member are compared by [Record.After], so that merging is
// commutative, associative and idempotent, and delayed or duplicate digests
// do no harm.
//
// A member is one entry host. Its incarnation distinguishes the runs of its
// process, and its heartbeat is incremented each round. It is alive, suspect
// (it did not respond), dead (suspect for suspectTimeout) or left (it
// announced that it leaves). The first three states only decide which members
// to exchange digests with: a member that does not respond may still have
// requests in flight. It is removed when the platform's host list drops it. A
// member that the host list never had is removed forgetAfter after it became
// dead or left.
//
// [Table], [Marks] and [RemoteUsage] do no I/O; Peer runs them over drpc.
package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiashelf.dev/parts/domain"
)

// State is the state of a member as another member sees it.
type State uint8

// The states. Between otherwise equal records the higher state wins.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// ID is the hash of the name of a member. Digests carry it instead of the
// name.
type ID uint64

// IDOf returns the ID of a name.
func IDOf(name string) ID {
	return ID(xxhash.Sum64String(name))
}

// Record is the versioned state of a member that is merged from digests.
type Record struct {
	// Incarnation distinguishes the runs of a member's process. It is the start
	// time in Unix milliseconds, raised if another member has a newer record
	// of this one.
	Incarnation uint64
	// Heartbeat is incremented in each round of the member.
	Heartbeat uint64
	// State is the last known state.
	State State
}

// After reports whether r is newer than o. It is a strict total order: by
// incarnation, then Left after other states, then by heartbeat, then by
// state. A suspicion applies to one heartbeat, so the next heartbeat of the
// member refutes it wherever it arrives, without an explicit message.
func (r Record) After(o Record) bool {
	switch {
	case r.Incarnation != o.Incarnation:
		return r.Incarnation > o.Incarnation
	case (r.State == Left) != (o.State == Left):
		return r.State == Left
	case r.Heartbeat != o.Heartbeat:
		return r.Heartbeat > o.Heartbeat
	}
	return r.State > o.State
}

// Drain is the number of requests that a member has in flight on a server
// that is being drained.
type Drain struct {
	Server   string
	InFlight int64
	// Revision is the configuration revision at the time of the count.
	Revision uint64
}

// Member is one entry host.
type Member struct {
	Record
	// Name is empty while only the ID is known.
	Name string
	// Address is the host:port on which the member listens for peers.
	Address string
	// Domain is the failure domain.
	Domain domain.Name
	// Revision is the highest configuration revision reported for it.
	Revision uint64
	// Drains is what it reported about itself at LastHeard.
	Drains []Drain
	// LastHeard is when the last digest arrived from the member itself.
	LastHeard time.Time
	// Listed is true if the platform's host list has the member.
	Listed bool

	// changedAt is when State last changed.
	changedAt time.Time
	// sends is the number of digests that carried the last change.
	sends int
	// failures is the number of consecutive failed exchanges.
	failures int
}
