package subset

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

const (
	// resizeInterval is the interval at which subsets follow the rate of requests. Changes
	// of hosts and servers are followed at each update.
	resizeInterval = time.Second
	// logInterval is the shortest interval between two log lines about a service. Near the
	// rate at which its subset becomes all servers it changes with each resize.
	logInterval = 10 * time.Second
)

// Tracker holds the subsets of one entry host. Set the exported fields before use. It is
// safe for concurrent use.
type Tracker struct {
	Self Host
	// Hosts returns the entry hosts that are not leaving, with or without this one, in a
	// fixed order.
	Hosts func() []Host
	// View returns the known servers, and Engine the engine of a service, which is nil for
	// a plain one. A service that is not known has no subset.
	View   func() *fleet.View
	Engine func(service string) (e *route.Engine, known bool)
	// IdleTime returns how long an idle connection to a server may be reused.
	IdleTime func() time.Duration
	Log      *slog.Logger

	current atomic.Pointer[current]
	beyond  atomic.Int64

	ratesMu sync.Mutex
	rates   map[string]*rate

	// updateMu is held during an update, and guards what follows.
	updateMu sync.Mutex
	hosts    []Host
	view     *fleet.View
	resized  time.Time
	// candidates holds the candidates of each service that its subset was computed from.
	candidates map[string][]Server
	logged     map[string]logged
}

// current holds the subsets in use. It is immutable.
type current struct {
	// sets holds the subsets of the services that do not use all servers.
	sets map[string]*Set
	// servers is the number of servers in the subsets of all services.
	servers int
	// large says that the deployment is so large that subsets may be used.
	large bool
}

// logged is what was last logged of a service.
type logged struct {
	active bool
	at     time.Time
}

// Set returns the subset of a service.
func (t *Tracker) Set(service string) *Set {
	if c := t.current.Load(); c != nil {
		return c.sets[service]
	}
	return nil
}

// Large reports whether the deployment is so large that subsets may be used.
func (t *Tracker) Large() bool {
	c := t.current.Load()
	return c != nil && c.large
}

// Servers returns the number of servers in the subsets of all services. A service without
// a subset counts with all servers to which the host connects.
func (t *Tracker) Servers() int {
	if c := t.current.Load(); c != nil {
		return c.servers
	}
	return 0
}

// Beyond returns the number of requests that were sent to servers outside the subset.
func (t *Tracker) Beyond() int64 { return t.beyond.Load() }

// Record records that a request of a caller is sent to a server.
func (t *Tracker) Record(s *fleet.Server, now time.Time) {
	if !t.Set(s.Service).Has(s.ID) {
		t.beyond.Add(1)
	}
	t.ratesMu.Lock()
	defer t.ratesMu.Unlock()
	if t.rates == nil {
		t.rates = map[string]*rate{}
	}
	if t.rates[s.Service] == nil {
		t.rates[s.Service] = &rate{}
	}
	t.rates[s.Service].add(now)
}

// requests returns the number of requests that the host sends to each service within the
// idle time of a connection.
func (t *Tracker) requests(now time.Time) map[string]float64 {
	idle := t.IdleTime().Seconds()
	t.ratesMu.Lock()
	defer t.ratesMu.Unlock()
	requests := make(map[string]float64, len(t.rates))
	for service, r := range t.rates {
		requests[service] = r.at(now) * idle
	}
	return requests
}

// Update recomputes the subsets if hosts or servers have changed, or if it is time to
// follow the rates of requests. It is to be called ten times a second.
func (t *Tracker) Update(now time.Time) {
	hosts, view := t.Hosts(), t.View()
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	compute := now.Sub(t.resized) >= resizeInterval || !slices.Equal(hosts, t.hosts)
	if view == t.view && !compute {
		return
	}
	if compute {
		t.resized = now
	}
	t.hosts, t.view = hosts, view
	old := t.candidates
	t.candidates = map[string][]Server{}
	c := &current{sets: map[string]*Set{}}
	requests := t.requests(now)
	local := newOrder(t.Self, hosts).hosts()
	for first := 0; first < len(view.Servers); {
		service := view.Servers[first].Service
		servers := view.Service(service)
		first += len(servers)
		e, known := t.Engine(service)
		if !known {
			continue
		}
		candidates := Candidates(e, t.Self.Domain, servers)
		t.candidates[service] = candidates
		c.large = c.large || Large(local, len(candidates))
		set := t.Set(service)
		if compute || !slices.Equal(candidates, old[service]) {
			set = Of(t.Self, hosts, candidates, requests[service])
		}
		size := len(candidates)
		if set != nil {
			c.sets[service] = set
			size = set.Size()
		}
		c.servers += size
		t.log(service, set != nil, size, len(candidates), requests[service], now)
	}
	t.current.Store(c)
	t.forget(view)
}

// log logs that a service begins or ceases to use a subset.
func (t *Tracker) log(service string, active bool, size, candidates int, requests float64, now time.Time) {
	last := t.logged[service]
	if active == last.active || now.Sub(last.at) < logInterval {
		return
	}
	if t.logged == nil {
		t.logged = map[string]logged{}
	}
	t.logged[service] = logged{active: active, at: now}
	attrs := []any{"service", service, "servers", size, "candidates", candidates, "requests", requests}
	if active {
		t.Log.Info("subset: in use", attrs...)
		return
	}
	t.Log.Info("subset: all servers in use", attrs...)
}

// forget drops what is known of services without servers.
func (t *Tracker) forget(view *fleet.View) {
	t.ratesMu.Lock()
	defer t.ratesMu.Unlock()
	maps.DeleteFunc(t.rates, func(service string, _ *rate) bool { return len(view.Service(service)) == 0 })
	maps.DeleteFunc(t.logged, func(service string, _ logged) bool { return len(view.Service(service)) == 0 })
}
