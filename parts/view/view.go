// Package view joins what an entry host knows about the world into one
// immutable [Snapshot].
//
// The request path loads the current snapshot once per request from an atomic
// pointer and works on that alone (read-copy-update). Writers make a changed
// copy under a lock and publish it, so a request never sees half a change.
package view

import (
	"maps"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/server"
	"fuchsiashelf.dev/parts/team"
)

// Reason says why a backend server gets no new work.
type Reason string

// The reasons.
const (
	// HostLeaving: the host list says that the host is leaving.
	HostLeaving Reason = "host-leaving"
	// Stopping: the operators have planned a stop, and it has begun.
	Stopping Reason = "stopping"
	// Refusing: the server itself has answered that it is leaving.
	Refusing Reason = "refusing"
	// PeerReported: another entry has said that the server is leaving.
	PeerReported Reason = "peer-word"
)

// Peer is another entry host as this one sees it.
type Peer struct {
	// Name is the name of the entry host.
	Name string
	// Address is host:port of its peers' listener.
	Address string
	// Domain is its failure domain.
	Domain domain.Name
	// Incarnation tells one run of the entry from the next.
	Incarnation uint64
	// Revision is the configuration revision that it has in force.
	Revision uint64
	// Alive says that it answered lately or that others heard it.
	Alive bool
	// Left says that it said goodbye.
	Left bool
}

// Snapshot is what an entry host knows at one moment. All of it is read only.
type Snapshot struct {
	// Self is the name of this entry host.
	Self string
	// Domain is the failure domain of this entry host.
	Domain domain.Name
	// Config is the configuration in force; nil before the first one.
	Config *conf.Config
	// Teams is the book of teams; nil before the first one.
	Teams *team.Directory
	// Hosts is the host list by name.
	Hosts map[string]host.Host
	// HostsRevision is the revision of the host list.
	HostsRevision uint64
	// Cordoned holds the backend servers that get no new work: the union of Outs.
	Cordoned map[string]Reason
	// CordonedBy holds the same by source. Change it with SetOut, MarkOut and
	// ClearOut only, which keep Out in step.
	CordonedBy map[Reason]map[string]bool
	// Epoch grows whenever Config, Hosts or Out is replaced, so that what is
	// derived from these can be kept until it does.
	Epoch uint64
	// SuspectedServers holds backend servers that failed lately, with the time until
	// which they are avoided.
	SuspectedServers map[string]time.Time
	// PoisonedRequests holds fingerprints of requests that are known to crash backend
	// servers, with the time until which they are refused.
	PoisonedRequests map[string]time.Time
	// SuspectedRequests holds fingerprints of requests that ran on a backend server
	// when it died and are neither cleared nor convicted, with the time until
	// which that is believed.
	SuspectedRequests map[string]time.Time
	// Peers holds the other entry hosts by name.
	Peers map[string]Peer
	// Meters holds the figures of each backend server. The map is replaced
	// with the snapshot; the meters themselves live on.
	Meters map[string]*server.Meter
}

// Publisher publishes snapshots. Make one with New.
type Publisher struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	changed atomic.Pointer[chan struct{}]
}

// New returns a holder with an empty snapshot for the given entry host.
func New(self string, in domain.Name) *Publisher {
	h := &Publisher{}
	wake := make(chan struct{})
	h.changed.Store(&wake)
	h.current.Store(&Snapshot{
		Self:             self,
		Domain:           in,
		Hosts:            map[string]host.Host{},
		Cordoned:         map[string]Reason{},
		CordonedBy:       map[Reason]map[string]bool{},
		SuspectedServers: map[string]time.Time{},
		PoisonedRequests: map[string]time.Time{},
		Peers:            map[string]Peer{},
		Meters:           map[string]*server.Meter{},
	})
	return h
}

// Load returns the current snapshot. It is never nil.
func (h *Publisher) Load() *Snapshot {
	return h.current.Load()
}

// Update publishes a changed copy of the snapshot. The function gets a
// shallow copy: it replaces maps (see Edit), and never writes into a map that
// it found there, since readers may hold it.
func (h *Publisher) Update(change func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	next := *old
	change(&next)
	next.addMeters()
	if next.Config != old.Config || !same(next.Hosts, old.Hosts) || !same(next.Cordoned, old.Cordoned) {
		next.Epoch = old.Epoch + 1
	}
	h.current.Store(&next)
	wake := make(chan struct{})
	close(*h.changed.Swap(&wake))
}

// Changed returns a channel that is closed at the next change. Call it before
// Load to miss nothing.
func (h *Publisher) Changed() <-chan struct{} {
	return *h.changed.Load()
}

// addMeters gives each newly listed host a meter.
func (s *Snapshot) addMeters() {
	var grown map[string]*server.Meter
	for name := range s.Hosts {
		if s.Meters[name] != nil {
			continue
		}
		if grown == nil {
			grown = maps.Clone(s.Meters)
		}
		grown[name] = &server.Meter{}
	}
	if grown != nil {
		s.Meters = grown
	}
}

// Edit returns a copy of a map after a change, for use within Update.
func Edit[K comparable, V any](old map[K]V, change func(map[K]V)) map[K]V {
	next := maps.Clone(old)
	if next == nil {
		next = map[K]V{}
	}
	change(next)
	return next
}

// same reports whether two variables hold one and the same map.
func same[K comparable, V any](a, b map[K]V) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}
