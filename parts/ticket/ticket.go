// Package ticket implements call IDs that name the only entry host that may
// send the call.
//
// A caller gets a ticket from an entry host and sends its call with the
// ticket as ID, through any entry host. Only the entry host that issued the
// ticket sends the call, at most once and only within the incarnation that
// issued it, and keeps the outcome in memory. Each call thus has one owner by
// construction and needs neither consensus nor a write to the object API, so
// that a partitioned failure domain keeps working. Once that incarnation has
// ended, the call is never run.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Prefix starts every ticket. IDs chosen by callers must not start with it.
const Prefix = "fst1."

// TTL is how long a ticket can be used. It bounds the state that the issuer
// keeps.
const TTL = 10 * time.Minute

// Ticket is the decoded form of a ticket.
type Ticket struct {
	_ struct{} `cbor:",toarray"`
	// Entry is the name of the issuing entry host.
	Entry string
	// Incarnation distinguishes the runs of the entry host's process.
	Incarnation uint64
	// Serial is unique within the incarnation.
	Serial uint64
	// Issued is the uptime of the incarnation when it issued the ticket. It
	// does not depend on the clock of another host.
	Issued time.Duration
}

// Expired reports whether the ticket has expired at the given uptime of the
// incarnation.
func (t Ticket) Expired(uptime time.Duration) bool {
	return uptime-t.Issued >= TTL
}

// Signer issues and verifies tickets.
type Signer struct {
	// Secret is shared by all entry hosts.
	Secret string
}

// macBytes is the length of the truncated HMAC.
const macBytes = 16

// errInvalid does not say what is wrong, so that it gives no hints for
// forging tickets.
var errInvalid = errors.New("ticket: not a ticket of this system and team")

var encoding = base64.RawURLEncoding

// Is reports whether an ID has the prefix of a ticket.
func Is(id string) bool {
	return strings.HasPrefix(id, Prefix)
}

// Issue returns the encoded and signed ticket for a team.
func (s Signer) Issue(t Ticket, team string) (string, error) {
	content, err := cbor.Marshal(t)
	if err != nil {
		return "", err
	}
	return Prefix + encoding.EncodeToString(append(content, s.mac(content, team)...)), nil
}

// Parse verifies and decodes a ticket. It fails unless the ticket was issued
// with the same secret for the same team.
func (s Signer) Parse(text, team string) (Ticket, error) {
	var t Ticket
	encoded, ok := strings.CutPrefix(text, Prefix)
	if !ok {
		return t, errInvalid
	}
	signed, err := encoding.DecodeString(encoded)
	// Base64 decoding accepts several texts for the same bytes. If a ticket had
	// two valid texts, its call could run once for each.
	if err != nil || len(signed) < macBytes || encoding.EncodeToString(signed) != encoded {
		return t, errInvalid
	}
	content, mac := signed[:len(signed)-macBytes], signed[len(signed)-macBytes:]
	if !hmac.Equal(mac, s.mac(content, team)) {
		return t, errInvalid
	}
	if err := cbor.Unmarshal(content, &t); err != nil {
		return Ticket{}, errInvalid
	}
	return t, nil
}

// mac returns the HMAC of a ticket and its team. The label in the key
// separates it from other uses of the secret.
func (s Signer) mac(content []byte, team string) []byte {
	h := hmac.New(sha256.New, []byte("fuchsiashelf ticket\x00"+s.Secret))
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(content)))
	h.Write(size[:])
	h.Write(content)
	h.Write([]byte(team))
	return h.Sum(nil)[:macBytes]
}
