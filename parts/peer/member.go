// Package peer is the membership of the entry hosts and what they tell each
// other, for a daemon to embed.
//
// Each round, a [Peer] exchanges a [wire.Digest] with a few random members: in
// its own failure domain, and one across. A digest is bounded in bytes, so the
// cost of a node does not grow with the fleet; what changed lately goes first,
// and the rest takes turns. Nothing is agreed upon. What two members know of a
// third is compared by [Record.After], so that merging is commutative,
// associative and idempotent, and late or doubled digests do no harm.
//
// The words: a member is one entry host. Its incarnation tells one run from
// the next; its beat grows each round. It is alive, suspect (it did not
// answer), dead (suspect for a while) or left (it said goodbye). These states
// say only whom to talk to. A member is gone when the platform's host list no
// longer has it, or when it said goodbye; never because it was silent.
//
// [Table], [Marks] and [RemoteUsage] are pure; Peer is the thin runner over drpc.
package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiashelf.dev/parts/domain"
)

// State is what is known about a member.
type State uint8

// The states, in the order in which one replaces the other when nothing else
// tells two records apart.
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

// ID is the hash of a member's name, as digests carry it.
type ID uint64

// IDOf returns the id of a name.
func IDOf(name string) ID {
	return ID(xxhash.Sum64String(name))
}

// Record is the part of a member that digests compare.
type Record struct {
	// Incarnation tells one run from the next, in Unix milliseconds of its
	// start.
	Incarnation uint64
	// Heartbeat grows with each round of the member.
	Heartbeat uint64
	// State is what is known.
	State State
}

// After reports whether r is later news than o. It is a strict total order:
// by incarnation, a goodbye after the rest, by beat, by state. A suspicion
// holds for the beat at which it arose, so the member's next beat refutes it
// wherever that arrives, with no word from the member itself.
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

// Drain is how many requests a member has in flight on a server that is being
// stopped.
type Drain struct {
	Server   string
	InFlight int64
	// Revision is the configuration revision at which it was counted.
	Revision uint64
}

// Member is one entry host.
type Member struct {
	Record
	// Name is empty while only the id is known.
	Name string
	// Address is host:port of the peers' listener.
	Address string
	// Domain is the failure domain.
	Domain domain.Name
	// Revision is the configuration revision that it last reported.
	Revision uint64
	// Drains is what it reported itself at Heard.
	Drains []Drain
	// Heard is when a digest last came from it directly.
	Heard time.Time
	// Listed says that the platform's host list has it.
	Listed bool

	// changed is when State last changed.
	changed time.Time
	// sent counts the digests that carried the last change.
	sent int
	// missed counts failed exchanges in a row.
	missed int
}
