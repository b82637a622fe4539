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
	// OnAdd, if set, is called as a fault is switched on; its error tells
	// what is wrong with the fault's value.
	OnAdd func(f Fault) error
	// OnClear, if set, is called as all faults are switched off.
	OnClear func()

	mu      sync.Mutex
	faults  map[Kind]*Fault
	changed chan struct{}
	cleared chan struct{}
}

// Add switches a fault on.
func (s *Set) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults == nil {
		s.faults = map[Kind]*Fault{}
	}
	s.faults[f.Kind] = &f
	signal(&s.changed)
}

// Clear switches faults off, all if none is named, and releases whatever
// waits for Cleared.
func (s *Set) Clear(kinds ...Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(kinds) == 0 {
		s.faults = nil
	}
	for _, kind := range kinds {
		delete(s.faults, kind)
	}
	signal(&s.changed)
	signal(&s.cleared)
}

// Changed returns a channel that is closed when a fault is switched on or
// the faults are cleared. Take it before a look at the faults to miss nothing.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wake(&s.changed)
}

// Cleared returns a channel that is closed when the faults are cleared.
func (s *Set) Cleared() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wake(&s.cleared)
}

// WaitInactive waits while a fault is on.
func (s *Set) WaitInactive(ctx context.Context, kind Kind) {
	for ctx.Err() == nil {
		changed := s.Changed()
		if _, on := s.Active(kind); !on {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func wake(c *chan struct{}) <-chan struct{} {
	if *c == nil {
		*c = make(chan struct{})
	}
	return *c
}

func signal(c *chan struct{}) {
	if *c != nil {
		close(*c)
		*c = nil
	}
}

// Active reports whether a fault is on, without using it up.
func (s *Set) Active(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[kind]
	if f == nil {
		return Fault{}, false
	}
	return *f, true
}

// Trigger reports whether a fault strikes now, and uses it up by one.
func (s *Set) Trigger(kind Kind) (Fault, bool) {
	return s.TriggerIf(kind, func(string) bool { return true })
}

// TriggerIf is Strike for a fault whose value meets a condition; it leaves
// any other alone.
func (s *Set) TriggerIf(kind Kind, meets func(value string) bool) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[kind]
	if f == nil || !meets(f.Value) {
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

// Routes adds the control calls to a server: POST /fault, and DELETE /fault
// for all faults or DELETE /fault?kind=KIND for one.
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
