package resv

import "github.com/cespare/xxhash/v2"

// NewKey returns the key of a request. Attempts have new IDs, so that a caller that returns is recognized
// by what it asks.
func NewKey(team, method, host, path string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range [...]string{team, method, host, path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}
