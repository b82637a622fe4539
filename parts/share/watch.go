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

// Demand returns the demand for a service at this entry host and at all of them as of the last
// sweep: the work begun or refused per second. Age is that of the latest report of another host.
func (t *Tracker) Demand(service string, now time.Time) (own, total float64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	age = math.MaxInt64
	for _, r := range t.reports {
		age = min(age, max(0, now.Sub(r.received)))
	}
	s := t.services[service]
	if s == nil {
		return 0, 0, age
	}
	remote := 0.0
	for _, c := range s.classes {
		v := c.own(now)
		own += v.served + v.Refused
		remote += c.remote.served + c.remote.Refused
	}
	return own, own + remote, age
}
