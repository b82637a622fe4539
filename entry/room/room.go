// Package room observes whether the callers of a failure domain ask for more than the domain
// can serve on its own. Placement and chain choice take that into account while it is so.
package room

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/share"
)

const (
	// interval is the time between two observations. Demand is a mean over 2 s, and with
	// thousands of servers an observation takes some milliseconds.
	interval = 500 * time.Millisecond
	// enoughShare is the share of the standalone capacity below which the demand must fall
	// before the domain counts as sufficient again.
	enoughShare = 0.9
	// minDomains is the number of failure domains that hold all layers from which another
	// one can take over.
	minDomains = 2
)

// Watch observes the services. Set the exported fields before use. It is safe for concurrent
// use.
type Watch struct {
	State  *state.Local
	Shares *share.Tracker
	Load   *router.LoadTracker
	Log    *slog.Logger

	mu       sync.Mutex
	due      time.Time
	measured time.Time
	services map[string]*service
}

// service is the last observation of a service.
type service struct {
	short bool
	// shortfall is the demand of all domains beyond their standalone capacities.
	shortfall float64
	// utilization is that of the failure domains while the service is short, and else nil.
	utilization map[domain.Name]float64
}

// Sweep observes the services if it is due. Call it every 100 ms.
func (w *Watch) Sweep(now time.Time) {
	table := w.State.Table()
	if table == nil {
		return
	}
	view := w.State.View()
	w.measure(table, view, now)
	if !w.begin(now) {
		return
	}
	for name, s := range table.Services {
		if s.Engine != nil {
			w.observe(name, s.Engine, view.Service(name), now)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.services, func(name string, _ *service) bool { return table.Services[name].Engine == nil })
}

// begin reports whether an observation is due.
func (w *Watch) begin(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.due) {
		return false
	}
	w.due = now.Add(interval)
	return true
}

// observe compares the demand for a service with the standalone capacities.
func (w *Watch) observe(name string, e *route.Engine, servers []*fleet.Server, now time.Time) {
	demand := w.Shares.Demand(name, now)
	capacity := map[domain.Name]float64{}
	if len(demand) > 0 {
		capacity = place.Standalone(e, servers)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.services == nil {
		w.services = map[string]*service{}
	}
	s := w.services[name]
	if s == nil {
		s = &service{}
		w.services[name] = s
	}
	was := s.short
	worst := s.compare(demand, capacity)
	switch {
	case s.short && !was:
		w.Log.Info("room: demand exceeds capacity", "service", name, "domain", worst, "demand", int(demand[worst].Max), "capacity", int(capacity[worst]))
	case was && !s.short:
		w.Log.Info("room: capacity suffices", "service", name)
	}
}

// compare updates the observation, and returns the domain that lacks the most. Domains that
// lack layers are left out: nothing that they hold makes them serve on their own.
func (s *service) compare(demand map[domain.Name]share.Demand, capacity map[domain.Name]float64) (worst domain.Name) {
	s.shortfall = 0
	lacks, most := false, 0.0
	for _, name := range slices.Sorted(maps.Keys(capacity)) {
		lack := demand[name].Max - capacity[name]
		s.shortfall += max(0, lack)
		lacks = lacks || lack > 0 || s.short && demand[name].Max > enoughShare*capacity[name]
		if lack > most {
			worst, most = name, lack
		}
	}
	s.short = lacks && len(capacity) >= minDomains
	if !s.short {
		s.shortfall = 0
	}
	return worst
}

// Short reports whether the demand for a service in some failure domain exceeds what the
// domain can serve on its own, and there are several domains.
func (w *Watch) Short(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[name]
	return s != nil && s.short
}

// Shortfall returns the demand beyond the standalone capacities, in tokens per second, of all
// services that are short.
func (w *Watch) Shortfall() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0.0
	for _, s := range w.services {
		sum += s.shortfall
	}
	return sum
}
