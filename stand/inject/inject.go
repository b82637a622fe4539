// Package inject holds the faults that a test switches on in a stand-in while
// it runs.
package inject

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// Kind names a fault.
type Kind string

// Fault is a fault that is switched on.
type Fault struct {
	// Kind names the fault.
	Kind Kind `json:"kind"`
	// Value is the fault's parameter, for example a prompt or a duration.
	Value string `json:"value"`
	// Count is how often the fault strikes; zero means always.
	Count int `json:"count"`
}

// Set holds the faults of one stand-in. The zero value has none. Set the
// exported fields before Routes.
type Set struct {
	// Added, if set, is called as a fault is switched on; its error tells
	// what is wrong with the fault's value.
	Added func(f Fault) error
	// Cleared, if set, is called as all faults are switched off.
	Cleared func()

	mu      sync.Mutex
	faults  map[Kind]*Fault
	changed chan struct{}
}

// Add switches a fault on.
func (s *Set) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults == nil {
		s.faults = map[Kind]*Fault{}
	}
	s.faults[f.Kind] = &f
	s.wake()
}

// wake tells those who wait for a change. The lock is held.
func (s *Set) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Wait returns once a fault is off, or with the context's error.
func (s *Set) Wait(ctx context.Context, kind Kind) error {
	for {
		s.mu.Lock()
		if s.faults[kind] == nil {
			s.mu.Unlock()
			return nil
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Clear switches all faults off.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
	s.wake()
}

// On reports whether a fault is on, without using it up.
func (s *Set) On(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[kind]
	if f == nil {
		return Fault{}, false
	}
	return *f, true
}

// Strike reports whether a fault strikes now, and uses it up by one.
func (s *Set) Strike(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[kind]
	if f == nil {
		return Fault{}, false
	}
	hit := *f
	if f.Count > 0 {
		f.Count--
		if f.Count == 0 {
			delete(s.faults, kind)
		}
	}
	return hit, true
}

// Routes adds the control calls to a server: POST /fault and DELETE /fault.
func (s *Set) Routes(h *server.Hertz) {
	h.POST("/fault", func(_ context.Context, c *app.RequestContext) {
		var f Fault
		if err := json.Unmarshal(c.Request.Body(), &f); err != nil || f.Kind == "" {
			c.String(400, "fault: need a kind: %v", err)
			return
		}
		if s.Added != nil {
			if err := s.Added(f); err != nil {
				c.String(400, "fault: value: %v", err)
				return
			}
		}
		s.Add(f)
		c.String(200, "on")
	})
	h.DELETE("/fault", func(_ context.Context, c *app.RequestContext) {
		s.Clear()
		if s.Cleared != nil {
			s.Cleared()
		}
		c.String(200, "off")
	})
}
