// Package inject holds the faults that a test injects into a running stand-in, a
// process that replaces a dependency of the system.
package inject

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// Kind identifies a kind of fault.
type Kind string

// Fault is one injected fault.
type Fault struct {
	// Kind is the kind of fault.
	Kind Kind `json:"kind"`
	// Value is the fault's parameter, for example a prompt or a duration.
	Value string `json:"value"`
	// Count is how often the fault triggers; zero means always.
	Count int `json:"count"`
}

// Set holds the active faults of one stand-in, one of each kind. The zero value
// has none. Set the exported fields before Routes.
type Set struct {
	// OnAdd, if set, is called before a fault is added; an error rejects the
	// fault's value.
	OnAdd func(f Fault) error
	// OnClear, if set, is called after faults are cleared over HTTP.
	OnClear func()

	mu      sync.Mutex
	faults  map[Kind]*Fault
	changed chan struct{}
	cleared chan struct{}
}

// Add activates a fault and replaces an active one of the same kind.
func (s *Set) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults == nil {
		s.faults = map[Kind]*Fault{}
	}
	s.faults[f.Kind] = &f
	broadcast(&s.changed)
}

// Clear removes the faults of the given kinds, or all if none is given, and closes
// the channels of Cleared.
func (s *Set) Clear(kinds ...Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(kinds) == 0 {
		s.faults = nil
	}
	for _, kind := range kinds {
		delete(s.faults, kind)
	}
	broadcast(&s.changed)
	broadcast(&s.cleared)
}

// Changed returns a channel that is closed when a fault is added or faults are
// cleared. Call it before reading the faults, so that no change is missed.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return channel(&s.changed)
}

// Cleared returns a channel that is closed by the next Clear.
func (s *Set) Cleared() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return channel(&s.cleared)
}

// WaitInactive waits until a fault is not active or the context ends.
func (s *Set) WaitInactive(ctx context.Context, kind Kind) {
	for ctx.Err() == nil {
		changed := s.Changed()
		if _, active := s.Active(kind); !active {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// channel returns the channel that the next broadcast closes, and creates it if
// needed.
func channel(c *chan struct{}) <-chan struct{} {
	if *c == nil {
		*c = make(chan struct{})
	}
	return *c
}

// broadcast closes the channel, if there is one, to wake its receivers.
func broadcast(c *chan struct{}) {
	if *c != nil {
		close(*c)
		*c = nil
	}
}

// Active returns the active fault of a kind without decrementing its count.
func (s *Set) Active(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[kind]
	if f == nil {
		return Fault{}, false
	}
	return *f, true
}

// Trigger returns the active fault of a kind and decrements its count; a fault
// whose count reaches zero is removed.
func (s *Set) Trigger(kind Kind) (Fault, bool) {
	return s.TriggerIf(kind, func(string) bool { return true })
}

// TriggerIf triggers the fault only if its value meets a condition.
func (s *Set) TriggerIf(kind Kind, meets func(value string) bool) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[kind]
	if f == nil || !meets(f.Value) {
		return Fault{}, false
	}
	triggered := *f
	if f.Count > 0 {
		f.Count--
		if f.Count == 0 {
			delete(s.faults, kind)
		}
	}
	return triggered, true
}

// Routes adds the control routes to a server: POST /fault adds a fault, DELETE
// /fault clears all faults and DELETE /fault?kind=KIND clears one kind.
func (s *Set) Routes(h *server.Hertz) {
	h.POST("/fault", func(_ context.Context, c *app.RequestContext) {
		var f Fault
		if err := json.Unmarshal(c.Request.Body(), &f); err != nil || f.Kind == "" {
			c.String(400, "fault: need a kind: %v", err)
			return
		}
		if s.OnAdd != nil {
			if err := s.OnAdd(f); err != nil {
				c.String(400, "fault: value: %v", err)
				return
			}
		}
		s.Add(f)
		c.String(200, "on")
	})
	h.DELETE("/fault", func(_ context.Context, c *app.RequestContext) {
		if kind := c.Query("kind"); kind != "" {
			s.Clear(Kind(kind))
		} else {
			s.Clear()
		}
		if s.OnClear != nil {
			s.OnClear()
		}
		c.String(200, "off")
	})
}
