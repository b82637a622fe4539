// Package object is a stand-in for the platform's object API and host list.
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
	mu      sync.Mutex
	version uint64
	objects map[string]store.Object
	gone    map[string]uint64
	former  map[string]store.Object
	copied  *backup
	hosts   map[string]host.Host
	hostRev uint64
	wake    chan struct{}
	calls   map[string]int
	byEntry map[string]map[string]int
}

// backup is a copy of all objects.
type backup struct {
	version uint64
	objects map[string]store.Object
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: map[string]store.Object{},
		gone:    map[string]uint64{},
		former:  map[string]store.Object{},
		hosts:   map[string]host.Host{},
		wake:    make(chan struct{}),
		calls:   map[string]int{},
		byEntry: map[string]map[string]int{},
	}
}

// CountCall counts one call of a kind from an entry host; the name may be empty.
func (s *Store) CountCall(kind, entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	if entry == "" {
		return
	}
	if s.byEntry[entry] == nil {
		s.byEntry[entry] = map[string]int{}
	}
	s.byEntry[entry][kind]++
}

// CallsBy returns how often each entry host made each kind of call.
func (s *Store) CallsBy() map[string]map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]map[string]int{}
	for entry, kinds := range s.byEntry {
		out[entry] = maps.Clone(kinds)
	}
	return out
}

// Calls returns how often each kind of call was made.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Previous returns the value that an object had before its newest one, or the
// newest if there was none before.
func (s *Store) Previous(key string) store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.former[key]; ok {
		return o
	}
	return s.objects[key]
}

// Snapshot keeps a copy of all objects for Restore.
func (s *Store) Snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = &backup{version: s.version, objects: maps.Clone(s.objects)}
}

// Restore puts the copy back, its version counter included, as a platform
// does that lost its newest data. It reports whether there is a copy.
func (s *Store) Restore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copied == nil {
		return false
	}
	s.version, s.objects = s.copied.version, maps.Clone(s.copied.objects)
	s.gone, s.former = map[string]uint64{}, map[string]store.Object{}
	s.signal()
	return true
}

// Get returns an object; its version is zero if there is none.
func (s *Store) Get(key string) store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key]
}

// Put writes an object if it still has the given version. It returns the
// version after the call and whether the write took effect.
func (s *Store) Put(key string, value []byte, version uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.objects[key].Version; old != version {
		return old, false
	}
	s.version++
	if old, ok := s.objects[key]; ok {
		s.former[key] = old
	}
	s.objects[key] = store.Object{Key: key, Version: s.version, Value: slices.Clone(value)}
	delete(s.gone, key)
	s.signal()
	return s.version, true
}

// Delete removes an object if it still has the given version.
func (s *Store) Delete(key string, version uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[key].Version
	if old != version || old == 0 {
		return old, false
	}
	s.version++
	delete(s.objects, key)
	s.gone[key] = s.version
	s.signal()
	return s.version, true
}

// ChangesSince returns the objects under a prefix that changed after a version. A
// removed object is in it with no value and the version of its removal.
func (s *Store) ChangesSince(prefix string, after uint64) (store.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := store.Changes{Version: s.version, Objects: []store.Object{}}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && o.Version > after {
			changes.Objects = append(changes.Objects, o)
		}
	}
	for key, version := range s.gone {
		if after > 0 && strings.HasPrefix(key, prefix) && version > after {
			changes.Objects = append(changes.Objects, store.Object{Key: key, Version: version})
		}
	}
	slices.SortFunc(changes.Objects, func(a, b store.Object) int {
		return strings.Compare(a.Key, b.Key)
	})
	return changes, s.wake
}

// SetHost adds or changes a host.
func (s *Store) SetHost(h host.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[h.Name] = h
	s.hostRev++
	s.signal()
}

// DeleteHost removes a host.
func (s *Store) DeleteHost(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, name)
	s.hostRev++
	s.signal()
}

// Hosts returns the host list.
func (s *Store) Hosts() (host.List, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := host.List{Revision: s.hostRev, Hosts: []host.Host{}}
	for _, h := range s.hosts {
		list.Hosts = append(list.Hosts, h)
	}
	slices.SortFunc(list.Hosts, func(a, b host.Host) int {
		return strings.Compare(a.Name, b.Name)
	})
	return list, s.wake
}

func (s *Store) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}
