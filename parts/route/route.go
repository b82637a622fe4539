// Package route matches requests to the configuration: which route applies to a
// request, which service it goes to, and which team its key belongs to.
//
// A [Table] is one accepted configuration. It is built once, never changed
// afterwards, and replaced as a whole, so a request sees a single version of
// all of it.
package route

import (
	"slices"
	"strings"
	"time"
)

// Kind says how often the requests of a route may run, and how they are
// answered.
type Kind uint8

// The kinds of routes.
const (
	// AtMostOnce requests run at most once each time that the caller sends them.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case AtMostOnce:
		return "once"
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Share is a service's share of the requests of a route.
type Share struct {
	Service string
	// Weight is relative to the sum of all weights of the route.
	Weight int
}

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the longest time that a request may be kept waiting; zero
	// means that only the caller's deadline applies.
	Timeout time.Duration
	// Target is the target for the time to the response, or to its first event.
	Target time.Duration
	// MaxGap is the longest gap between two events that counts as on time.
	MaxGap time.Duration
	// CallerTimeout is the gap after which callers abandon a stream; zero means
	// unknown.
	CallerTimeout time.Duration
	// Attempts is the maximum number of backend servers that a request is sent
	// to.
	Attempts int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Public requests need no key.
	Public bool
	// Resumable streams may continue on another backend server.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PriorityFor returns the priority of a team's requests of the route; team is nil for a
// request without a key. A priority out of range counts as the lowest.
func (r *Route) PriorityFor(team *Team) int {
	priority := r.Priority
	if team != nil && team.Priority != RoutePriority {
		priority = team.Priority
	}
	if !ValidPriority(priority) {
		return LowestPriority
	}
	return priority
}

// ServiceFor returns the service whose share contains draw, a random number
// with uniform distribution over [0, 1).
func (r *Route) ServiceFor(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Team is a team with its keys and its priority.
type Team struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route, unless it is RoutePriority.
	Priority int
}

const (
	// RoutePriority is the Priority of a team whose requests have that of their route.
	RoutePriority = -1
	// LowestPriority is the priority of the least urgent requests.
	LowestPriority = 9
)

// Limits bounds what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request's header and body.
	HeaderBytes, BodyBytes int
	// HeaderTime bounds the time that a caller takes to send a header, and Idle
	// the time that it may leave a connection unused.
	HeaderTime, Idle time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Teams    []Team
	Limits   Limits
	// Replaced describes the invalid values of the configuration that were replaced by
	// defaults.
	Replaced []string

	byHost map[string][]*Route
	byKey  map[string]*Team
}

// Index builds the lookup tables. It must be called once, before the table is
// shared.
func (t *Table) Index() {
	t.byHost = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.byKey = map[string]*Team{}
	for i := range t.Teams {
		for _, key := range t.Teams[i].Keys {
			t.byKey[key] = &t.Teams[i]
		}
	}
	t.indexServices()
}

// indexServices sets what the services need to know of the routes and the teams.
func (t *Table) indexServices() {
	ranks := map[string]int{}
	for i := range t.Routes {
		r := &t.Routes[i]
		lowest := t.lowestPriority(r)
		for _, share := range r.Shares {
			s, known := t.Services[share.Service]
			if !known {
				continue
			}
			s.addRoute(r, lowest)
			rank, routed := ranks[s.Name]
			s.DistinctClasses = s.DistinctClasses || len(t.Teams) > 0 || routed && rank != lowest
			ranks[s.Name] = lowest
			t.Services[share.Service] = s
		}
	}
}

// lowestPriority returns the priority of the least urgent requests of a route.
func (t *Table) lowestPriority(r *Route) int {
	if !t.NeedsKey(r) {
		return r.PriorityFor(nil)
	}
	lowest := 0
	for i := range t.Teams {
		lowest = max(lowest, r.PriorityFor(&t.Teams[i]))
	}
	return lowest
}

// Match returns the route of the host with the longest prefix of the path, or
// nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, known := t.byHost[host]
	if !known {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.byHost[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds the key, or nil.
func (t *Table) Team(key string) *Team {
	return t.byKey[key]
}

// ValidPriority reports whether a priority is in range.
func ValidPriority(priority int) bool {
	return priority >= 0 && priority <= LowestPriority
}

// NeedsKey reports whether requests of the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool {
	return len(t.Teams) > 0 && !r.Public
}
