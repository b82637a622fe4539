// Package ticket makes ids of calls that name the one entry host that may
// send the call.
//
// A caller asks an entry host for a ticket and sends its call under it,
// through any entry host. Only the entry host that issued the ticket, and
// only in the incarnation that did, sends the call, once, and remembers it
// in its own memory. So there is one owner by construction, and neither
// agreement nor a write to the object API is needed: a failure domain that is
// cut off goes on. Once that incarnation is gone the call is never run.
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

// Prefix opens every ticket. An id of a caller's own may not start with it.
const Prefix = "fst1."

// TTL is how long a ticket may be used. It bounds what its issuer has to
// remember.
const TTL = 10 * time.Minute

// Ticket is the content of a ticket.
type Ticket struct {
	_ struct{} `cbor:",toarray"`
	// Entry is the name of the issuing entry host.
	Entry string
	// Incarnation tells one run of it from the next.
	Incarnation uint64
	// Serial is unique within the incarnation.
	Serial uint64
	// Issued is how long the incarnation had run when it issued the ticket.
	// No clock of another host takes part.
	Issued time.Duration
}

// Expired reports whether the ticket may no longer be used; up is how long
// the incarnation has run.
func (t Ticket) Expired(up time.Duration) bool {
	return up-t.Issued >= TTL
}

// Signer issues and reads tickets.
type Signer struct {
	// Secret is shared by all entry hosts.
	Secret string
}

// macBytes is the length of a ticket's authentication.
const macBytes = 16

// errForged tells nothing about what is wrong, so that a forger learns
// nothing.
var errForged = errors.New("ticket: not a ticket of this system and team")

var coding = base64.RawURLEncoding

// Is reports whether an id claims to be a ticket.
func Is(id string) bool {
	return strings.HasPrefix(id, Prefix)
}

// Issue returns the text of a ticket for a team.
func (s Signer) Issue(t Ticket, team string) (string, error) {
	content, err := cbor.Marshal(t)
	if err != nil {
		return "", err
	}
	return Prefix + coding.EncodeToString(append(content, s.mac(content, team)...)), nil
}

// Parse reads the text of a ticket. It fails unless the ticket was issued
// with the same secret for the same team.
func (s Signer) Parse(text, team string) (Ticket, error) {
	var t Ticket
	rest, ok := strings.CutPrefix(text, Prefix)
	if !ok {
		return t, errForged
	}
	all, err := coding.DecodeString(rest)
	// A decoder takes several texts for the same bytes. If one ticket had two
	// texts, a call could run under each.
	if err != nil || len(all) < macBytes || coding.EncodeToString(all) != rest {
		return t, errForged
	}
	content, mac := all[:len(all)-macBytes], all[len(all)-macBytes:]
	if !hmac.Equal(mac, s.mac(content, team)) {
		return t, errForged
	}
	if err := cbor.Unmarshal(content, &t); err != nil {
		return Ticket{}, errForged
	}
	return t, nil
}

// mac authenticates a ticket and the team that it is for. The secret serves
// other purposes too; the label keeps them apart.
func (s Signer) mac(content []byte, team string) []byte {
	h := hmac.New(sha256.New, []byte("fuchsiashelf ticket\x00"+s.Secret))
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(content)))
	h.Write(size[:])
	h.Write(content)
	h.Write([]byte(team))
	return h.Sum(nil)[:macBytes]
}
