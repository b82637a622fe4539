// Package view combines all that an entry host knows about configuration,
// hosts, teams and peers into one immutable [Snapshot].
//
// The request path loads the current snapshot once per request from an atomic
// pointer and uses only that one (read-copy-update). Writers modify a copy
// under a lock and publish it, so a request never sees a partial change.
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

// Reason says why a backend server gets no new work. It also identifies the
// source that cordoned the server.
type Reason string

const (
	// HostLeaving means that the host list shows the host as leaving.
	HostLeaving Reason = "host-leaving"
	// Stopping means that a stop planned by the operators has begun.
	Stopping Reason = "stopping"
	// Refusing means that the server has answered a request with a refusal
	// because it is leaving.
	Refusing Reason = "refusing"
	// PeerReported means that another entry host has reported the server as
	// leaving.
	PeerReported Reason = "peer-word"
)

// Peer is another entry host as this one sees it.
type Peer struct {
	// Name is the name of the entry host.
	Name string
	// Address is the host:port on which it listens for peers.
	Address string
	// Domain is its failure domain.
	Domain domain.Name
	// Incarnation distinguishes the runs of the entry host's process.
	Incarnation uint64
	// Revision is the revision of the configuration in force on it.
	Revision uint64
	// Alive reports whether it has recently exchanged digests with this entry
	// host or another peer.
	Alive bool
	// Left reports whether it announced that it leaves.
	Left bool
}

// Snapshot is the state that an entry host knows at one moment. It is read-only.
type Snapshot struct {
	// Self is the name of this entry host.
	Self string
	// Domain is the failure domain of this entry host.
	Domain domain.Name
	// Config is the configuration in force; nil before the first one.
	Config *conf.Config
	// Teams is the directory of teams; nil before the first one.
	Teams *team.Directory
	// Hosts is the host list by name.
	Hosts map[string]host.Host
	// HostsRevision is the revision of the host list.
	HostsRevision uint64
	// Cordoned holds the backend servers that get no new work: the union of
	// CordonedBy over all sources.
	Cordoned map[string]Reason
	// CordonedBy holds the cordoned servers by source. Only SetCordoned, Cordon
	// and Uncordon may change it; they keep Cordoned consistent.
	CordonedBy map[Reason]map[string]bool
	// Epoch increases whenever Config, Hosts or Cordoned is replaced, so that
	// values derived from them can be cached until then.
	Epoch uint64
	// SuspectedServers holds backend servers that have recently failed, with the
	// time until which they are avoided.
	SuspectedServers map[string]time.Time
	// PoisonedRequests holds the fingerprints of requests known to crash backend
	// servers, with the time until which they are refused.
	PoisonedRequests map[string]time.Time
	// SuspectedRequests holds the fingerprints of requests that were running on a
	// backend server when it crashed and are neither cleared nor convicted, with
	// the time at which the suspicion expires.
	SuspectedRequests map[string]time.Time
	// Peers holds the other entry hosts by name.
	Peers map[string]Peer
	// Meters holds the metrics of each backend server. The map may be replaced
	// with the snapshot; the meters carry over.
	Meters map[string]*server.Meter
}

// Publisher holds the current snapshot and publishes new ones. Use New to
// create one.
type Publisher struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	changed atomic.Pointer[chan struct{}]
}

// New returns a publisher with an empty snapshot for the given entry host.
func New(self string, dom domain.Name) *Publisher {
	p := &Publisher{}
	changed := make(chan struct{})
	p.changed.Store(&changed)
	p.current.Store(&Snapshot{
		Self:             self,
		Domain:           dom,
		Hosts:            map[string]host.Host{},
		Cordoned:         map[string]Reason{},
		CordonedBy:       map[Reason]map[string]bool{},
		SuspectedServers: map[string]time.Time{},
		PoisonedRequests: map[string]time.Time{},
		Peers:            map[string]Peer{},
		Meters:           map[string]*server.Meter{},
	})
	return p
}

// Load returns the current snapshot. It is never nil.
func (p *Publisher) Load() *Snapshot {
	return p.current.Load()
}

// Update publishes a modified copy of the snapshot. The function gets a shallow
// copy: it must replace maps (see Edit) and never modify one in place, since
// readers may be using it.
func (p *Publisher) Update(change func(*Snapshot)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	next := *old
	change(&next)
	next.addMeters()
	if next.Config != old.Config || !sameMap(next.Hosts, old.Hosts) || !sameMap(next.Cordoned, old.Cordoned) {
		next.Epoch = old.Epoch + 1
	}
	p.current.Store(&next)
	changed := make(chan struct{})
	close(*p.changed.Swap(&changed))
}

// Changed returns a channel that is closed at the next update. Call it before
// Load so as not to miss one.
func (p *Publisher) Changed() <-chan struct{} {
	return *p.changed.Load()
}

// addMeters adds a meter for each newly listed host.
func (s *Snapshot) addMeters() {
	var meters map[string]*server.Meter
	for name := range s.Hosts {
		if s.Meters[name] != nil {
			continue
		}
		if meters == nil {
			meters = maps.Clone(s.Meters)
		}
		meters[name] = &server.Meter{}
	}
	if meters != nil {
		s.Meters = meters
	}
}

// Edit returns a modified copy of a map, for use within Update.
func Edit[K comparable, V any](old map[K]V, change func(map[K]V)) map[K]V {
	next := maps.Clone(old)
	if next == nil {
		next = map[K]V{}
	}
	change(next)
	return next
}

// sameMap reports whether a and b are the same map, not just equal ones.
func sameMap[K comparable, V any](a, b map[K]V) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}
