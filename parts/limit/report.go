package limit

import "time"

// Report is what an entry host knows of the rate limit of a server. The names of its
// fields are part of the encoding of messages.
type Report struct {
	Limited bool
	// Rate is the limit in requests per second.
	Rate float64
	// Age is the time since Limited and Rate were known.
	Age time.Duration
	// Demands holds the demands for the server by host.
	Demands map[string]Demand
}

// Demand is the demand of an entry host for a server, in requests per second, and its
// age.
type Demand struct {
	Rate float64
	Age  time.Duration
}

// Reports returns what is known of each server that names a rate, or did so lately, to
// be sent to other entry hosts.
func (t *Tracker) Reports(now time.Time) map[string]Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports map[string]Report
	for id, s := range t.servers {
		if s.observedAt.IsZero() {
			continue
		}
		if reports == nil {
			reports = map[string]Report{}
		}
		r := Report{Limited: s.limited, Rate: s.rate, Age: now.Sub(s.observedAt)}
		if s.limited {
			r.Demands = map[string]Demand{t.Self: {Rate: s.own.rate()}}
			for host, d := range s.demands {
				r.Demands[host] = Demand{Rate: d.rate, Age: now.Sub(d.at)}
			}
		}
		reports[id] = r
	}
	return reports
}

// Merge applies the reports of another entry host. It reports whether a server was not
// known to name its rate, or not known to have ended its limit.
func (t *Tracker) Merge(reports map[string]Report, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range reports {
		at := now.Add(-max(0, r.Age))
		s := t.servers[id]
		if s == nil && !r.Limited {
			continue
		}
		s = t.server(id)
		if at.Sub(s.observedAt) > transitTolerance {
			changed = s.limited != r.Limited || r.Limited && s.rate != r.Rate || changed
			t.apply(id, s, r, at)
		}
		t.mergeDemands(s, r.Demands, now)
		if s.limited {
			s.refill(now)
			t.updateShare(s)
		}
	}
	return changed
}

// apply replaces what is known of a server's limit by a newer report. The mutex is
// held.
func (t *Tracker) apply(id string, s *server, r Report, at time.Time) {
	switch {
	case r.Limited:
		t.begin(id, s, r.Rate, at)
	case s.limited:
		t.end(id, s, at)
	default:
		s.observedAt = at
	}
}

// mergeDemands replaces the demands of hosts by newer ones, and drops old ones. The
// mutex is held.
func (t *Tracker) mergeDemands(s *server, demands map[string]Demand, now time.Time) {
	for host, d := range demands {
		at := now.Add(-max(0, d.Age))
		known, reported := s.demands[host]
		if host == t.Self || reported && !at.After(known.at) {
			continue
		}
		if s.demands == nil {
			s.demands = map[string]demand{}
		}
		s.demands[host] = demand{rate: d.Rate, at: at}
	}
	for host, d := range s.demands {
		if now.Sub(d.at) > demandTTL {
			delete(s.demands, host)
		}
	}
}

// demandTTL is how long a reported demand counts. It is longer than an entry host that
// sends no messages is listed.
const demandTTL = 20 * time.Second
