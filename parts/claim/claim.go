// Package claim makes calls that are not idempotent run at most once, even
// when a caller resends a call through another entry host.
//
// A claim is a [Record] that names the entry host that may send a call to a
// backend server. Records are stored in shard objects of the object API and
// are written by compare-and-swap before the call is sent. The version of the
// shard is the fencing token: an entry host that was paused or partitioned
// while others wrote cannot overwrite changes that it has not read, and
// correctness does not depend on clocks.
//
// A record is first claimed, then done. Instead, it is made void if its holder
// reports that no backend server ran the call and that it will not send the
// call again, so that another entry host may claim it. If the holder has
// crashed, the record stays claimed until it expires.
//
// [Commit] is a state machine without I/O that applies a batch of changes to
// one shard. [Table] holds what an entry host knows about its own claims.
// [Writer] runs commits.
package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Shards is the number of shard objects. It must be the same on all entry
// hosts and cannot change while there are claims; docs/design/claims.md
// derives the value.
const Shards = 256

// MaxShardBytes is the maximum size of an encoded shard. An object of the
// object API holds at most one megabyte.
const MaxShardBytes = 900_000

// OutcomeTTL is how long a recorded outcome is kept. A caller that lost the
// response is expected to resend within this time; later it only learns that
// its call has run.
const OutcomeTTL = 5 * time.Minute

// MaxOutcome is the maximum size of the body of a recorded outcome, in bytes.
const MaxOutcome = 512

// Key identifies a call by its team and the ID that the caller chose.
type Key [16]byte

// Digest is the hash of the content of a call.
type Digest [8]byte

// KeyOf returns the key of a team's call. The same ID gives different keys
// for different teams.
func KeyOf(team, id string) Key {
	return Key(hash([]byte(team), []byte(id))[:len(Key{})])
}

// DigestOf returns the digest of a method, a request URI including its query,
// and a body.
func DigestOf(method, uri string, body []byte) Digest {
	return Digest(hash([]byte(method), []byte(uri), body)[:len(Digest{})])
}

// hash hashes each part with its length as a prefix, so that two different
// lists of parts never produce the same input.
func hash(parts ...[]byte) []byte {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

// Shard returns the index of the shard that holds the key.
func (k Key) Shard() int {
	return int(binary.BigEndian.Uint64(k[:8]) % Shards)
}

// ObjectKey returns the object API key of a shard.
func ObjectKey(shard int) string {
	return fmt.Sprintf("claim/%03d", shard)
}

// Holder identifies one incarnation of an entry host.
type Holder struct {
	_ struct{} `cbor:",toarray"`
	// Entry is the name of the entry host.
	Entry string
	// Incarnation distinguishes the runs of the entry host's process.
	Incarnation uint64
}

// Outcome is the recorded part of the response to a call.
type Outcome struct {
	_ struct{} `cbor:",toarray"`
	// Status is the HTTP status.
	Status int
	// Type is the content type of Body.
	Type string
	// Body holds at most MaxOutcome bytes.
	Body []byte
}

// Record is the stored form of one claim.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Key identifies the call.
	Key Key
	// Body distinguishes a resend from another call with the same ID.
	Body Digest
	// Nonce distinguishes this claim from other claims of the same key.
	Nonce uint64
	// Holder is the incarnation of an entry host that may send the call.
	Holder Holder
	// Until is the expiry time of the record, in Unix milliseconds.
	Until int64
	// Done is when the response to the call arrived, in Unix milliseconds;
	// zero while the call is only claimed.
	Done int64
	// Outcome is the response, if it is small enough to be recorded and
	// OutcomeTTL has not passed.
	Outcome *Outcome
}

// Shard holds the records of one shard object.
type Shard struct {
	records map[Key]Record
	bytes   int
}

// Upper bounds of encoded sizes, in bytes.
const (
	// recordBytes is the size of a record without the holder's name and the
	// outcome.
	recordBytes = 72
	// outcomeBytes is the overhead of an outcome on top of its type and body.
	outcomeBytes = 16
)

// size returns an upper bound of the encoded size.
func (r *Record) size() int {
	n := recordBytes + len(r.Holder.Entry)
	if r.Outcome != nil {
		n += outcomeBytes + len(r.Outcome.Type) + len(r.Outcome.Body)
	}
	return n
}

// Len returns the number of records.
func (s *Shard) Len() int {
	return len(s.records)
}

// Find returns the record of a key, if there is one.
func (s *Shard) Find(key Key) (Record, bool) {
	r, ok := s.records[key]
	return r, ok
}

func (s *Shard) put(r Record) {
	if s.records == nil {
		s.records = map[Key]Record{}
	}
	s.remove(r.Key)
	s.records[r.Key] = r
	s.bytes += r.size()
}

func (s *Shard) remove(key Key) {
	old, ok := s.records[key]
	if !ok {
		return
	}
	s.bytes -= old.size()
	delete(s.records, key)
}

// Prune removes expired records and outcomes.
func (s *Shard) Prune(now time.Time) {
	nowMs := now.UnixMilli()
	for key, r := range s.records {
		if r.Until <= nowMs {
			s.remove(key)
			continue
		}
		if r.Outcome != nil && r.Done+OutcomeTTL.Milliseconds() <= nowMs {
			r.Outcome = nil
			s.put(r)
		}
	}
}

// Encode returns the value of the shard object. The encoding is
// deterministic.
func (s *Shard) Encode() ([]byte, error) {
	sorted := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(a, b Record) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return cbor.Marshal(sorted)
}

// Decode parses the value of a shard object. An empty value gives an empty
// shard.
func Decode(value []byte) (*Shard, error) {
	s := &Shard{}
	if len(value) == 0 {
		return s, nil
	}
	var list []Record
	if err := cbor.Unmarshal(value, &list); err != nil {
		return nil, fmt.Errorf("claim: unreadable shard: %w", err)
	}
	for _, r := range list {
		s.put(r)
	}
	return s, nil
}
