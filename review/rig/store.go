package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// event is a change of an object.
type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's store. It is always up and answers at once.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

// startStore starts a store at an address of the loopback network.
func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put creates or replaces an object and returns once the store holds it.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.putRaw(kind, name, encoded)
}

func (s *store) putRaw(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.publish(event{kind: kind, revision: s.revision, Object: o})
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.publish(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

// publish adds a change to the history. The mutex is held.
func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	watch := r.URL.Query().Get("watch")
	switch {
	case r.Method == http.MethodPut && name != "":
		s.servePut(w, r, kind, name)
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusBadRequest)
	case name != "":
		s.serveOne(w, kind, name)
	case watch != "":
		s.serveWatch(w, r, kind, watch)
	default:
		s.serveList(w, kind)
	}
}

// servePut serves the writes of servers that run as processes of their own.
func (s *store) servePut(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.putRaw(kind, name, o.Spec)
	writeJSON(w, o)
}

func (s *store) serveOne(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

func (s *store) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	list := struct {
		Items    []object `json:"items"`
		More     bool     `json:"has_more"`
		Revision uint64   `json:"store_revision"`
	}{Items: []object{}, Revision: s.revision}
	for _, o := range s.objects[kind] {
		list.Items = append(list.Items, o)
	}
	s.mu.Unlock()
	slices.SortFunc(list.Items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, list)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind, from string) {
	after, err := strconv.ParseUint(from, 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	over := time.After(time.Duration(wait) * time.Millisecond)
	answer := struct {
		Events   []event `json:"events"`
		Revision uint64  `json:"store_revision"`
	}{Events: []event{}}
	for done := false; !done; {
		s.mu.Lock()
		changed := s.changed
		answer.Revision = s.revision
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				answer.Events = append(answer.Events, e)
			}
		}
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			break
		}
		select {
		case <-changed:
		case <-over:
			done = true
		case <-r.Context().Done():
			return
		}
	}
	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
