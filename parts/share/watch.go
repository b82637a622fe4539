package share

import (
	"math"
	"time"
)

// Watch makes messages hold the demand for a service for two seconds, also while none of its
// requests waits.
func (t *Tracker) Watch(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.watched == nil {
		t.watched = map[string]time.Time{}
	}
	t.watched[service] = now
}

// unwatch drops the services that are not watched any more. The mutex is held.
func (t *Tracker) unwatch(now time.Time) {
	for service, at := range t.watched {
		if now.Sub(at) >= contendedFor {
			delete(t.watched, service)
		}
	}
}

// HostDemand is the demand of another entry host.
type HostDemand struct {
	// Demand is the work begun or refused per second.
	Demand float64
	// Hosts is the number of entry hosts that the host stands for: messages are heard from a
	// sample of them.
	Hosts float64
}

// Demand returns the demand for a service at this entry host, and at those of the others that have
// any: the work begun or refused per second. Age is that of the latest report of another host.
func (t *Tracker) Demand(service string, now time.Time) (own float64, others []HostDemand, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	age = math.MaxInt64
	for _, r := range t.reports {
		age = min(age, max(0, now.Sub(r.received)))
		h := HostDemand{Hosts: t.factors[r.domain]}
		for _, row := range r.rows {
			if row.class.Service == service {
				h.Demand += row.served + row.Refused
			}
		}
		if h.Demand > 0 && h.Hosts > 0 {
			others = append(others, h)
		}
	}
	if s := t.services[service]; s != nil {
		for _, c := range s.classes {
			v := c.own(now)
			own += v.served + v.Refused
		}
	}
	return own, others, age
}
