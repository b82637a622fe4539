// Package fakes implements fakes of the users' platform for tests: the object
// API with the operator's configuration, engines that hold a range of layers
// and serve as a stage of a chain, and plain services. They speak the platform's
// protocol over HTTP on loopback. Tests can make them fail in the ways that the
// platform documents.
//
// A [Platform] runs the fakes and records which server ran which request, for
// tests to check.
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

// object is an object of the object API in its wire format.
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

// event is a change of an object; watches deliver it.
type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// FailureMode selects how the object API fails.
type FailureMode uint8

// The failure modes.
const (
	// Healthy: every call is answered.
	Healthy FailureMode = iota
	// Unavailable: every call is answered with 503.
	Unavailable
	// Unresponsive: calls are accepted and never answered.
	Unresponsive
)

// Store is the object API. The zero value is empty and healthy.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// era is the number of restores from a copy, counted from firstEra.
	era     uint64
	objects map[string]map[string]object
	events  []event
	// compactedRevision is the revision up to which the history is dropped.
	compactedRevision uint64
	changed           chan struct{}
	failureMode       FailureMode
	calls             int
	// muteCounts counts the MuteWatches calls by kind. A watch is muted if the
	// count has changed since it started.
	muteCounts map[string]int
	// longestWaits holds the longest wait that a watch of each kind requested.
	longestWaits map[string]time.Duration
	raw          rawSpecs
}

// firstEra is the era of a store that was never restored.
const firstEra = 1

func (s *Store) init() {
	if s.objects == nil {
		s.era = firstEra
		s.objects = map[string]map[string]object{}
		s.revision = 40
		s.changed = make(chan struct{})
		s.muteCounts = map[string]int{}
		s.longestWaits = map[string]time.Duration{}
	}
}

// MuteWatches makes the pending watches of a kind report no change until their
// wait is over. The watches stay open.
func (s *Store) MuteWatches(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.muteCounts[kind]++
	s.wake()
}

// LongestWait returns the longest wait that a watch of a kind requested.
func (s *Store) LongestWait(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestWaits[kind]
}

// Put writes an object. If the spec equals the stored one, nothing changes.
func (s *Store) Put(kind, name string, spec any) error {
	encoded, err := json.Marshal(spec)
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
	if exists && string(old.Spec) == string(encoded) {
		return nil
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: old.Metadata.Created}, Spec: encoded}
	if !exists {
		o.Metadata.Created = s.revision
	}
	s.objects[kind][name] = o
	s.appendEvent(event{kind: kind, revision: s.revision, Object: o})
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
	s.appendEvent(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

// appendEvent appends a change to the history and wakes all watches. The caller
// holds the mutex.
func (s *Store) appendEvent(e event) {
	s.events = append(s.events, e)
	s.wake()
}

// wake wakes all pending watches. The caller holds the mutex.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops the history of changes, so that watches from an older
// revision get 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.events = nil
	s.compactedRevision = s.revision
	s.wake()
}

// SetFailureMode sets how the object API fails; Healthy ends a failure.
func (s *Store) SetFailureMode(mode FailureMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.failureMode = mode
	s.wake()
}

// Calls returns how many calls the object API received.
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
	mode := s.failureMode
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	w = &rawWriter{ResponseWriter: w, specs: &s.raw}
	switch mode {
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
	writeJSON(w, o)
}

// pageSize is small, so that lists take several pages.
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
	writeJSON(w, page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, from string) {
	after, err := strconv.ParseUint(from, 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.Duration(wait) * time.Millisecond
	timeout := time.After(limit)
	s.mu.Lock()
	s.longestWaits[kind] = max(s.longestWaits[kind], limit)
	muteCount, era := s.muteCounts[kind], s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		muted := s.muteCounts[kind] != muteCount
		gone, changed, revision, mode := after < s.compactedRevision || after > s.revision, s.changed, s.revision, s.failureMode
		cut := s.era != era
		events := s.eventsSince(kind, after)
		s.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		if mode != Healthy {
			<-r.Context().Done()
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !muted {
			writeEvents(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			if muted {
				revision = after
			}
			writeEvents(w, nil, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the changes of a kind after a revision. The caller holds
// the mutex.
func (s *Store) eventsSince(kind string, after uint64) []event {
	var events []event
	for _, e := range s.events {
		if e.kind == kind && e.revision > after {
			events = append(events, e)
		}
	}
	return events
}

func writeEvents(w http.ResponseWriter, events []event, revision uint64) {
	if events == nil {
		events = []event{}
	}
	writeJSON(w, struct {
		Events   []event `json:"events"`
		Revision uint64  `json:"store_revision"`
	}{events, revision})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		// The client closed the connection.
		return
	}
}
