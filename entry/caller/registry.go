package caller

import (
	"maps"
	"slices"
	"sync"
)

// Registry holds the watches of the requests in flight. The zero value is ready to use.
type Registry struct {
	mu      sync.Mutex
	watches map[*Watch]struct{}
}

// Add adds a watch until remove is called.
func (r *Registry) Add(w *Watch) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watches == nil {
		r.watches = map[*Watch]struct{}{}
	}
	r.watches[w] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watches, w)
	}
}

// Check asks the kernel whether the callers have left, and ends the requests of those that have.
func (r *Registry) Check() {
	r.mu.Lock()
	list := slices.Collect(maps.Keys(r.watches))
	r.mu.Unlock()
	for _, w := range list {
		w.Left()
	}
}
