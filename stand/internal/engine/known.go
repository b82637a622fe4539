package engine

import (
	"sync"
	"time"
)

// known holds the chains that an engine has taken. A server that is leaving
// goes on with these and takes no others.
type known struct {
	mu    sync.Mutex
	used  map[chainKey]time.Time
	swept time.Time
}

// chainKey names one chain of one request.
type chainKey struct {
	request string
	attempt int
}

// knownFor is how long a chain is known after its last token.
const knownFor = time.Minute

// has reports whether the chain was taken, and notes its use.
func (k *known) has(key chainKey, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, found := k.used[key]; !found {
		return false
	}
	k.used[key] = now
	return true
}

// add notes a chain that was taken, and forgets old ones.
func (k *known) add(key chainKey, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.used == nil {
		k.used = map[chainKey]time.Time{}
	}
	k.used[key] = now
	if now.Sub(k.swept) < knownFor {
		return
	}
	k.swept = now
	for other, at := range k.used {
		if now.Sub(at) > knownFor {
			delete(k.used, other)
		}
	}
}
