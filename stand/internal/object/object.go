// Package object implements a stand-in for the platform's object API and host list.
package object

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/store"
)

// Store holds objects and hosts in memory. The zero value is not ready; use
// New.
type Store struct {
	mu           sync.Mutex
	version      uint64
	objects      map[string]store.Object
	deleted      map[string]uint64
	previous     map[string]store.Object
	snapshot     *snapshot
	hosts        map[string]host.Host
	hostRevision uint64
	changed      chan struct{}
	calls        map[string]int
	callsByEntry map[string]map[string]int
}

// snapshot is a copy of all objects.
type snapshot struct {
	version uint64
	objects map[string]store.Object
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects:      map[string]store.Object{},
		deleted:      map[string]uint64{},
		previous:     map[string]store.Object{},
		hosts:        map[string]host.Host{},
		changed:      make(chan struct{}),
		calls:        map[string]int{},
		callsByEntry: map[string]map[string]int{},
	}
}

// CountCall counts one call of a kind from an entry host, whose name may be empty.
func (s *Store) CountCall(kind, entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	if entry == "" {
		return
	}
	if s.callsByEntry[entry] == nil {
		s.callsByEntry[entry] = map[string]int{}
	}
	s.callsByEntry[entry][kind]++
}

// CallsBy returns the number of calls by entry host and kind.
func (s *Store) CallsBy() map[string]map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]map[string]int{}
	for entry, kinds := range s.callsByEntry {
		calls[entry] = maps.Clone(kinds)
	}
	return calls
}

// Calls returns the number of calls by kind.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Previous returns an object as it was before its newest write, or as it is now if
// it was written only once.
func (s *Store) Previous(key string) store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.previous[key]; ok {
		return o
	}
	return s.objects[key]
}

// Snapshot keeps a copy of all objects for Restore.
func (s *Store) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = &snapshot{version: s.version, objects: maps.Clone(s.objects)}
}

// Restore goes back to the snapshot and its version counter, like a platform that
// lost its newest data. It reports whether there is a snapshot.
func (s *Store) Restore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return false
	}
	s.version, s.objects = s.snapshot.version, maps.Clone(s.snapshot.objects)
	s.deleted, s.previous = map[string]uint64{}, map[string]store.Object{}
	s.notify()
	return true
}

// Get returns an object; its version is zero if there is none.
func (s *Store) Get(key string) store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key]
}

// Put writes an object if its version is the given one; zero means that it must
// not exist. It returns the version after the call and whether the write took
// effect.
func (s *Store) Put(key string, value []byte, version uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.objects[key].Version; old != version {
		return old, false
	}
	s.version++
	if old, ok := s.objects[key]; ok {
		s.previous[key] = old
	}
	s.objects[key] = store.Object{Key: key, Version: s.version, Value: slices.Clone(value)}
	delete(s.deleted, key)
	s.notify()
	return s.version, true
}

// Delete removes an object if its version is the given one. Its results are those
// of Put.
func (s *Store) Delete(key string, version uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[key].Version
	if old != version || old == 0 {
		return old, false
	}
	s.version++
	delete(s.objects, key)
	s.deleted[key] = s.version
	s.notify()
	return s.version, true
}

// ChangesSince returns the objects under a prefix that changed after a version, and
// a channel that is closed by the next change. A removed object has no value and
// the version of its removal; after version 0 removed objects are omitted.
func (s *Store) ChangesSince(prefix string, after uint64) (store.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := store.Changes{Version: s.version, Objects: []store.Object{}}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && o.Version > after {
			changes.Objects = append(changes.Objects, o)
		}
	}
	for key, version := range s.deleted {
		if after > 0 && strings.HasPrefix(key, prefix) && version > after {
			changes.Objects = append(changes.Objects, store.Object{Key: key, Version: version})
		}
	}
	slices.SortFunc(changes.Objects, func(a, b store.Object) int {
		return strings.Compare(a.Key, b.Key)
	})
	return changes, s.changed
}

// SetHost adds or changes a host.
func (s *Store) SetHost(h host.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[h.Name] = h
	s.hostRevision++
	s.notify()
}

// DeleteHost removes a host.
func (s *Store) DeleteHost(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, name)
	s.hostRevision++
	s.notify()
}

// Hosts returns the host list and a channel that is closed by the next change.
func (s *Store) Hosts() (host.List, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := host.List{Revision: s.hostRevision, Hosts: []host.Host{}}
	for _, h := range s.hosts {
		list.Hosts = append(list.Hosts, h)
	}
	slices.SortFunc(list.Hosts, func(a, b host.Host) int {
		return strings.Compare(a.Name, b.Name)
	})
	return list, s.changed
}

// notify wakes all watches. The caller holds the mutex.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
