package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Cause is something that a request holds and that may crash the servers that run it: the request
// itself, or a part of its prompt.
type Cause string

const (
	requestPrefix = "request "
	partPrefix    = "part "
	// maxPartID is the length from which a digest replaces the ID of a part.
	maxPartID = 32
	// maxParagraphs bounds the parts of a prompt that is plain text.
	maxParagraphs = 16
)

// NewParts returns the parts of a prompt that is plain text: its paragraphs.
func NewParts(prompt string) []string {
	paragraphs := strings.SplitN(prompt, "\n\n", maxParagraphs)
	parts := make([]string, len(paragraphs))
	for i, paragraph := range paragraphs {
		parts[i] = strconv.FormatUint(xxhash.Sum64String(paragraph), 16)
	}
	return parts
}

// Causes returns the causes of a request, the most specific first: the request, then the parts of
// its prompt from the last to the first. The last part, which no other request holds, is left
// out.
func Causes(f Fingerprint, parts []string) []Cause {
	return append([]Cause{RequestCause(f)}, PartCauses(parts)...)
}

// RequestCause returns the cause for a request itself.
func RequestCause(f Fingerprint) Cause { return Cause(requestPrefix + f) }

// PartCauses returns the causes of a request but the request itself.
func PartCauses(parts []string) []Cause {
	list := make([]Cause, 0, len(parts))
	for i := len(parts) - 2; i >= 0; i-- {
		list = append(list, partCause(parts[i]))
	}
	return list
}

// partCause returns the cause for a part of a prompt.
func partCause(id string) Cause {
	if len(id) > maxPartID {
		sum := sha256.Sum256([]byte(id))
		id = hex.EncodeToString(sum[:fingerprintBytes])
	}
	return Cause(partPrefix + id)
}

// requestRank is the rank of a request. That of a part is its position in the prompt.
const requestRank = 255

// rank returns how specific the i-th of n causes of a request is.
func rank(i, n int) uint8 {
	if i == 0 {
		return requestRank
	}
	return uint8(min(n-i, requestRank-1))
}
