package stream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/probe"
)

// Probe checks a server that seems to have failed by a request for its report. One
// that does not answer is suspected, and checked again until it answers or its entry
// is gone.
func (m *Monitor) Probe(address, reason string) {
	m.probeServer(address, reason, link{})
}

// ProbeFor does so for a server that failed while it ran a request. If it
// died, that is noted against the request.
func (m *Monitor) ProbeFor(job *call.Job, address, reason string) {
	s := m.State.View().ByAddress(address)
	if s == nil {
		return
	}
	m.mu.Lock()
	if m.failedRequests == nil {
		m.failedRequests = map[string]map[poison.Fingerprint]bool{}
	}
	if m.failedRequests[s.ID] == nil {
		m.failedRequests[s.ID] = map[poison.Fingerprint]bool{}
	}
	m.failedRequests[s.ID][job.Fingerprint] = true
	m.mu.Unlock()
	m.probeServer(address, reason, link{})
}

// resolveFailures ends the case of an accused server. If it died, that is noted against
// all requests that it failed under.
func (m *Monitor) resolveFailures(id string, died bool, now time.Time) {
	m.mu.Lock()
	fingerprints := m.failedRequests[id]
	delete(m.failedRequests, id)
	m.mu.Unlock()
	if !died {
		return
	}
	for fingerprint := range fingerprints {
		m.Crashes.RecordCrash(fingerprint, id, now)
	}
}

// probeServer does so for a server that another one waits for. If it answers here,
// and the two are in different failure domains, these are cut off from each
// other. Without the question a plain crash would look the same, and no chain
// could cross to where its layers are held.
func (m *Monitor) probeServer(address, reason string, via link) {
	s := m.State.View().ByAddress(address)
	if s == nil {
		return
	}
	m.mu.Lock()
	healthy := time.Since(m.lastAnswer[address]) < healthyProbeInterval
	m.mu.Unlock()
	if !healthy && m.claimProbe(address) {
		go m.probeSuspect(s.ID, address, reason, via)
	}
}

// claimProbe reports whether the caller is to check an accused server. Each is checked by
// one goroutine at a time.
func (m *Monitor) claimProbe(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probing == nil {
		m.probing = map[string]bool{}
	}
	if m.probing[address] {
		return false
	}
	m.probing[address] = true
	return true
}

// suspect avoids a server that has left questions unanswered, and asks it
// again until it answers or its entry is gone.
func (m *Monitor) suspect(address, reason string, err error) {
	s := m.State.View().ByAddress(address)
	if s == nil {
		return
	}
	m.markSuspected(s.ID, address, reason, err, time.Now())
	if m.claimProbe(address) {
		go m.probeSuspect(s.ID, address, reason, link{})
	}
}

// markSuspected notes that a server did not answer. It reports whether its entry is
// still there.
func (m *Monitor) markSuspected(id, address, reason string, err error, now time.Time) bool {
	// Only a process that is gone refuses connections at once. One behind a
	// cut link does not answer either, and no request is to blame.
	m.resolveFailures(id, probeOutcome(err) == probe.Gone, now)
	if s := m.State.View().ByAddress(address); s == nil || s.ID != id {
		return false
	}
	if m.State.Suspect(id, now.Add(state.SuspectFor), now) {
		m.Log.Warn("servers: suspected", "server", id, "address", address, "why", reason, "error", err)
		m.Broadcast()
	}
	return true
}

// probeSuspect polls an accused server until it answers or its entry is gone. The first
// probes, as many as mean that it is dead, have a short timeout: until a death is
// known, requests go to the server, and its layers are not loaded elsewhere.
func (m *Monitor) probeSuspect(id, address, reason string, via link) {
	defer func() {
		m.mu.Lock()
		delete(m.probing, address)
		m.mu.Unlock()
	}()
	misses := 0
	for range maxSuspectProbes {
		timeout := call.ReportTimeout
		if misses < probe.FailureThreshold {
			timeout = m.probeTimeout()
		}
		err := m.probeOnce(address, timeout)
		now := time.Now()
		switch {
		case errors.Is(err, errHostDelayed):
			time.Sleep(reprobeDelay)
			continue
		case err == nil:
			if misses < probe.FailureThreshold && via.from != via.to {
				m.State.MarkUnreachable(via.from, via.to, now)
			}
			m.markHealthy(id, address, now)
			return
		}
		misses++
		if misses < probe.FailureThreshold && probeOutcome(err) != probe.Gone {
			continue
		}
		if !m.markSuspected(id, address, reason, err, now) {
			return
		}
		delay := m.probeInterval(address)
		if misses <= probe.FailureThreshold {
			m.evacuate(address, probeOutcome(err))
			delay = reprobeDelay
		}
		time.Sleep(delay)
	}
}

// probeInterval returns how often a suspected server is asked again. Every entry
// host asks for itself, so servers of other failure domains that serve none of
// its streams are asked only as often as keeps them suspected.
func (m *Monitor) probeInterval(address string) time.Duration {
	s := m.State.View().ByAddress(address)
	if s == nil || s.Domain == m.LocalDomain {
		return suspectProbeInterval
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for stream := range m.streams {
		if stream.uses(address) {
			return suspectProbeInterval
		}
	}
	return remoteProbeInterval
}

// probeOnce asks a server for its report. An answer that it has none is one.
func (m *Monitor) probeOnce(address string, timeout time.Duration) error {
	if _, err := m.fetchReport(context.Background(), address, timeout); !isAlive(err) {
		return err
	}
	return nil
}

// markHealthy ends the suspicion against a server.
func (m *Monitor) markHealthy(id, address string, now time.Time) {
	m.State.ClearSuspicion(id, now)
	m.resolveFailures(id, false, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastAnswer == nil {
		m.lastAnswer = map[string]time.Time{}
	}
	m.lastAnswer[address] = now
}

// findingOf returns what follows for streams from a server's failure to answer.
func probeOutcome(err error) probe.State {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return probe.Gone
	}
	return probe.Unreachable
}

// isAlive reports whether a server answered a request for its report. Plain servers
// answer that they have none.
func isAlive(err error) bool {
	var noReport *call.NoReportError
	return err == nil || errors.As(err, &noReport)
}
