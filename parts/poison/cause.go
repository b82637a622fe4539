package poison

import (
	"crypto/sha256"
	"encoding/hex"
)

// Cause is something that a request holds and that may crash the servers that run it: the request
// itself, or a part of its prompt.
type Cause string

const (
	requestPrefix = "request "
	partPrefix    = "part "
	// maxPartID is the length from which a digest replaces the ID of a part.
	maxPartID = 32
)

// Causes returns the causes of a request, the most specific first: the request, then the parts of
// its prompt from the last to the first. The last part, which no other request holds, is left
// out.
func Causes(f Fingerprint, parts []string) []Cause {
	list := make([]Cause, 0, 1+len(parts))
	list = append(list, Cause(requestPrefix+f))
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
