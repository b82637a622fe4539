package fakes

import (
	"maps"
	"slices"
)

// Copy is a copy of the store at one revision.
type Copy struct {
	revision uint64
	objects  map[string]map[string]object
	events   []event
}

// Copy returns a copy of the store, from which it can be restored.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	c := &Copy{revision: s.revision, objects: map[string]map[string]object{}, events: slices.Clone(s.events)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Restore replaces the content of the store by a copy. What was written since is lost,
// its revisions are given out again, and the era rises. Pending watches are cut off.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.revision, s.events = c.revision, slices.Clone(c.events)
	s.objects = map[string]map[string]object{}
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.era++
	s.wake()
}
