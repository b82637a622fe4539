// Package claim makes calls that may not be repeated run at most once, even
// when a caller sends the same call again through another entry host.
//
// A claim is a [Record] that says which entry host may send a call to a
// backend server. Records live in shard objects of the object API and are
// written by conditional update, before the call is sent. The version of the
// shard is the fence: an entry host that paused or was cut off while others
// wrote can't write over what it has not seen, and no clock is involved.
//
// A record is claimed, then done. It may be void instead: its holder has said
// that it never sent the call and never will, so that another may claim it
// anew. A record of a holder that is gone stays claimed until it expires.
//
// [Commit] is the state machine that brings a batch of changes into one shard
// and is pure. [Table] is what an entry host remembers of its own claims.
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

// Shards is the number of shard objects. All entry hosts must agree on it,
// and it can't change while claims live; docs/design/claims.md works it out.
const Shards = 256

// MaxShardBytes is the largest encoded shard; the object API holds a megabyte.
const MaxShardBytes = 900_000

// OutcomeTTL is how long a recorded outcome is kept. A caller that has lost
// an answer comes back within it; later it learns only that its call ran.
const OutcomeTTL = 5 * time.Minute

// MaxOutcome is the largest body of an outcome that is recorded, in bytes.
const MaxOutcome = 512

// Key identifies a call: its team and the caller's id.
type Key [16]byte

// Digest identifies what a call asks for.
type Digest [8]byte

// KeyOf returns the key of a team's call. Ids of different teams never meet.
func KeyOf(team, id string) Key {
	return Key(hash([]byte(team), []byte(id))[:len(Key{})])
}

// DigestOf returns the digest of a call's method, path with query, and body.
func DigestOf(method, uri string, body []byte) Digest {
	return Digest(hash([]byte(method), []byte(uri), body)[:len(Digest{})])
}

// hash hashes parts with their lengths, so that no two lists of parts give
// the same input.
func hash(parts ...[]byte) []byte {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write(p)
	}
	return h.Sum(nil)
}

// Shard returns the number of the shard that holds the key.
func (k Key) Shard() int {
	return int(binary.BigEndian.Uint64(k[:8]) % Shards)
}

// ObjectKey returns the key of a shard's object.
func ObjectKey(shard int) string {
	return fmt.Sprintf("claim/%03d", shard)
}

// Holder is one run of an entry host.
type Holder struct {
	_ struct{} `cbor:",toarray"`
	// Entry is the name of the entry host.
	Entry string
	// Incarnation tells one run of it from the next.
	Incarnation uint64
}

// Outcome is the answer to a call, as far as it is recorded.
type Outcome struct {
	_ struct{} `cbor:",toarray"`
	// Status is the HTTP status.
	Status int
	// Type is the content type of the body.
	Type string
	// Body is at most MaxOutcome bytes.
	Body []byte
}

// Record is one claim.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Key identifies the call.
	Key Key
	// Body tells a resend from another call under the same id.
	Body Digest
	// Nonce tells this claim from any other on the same key.
	Nonce uint64
	// Holder may send the call.
	Holder Holder
	// Until is when the record expires, in Unix milliseconds.
	Until int64
	// Done is when the call's answer came, in Unix milliseconds; zero while
	// it is claimed.
	Done int64
	// Outcome is the answer, if it was small and is kept still.
	Outcome *Outcome
}

// Shard holds the records of one object.
type Shard struct {
	records map[Key]Record
	bytes   int
}

// The size of an encoded record without its holder's name and its outcome,
// and what an outcome adds to its type and body. Both are upper bounds.
const (
	recordBytes  = 72
	outcomeBytes = 16
)

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

// Find returns the record of a key.
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

// Prune drops what has expired.
func (s *Shard) Prune(now time.Time) {
	ms := now.UnixMilli()
	for key, r := range s.records {
		if r.Until <= ms {
			s.remove(key)
			continue
		}
		if r.Outcome != nil && r.Done+OutcomeTTL.Milliseconds() <= ms {
			r.Outcome = nil
			s.put(r)
		}
	}
}

// Encode returns the value of the shard's object. Equal shards have equal
// values.
func (s *Shard) Encode() ([]byte, error) {
	list := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Record) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return cbor.Marshal(list)
}

// Decode reads the value of a shard's object; an empty value is an empty
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
