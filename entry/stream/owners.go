package stream

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/owner"
	"fuchsiashelf.dev/parts/probe"
)

const (
	// suspectSweepInterval is the interval between two checks of the servers for which this host
	// relies on others, and of the time until the next probe.
	suspectSweepInterval = 50 * time.Millisecond
	// needFor is how long a service counts as lacking capacity or layers after a request did.
	needFor = time.Second
)

// RecordNeed records that a request of a service lacks capacity or layers. This host then probes
// the suspected servers of the service itself unless owners have just done so, so as to learn at
// once that they are back.
func (m *Monitor) RecordNeed(service string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.needs == nil {
		m.needs = map[string]time.Time{}
	}
	if now.Sub(m.needs[service]) >= needFor {
		m.lastSuspectSweep = time.Time{}
	}
	m.needs[service] = now
}

// needed reports whether requests of a service lacked capacity or layers lately.
func (m *Monitor) needed(service string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.needs[service]) < needFor
}

// decide returns what this host does about a suspected server, if probes follow each other after
// the given interval.
func (m *Monitor) decide(s *fleet.Server, interval time.Duration, now time.Time) owner.Decision {
	return m.Owners.Decide(s.ID, m.hasStream(s.Address) || m.mayHaveCrashed(s.ID), m.needed(s.Service, now), interval, now)
}

// mayHaveCrashed reports whether a request failed on a server that may have crashed it. Only the
// probes of this host show that against the request, which may be as late as the server's restart.
func (m *Monitor) mayHaveCrashed(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.failedRequests[id], func(f failedRequest) bool { return f.mayBeCause })
}

// awaitProbe waits until the next probe of a suspected server is due. It reports false if there is
// none: the host relies on owners, or the suspicion has ended.
func (m *Monitor) awaitProbe(id, address string, delay time.Duration) bool {
	for {
		s := m.State.View().ByAddress(address)
		if s == nil || s.ID != id {
			// The next probe finds out what became of the server.
			time.Sleep(delay)
			return true
		}
		d := m.decide(s, delay, time.Now())
		if d.Action != owner.Probe {
			// A server that has answered an owner may be a new process.
			return m.mayHaveCrashed(id)
		}
		if d.After <= 0 {
			return true
		}
		time.Sleep(min(d.After, suspectSweepInterval))
	}
}

// sweepSuspects starts to probe the servers for which this host relied on owners, or waited for
// them, and does no longer.
func (m *Monitor) sweepSuspects(now time.Time) {
	m.mu.Lock()
	due := now.Sub(m.lastSuspectSweep) >= suspectSweepInterval
	if due {
		m.lastSuspectSweep = now
	}
	m.mu.Unlock()
	if !due {
		return
	}
	m.Owners.Sweep(now)
	view := m.State.View()
	for _, id := range m.Owners.Known() {
		if s := view.ByID(id); s != nil {
			m.probeIfDue(s, "suspected before or by another entry host", now)
		}
	}
}

// probeIfDue starts to probe a server if that is due now.
func (m *Monitor) probeIfDue(s *fleet.Server, reason string, now time.Time) {
	if d := m.decide(s, m.probeInterval(s.Address), now); d.Action != owner.Probe || d.After > 0 {
		return
	}
	misses := 0
	if s.Suspected && !m.hasStream(s.Address) {
		// One probe is enough to renew the suspicion.
		misses = probe.FailureThreshold
	}
	m.startProbes(s, reason, link{}, misses)
}

// TakeResult takes the result of another host's probe of a server, which was not answered.
func (m *Monitor) TakeResult(r owner.Result) {
	s := m.State.View().ByID(r.Server)
	if s == nil {
		return
	}
	if r.At.Before(s.StartedAt) {
		// The result may be that of the process before.
		r.By = ""
	}
	now := time.Now()
	reason := func() bool { return m.hasStream(s.Address) }
	switch m.Owners.Take(r, owner.Local{Reason: reason, Suspected: s.Suspected}, now) {
	case owner.Hint:
		if !s.Suspected {
			m.probeIfDue(s, "suspected by another entry host", now)
		}
	case owner.Accepted, owner.Renewed:
		if m.State.Suspect(s.ID, r.At.Add(owner.ResultFor), now) {
			m.logResult(s, r, "suspected", now)
			m.forward()
		}
	case owner.Ignored:
	}
}

// TakeAnswer takes the news that a server has answered another host.
func (m *Monitor) TakeAnswer(r owner.Result) {
	s := m.State.View().ByID(r.Server)
	now := time.Now()
	if s == nil || m.Owners.TakeAnswer(r, now) != owner.Accepted {
		return
	}
	m.setExited(s.ID, false, now)
	m.State.ClearSuspicion(s.ID, now)
	m.logResult(s, r, "alive", now)
	m.forward()
}

func (m *Monitor) forward() {
	if m.Forward == nil {
		m.Broadcast()
		return
	}
	m.Forward()
}

// logResult logs that a suspicion starts or ends because of a result of another host.
func (m *Monitor) logResult(s *fleet.Server, r owner.Result, finding string, now time.Time) {
	m.Log.Info("owner: relied on result", "server", s.ID, "address", s.Address, "finding", finding, "by", r.By, "age", now.Sub(r.At), "exited", r.Exited)
}

// reportSuspicion sends a new suspicion to other entry hosts.
func (m *Monitor) reportSuspicion(id string) {
	if m.ReportSuspicion == nil {
		m.Broadcast()
		return
	}
	m.ReportSuspicion(id)
}
