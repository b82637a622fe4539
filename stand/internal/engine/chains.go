package engine

import (
	"sync"
	"time"
)

// acceptedChains keeps the chains that an engine has accepted. A server that refuses
// new requests continues these chains and accepts no others.
type acceptedChains struct {
	mu       sync.Mutex
	lastUsed map[chainKey]time.Time
	sweptAt  time.Time
}

// chainKey identifies one attempt of a request.
type chainKey struct {
	request string
	attempt int
}

// chainTTL is how long a chain is kept after its last token.
const chainTTL = time.Minute

// touch reports whether the chain was accepted, and records its use.
func (a *acceptedChains) touch(key chainKey, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, found := a.lastUsed[key]; !found {
		return false
	}
	a.lastUsed[key] = now
	return true
}

// add records an accepted chain. At most once per chainTTL it removes the expired
// chains.
func (a *acceptedChains) add(key chainKey, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastUsed == nil {
		a.lastUsed = map[chainKey]time.Time{}
	}
	a.lastUsed[key] = now
	if now.Sub(a.sweptAt) < chainTTL {
		return
	}
	a.sweptAt = now
	for other, at := range a.lastUsed {
		if now.Sub(at) > chainTTL {
			delete(a.lastUsed, other)
		}
	}
}
