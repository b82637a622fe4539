// Package plat is a stand-in for the users' platform: its object API with the
// operator's configuration, engines that hold layers and pass chains on, and
// plain services. It speaks their form over HTTP on loopback, and does what
// their pages say goes wrong when a test asks for it.
//
// A [Platform] holds all of them and writes down what ran where, which is what
// tests look at.
package fakes

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is what the object API holds.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// FailureMode is how the object API fails.
type FailureMode uint8

// The troubles.
const (
	// Healthy: it answers.
	Healthy FailureMode = iota
	// Unavailable: it answers 503.
	Unavailable
	// Unresponsive: it takes calls and never answers.
	Unresponsive
)

// Store is the object API. The zero value is empty and well.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	// forgotten is the revision up to which changes are no longer told.
	forgotten uint64
	changed   chan struct{}
	trouble   FailureMode
	calls     int
	// deaf counts how often the watches of a kind that waited went deaf.
	deaf map[string]int
	// waits is the longest that a watch of a kind was to wait.
	waits map[string]time.Duration
}

func (s *Store) init() {
	if s.objects == nil {
		s.objects = map[string]map[string]object{}
		s.revision = 40
		s.changed = make(chan struct{})
		s.deaf = map[string]int{}
		s.waits = map[string]time.Duration{}
	}
}

// MuteWatches makes the watches of a kind that wait now hear of no change to it
// until their wait is over, without ending them.
func (s *Store) MuteWatches(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.deaf[kind]++
	close(s.changed)
	s.changed = make(chan struct{})
}

// LongestWait returns the longest that a watch of a kind was to wait.
func (s *Store) LongestWait(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waits[kind]
}

// Put writes an object as its owner would.
func (s *Store) Put(kind, name string, spec any) error {
	text, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(text) {
		return nil
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: old.Metadata.Created}, Spec: text}
	if !exists {
		o.Metadata.Created = s.revision
	}
	s.objects[kind][name] = o
	s.tell(event{kind: kind, revision: s.revision, Object: o})
	return nil
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.tell(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

// tell wakes those that watch. The mutex is held.
func (s *Store) tell(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops the history of changes.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.events = nil
	s.forgotten = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFailureMode puts the object API into trouble, or ends it.
func (s *Store) SetFailureMode(t FailureMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.trouble = t
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.init()
	s.calls++
	trouble := s.trouble
	s.mu.Unlock()
	switch trouble {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Unresponsive:
		<-r.Context().Done()
		return
	case Healthy:
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	watch := r.URL.Query().Get("watch")
	switch {
	case name != "":
		s.get(w, kind, name)
	case watch != "":
		s.watch(w, r, kind, watch)
	default:
		s.list(w, kind, r.URL.Query().Get("after"))
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, o)
}

// pageSize is small, so that lists have pages.
const pageSize = 5

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	page := struct {
		Items    []object `json:"items"`
		More     bool     `json:"has_more"`
		Revision uint64   `json:"store_revision"`
	}{Items: []object{}, More: more, Revision: s.revision}
	for _, name := range names[:min(pageSize, len(names))] {
		page.Items = append(page.Items, s.objects[kind][name])
	}
	answer(w, page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, from string) {
	after, err := strconv.ParseUint(from, 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	longest := time.Duration(wait) * time.Millisecond
	end := time.After(longest)
	s.mu.Lock()
	s.waits[kind] = max(s.waits[kind], longest)
	hearing := s.deaf[kind]
	s.mu.Unlock()
	for {
		s.mu.Lock()
		deaf := s.deaf[kind] != hearing
		forgotten, changed, revision, trouble := after < s.forgotten, s.changed, s.revision, s.trouble
		events := s.since(kind, after)
		s.mu.Unlock()
		if trouble != Healthy {
			<-r.Context().Done()
			return
		}
		if forgotten {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !deaf {
			tellEvents(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-end:
			if deaf {
				revision = after
			}
			tellEvents(w, nil, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a kind after a revision. The mutex is held.
func (s *Store) since(kind string, after uint64) []event {
	var list []event
	for _, e := range s.events {
		if e.kind == kind && e.revision > after {
			list = append(list, e)
		}
	}
	return list
}

func tellEvents(w http.ResponseWriter, events []event, revision uint64) {
	if events == nil {
		events = []event{}
	}
	answer(w, struct {
		Events   []event `json:"events"`
		Revision uint64  `json:"store_revision"`
	}{events, revision})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		// The caller has left.
		return
	}
}
