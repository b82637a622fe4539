package stream

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/probe"
)

// Probe probes a server that seems to have failed. If the server does not answer, it
// is suspected, and probed again until it answers or its entry is gone.
func (m *Monitor) Probe(address, reason string) {
	m.probeServer(address, reason, link{})
}

// ProbeFor is like Probe for a server that failed while it ran a request, which is newer
// than any answer. mayBeCause says that the server got the request and had not begun to answer
// it: if the server crashed, that is recorded against the request.
func (m *Monitor) ProbeFor(job *call.Job, s *fleet.Server, mayBeCause bool, reason string) {
	m.probeFor(job, s, job.Sent, mayBeCause, reason)
}

// probeFor is ProbeFor for a request that was sent at the given time.
func (m *Monitor) probeFor(job *call.Job, s *fleet.Server, sent time.Time, mayBeCause bool, reason string) {
	m.recordFailedRequest(s, job, sent, mayBeCause)
	if m.claimProbe(s.Address) {
		go m.probeSuspect(s.ID, s.Address, reason, link{}, 0)
	}
}

// failedRequest is a request that failed on a server.
type failedRequest struct {
	job    *call.Job
	server *fleet.Server
	// mayBeCause says that the server got the request and had not begun to answer it.
	mayBeCause bool
	// sent is when the request was sent, and at when it failed.
	sent, at time.Time
}

// recordFailedRequest records a request that failed on a server until a probe shows
// whether the server crashed.
func (m *Monitor) recordFailedRequest(s *fleet.Server, job *call.Job, sent time.Time, mayBeCause bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failedRequests == nil {
		m.failedRequests = map[string][]failedRequest{}
	}
	m.failedRequests[s.ID] = append(m.failedRequests[s.ID], failedRequest{job, s, mayBeCause, sent, time.Now()})
	if mayBeCause {
		job.Unanswered.Add(1)
	}
}

// resolveFailedRequests removes the requests that failed on a server, once it is
// known whether the server crashed. A crash is recorded against those that may be the
// cause.
func (m *Monitor) resolveFailedRequests(id string, crashed bool, now time.Time) {
	m.mu.Lock()
	failed := m.failedRequests[id]
	delete(m.failedRequests, id)
	if crashed {
		failed = append(failed, m.unansweredStreams(id, now)...)
	}
	m.mu.Unlock()
	if !crashed || len(failed) == 0 {
		return
	}
	var requests []string
	var victims []poison.Victim
	others := 0
	for _, f := range failed {
		if !f.mayBeCause {
			others++
			continue
		}
		requests = append(requests, f.job.ID)
		victims = append(victims, poison.Victim{Causes: f.job.Causes, Sent: f.sent})
	}
	process := processID(failed[0].server)
	m.Log.Warn("crashes: server ended", "server", id, "process", process, "requests", requests, "others", others)
	m.Crashes.RecordCrash(process, victims, failed[0].at, now)
}

// HasEnded reports whether the process of a server has ended, by asking the server. A server that
// leaves may end after its last response.
func (m *Monitor) HasEnded(s *fleet.Server) bool {
	if current := m.State.View().ByAddress(s.Address); current != nil && current.ID == s.ID && current.Leaving {
		return false
	}
	for range probe.FailureThreshold {
		// The idle connections to a process end with it.
		m.DropConns(s.Address)
		report, err := m.probeOnce(s.Address, m.probeTimeout())
		if err == nil {
			return report.StartedAt.After(s.StartedAt) && s.StartedAt.Unix() > 0
		}
		if probeResult(err) == probe.Refused {
			return true
		}
		m.Log.Warn("servers: not known whether the process has ended", "server", s.ID, "address", s.Address, "error", err)
	}
	return false
}

// processID identifies the process of a server, also after it has restarted under its ID.
func processID(s *fleet.Server) string {
	return s.ID + "@" + strconv.FormatInt(s.StartedAt.UnixMilli(), 36)
}

// unansweredStreams returns the streams whose chains hold a server and which got no answer yet.
// The mutex is held.
func (m *Monitor) unansweredStreams(id string, now time.Time) (list []failedRequest) {
	for stream := range m.streams {
		if stream.answered.Load() {
			continue
		}
		for _, stage := range stream.currentChain() {
			if stage.Server.ID == id {
				list = append(list, failedRequest{stream.job, stage.Server, true, stream.startedAt, now})
			}
		}
	}
	return list
}

// probeServer starts to probe a server, unless the server has answered recently or is
// being probed already. via is the link over which another server of a chain waits
// for this one, if any. If the server answers this entry host and the link connects
// two failure domains, these are marked as unreachable from each other. Without the
// probe, a crash of the server would be taken for a broken link, and no chain could
// cross to the domain that holds the layers.
func (m *Monitor) probeServer(address, reason string, via link) {
	s := m.State.View().ByAddress(address)
	if s == nil {
		return
	}
	m.mu.Lock()
	healthy := time.Since(m.lastAnswer[address]) < healthyProbeInterval
	m.mu.Unlock()
	if !healthy && m.claimProbe(address) {
		go m.probeSuspect(s.ID, address, reason, via, 0)
	}
}

// claimProbe marks a server as being probed. It reports false if another goroutine
// probes the server already.
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

// suspect marks a server that did not answer probes as suspected, and probes it again
// until it answers or its entry is gone.
func (m *Monitor) suspect(address, reason string, err error) {
	s := m.State.View().ByAddress(address)
	if s == nil {
		return
	}
	m.markSuspected(s.ID, address, reason, err, time.Now())
	if m.claimProbe(address) {
		go m.probeSuspect(s.ID, address, reason, link{}, probe.FailureThreshold)
	}
}

// markSuspected marks a server that did not answer as suspected. It reports whether
// the entry of the server still exists.
func (m *Monitor) markSuspected(id, address, reason string, err error, now time.Time) bool {
	// A server behind a broken link does not answer either, but no request caused that.
	result := probeResult(err)
	exited := result == probe.Refused
	s := m.State.View().ByAddress(address)
	replaced := s != nil && s.ID != id
	m.setExited(id, exited || replaced, now)
	if exited || replaced {
		m.resolveFailedRequests(id, true, now)
	}
	if s == nil || replaced {
		return false
	}
	suspect := m.State.Suspect
	if result == probe.NoAnswer || result == probe.NoConnection && !m.State.SilenceLimit(id).IsZero() {
		// A paused process accepts nothing either once its kernel's queue of connections is full.
		suspect = m.State.SuspectSilent
	}
	if suspect(id, now.Add(state.SuspectFor), now) {
		m.Log.Warn("servers: suspected", "server", id, "address", address, "finding", result.State().String(), "why", reason, "error", err)
		m.Broadcast()
	}
	return true
}

// exitedTTL is how long it is remembered that a server has exited: longer than its entry
// exists.
const exitedTTL = time.Minute

// setExited records whether the last probe of a server shows that its process has ended.
func (m *Monitor) setExited(id string, exited bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.exited, func(_ string, at time.Time) bool { return now.Sub(at) > exitedTTL })
	if !exited {
		delete(m.exited, id)
		return
	}
	if m.exited == nil {
		m.exited = map[string]time.Time{}
	}
	m.exited[id] = now
}

// hasExited reports whether the process of a server is known to have ended.
func (m *Monitor) hasExited(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, exited := m.exited[id]
	return exited
}

// probeSuspect probes a server until it answers or its entry is gone. The timeout is
// short for the first probes, as many as must fail before the server is suspected:
// until then requests are sent to the server, and no other server loads its layers. misses is the
// number of probes that have failed already.
func (m *Monitor) probeSuspect(id, address, reason string, via link, misses int) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.probing, address)
		// Requests that failed since the result are not laid to a later crash.
		delete(m.failedRequests, id)
	}()
	for range maxSuspectProbes {
		if misses > 0 {
			// Only a new connection shows whether the server accepts connections.
			m.DropConns(address)
		}
		timeout := m.suspectTimeout(id)
		if misses < probe.FailureThreshold {
			timeout = m.probeTimeout()
		}
		report, err := m.probeOnce(address, timeout)
		now := time.Now()
		switch {
		case err == nil && m.restarted(address, report):
			m.setExited(id, true, now)
			m.resolveFailedRequests(id, true, now)
			m.handleReport(address, report)
			return
		case err == nil:
			if misses < probe.FailureThreshold && via.from != via.to {
				m.State.MarkUnreachable(via.from, via.to, now)
			}
			m.markHealthy(id, address, now)
			return
		}
		misses++
		if misses < probe.FailureThreshold && probeResult(err) != probe.Refused {
			continue
		}
		if !m.markSuspected(id, address, reason, err, now) {
			return
		}
		delay := m.probeInterval(address)
		if misses <= probe.FailureThreshold {
			m.evacuate(address, probeResult(err).State())
			delay = reprobeDelay
		}
		time.Sleep(delay)
	}
}

// suspectTimeout returns how long a suspected server may take to answer. A silent one is waited for
// on one connection: each further one would fill the queue of its kernel, which then accepts none.
func (m *Monitor) suspectTimeout(id string) time.Duration {
	if limit := m.State.SilenceLimit(id); !limit.IsZero() {
		return min(max(call.ReportTimeout, time.Until(limit)), remoteProbeInterval)
	}
	return call.ReportTimeout
}

// probeInterval returns the interval between probes of a suspected server. Every
// entry host probes the server, so one of another failure domain that serves none of
// the streams here is probed only as often as it takes to keep it suspected, and when it
// is decided whether it counts as lost after a silence.
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
	if limit := m.State.SilenceLimit(s.ID); !limit.IsZero() {
		return min(max(0, time.Until(limit)), remoteProbeInterval)
	}
	return remoteProbeInterval
}

// probeOnce sends one probe. A response without a report counts as an answer.
func (m *Monitor) probeOnce(address string, timeout time.Duration) (call.Report, error) {
	report, err := m.fetchReport(context.Background(), address, timeout)
	if isAlive(err) {
		return report, nil
	}
	return report, err
}

// restarted reports whether a report is of a process that has started at the address of
// another one.
func (m *Monitor) restarted(address string, report call.Report) bool {
	s := m.State.View().ByAddress(address)
	return s != nil && s.StartedAt.Unix() > 0 && report.StartedAt.After(s.StartedAt)
}

// markHealthy ends the suspicion of a server that answered.
func (m *Monitor) markHealthy(id, address string, now time.Time) {
	m.State.ClearSuspicion(id, now)
	m.setExited(id, false, now)
	m.resolveFailedRequests(id, false, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastAnswer == nil {
		m.lastAnswer = map[string]time.Time{}
	}
	m.lastAnswer[address] = now
}

// probeResult returns the result of a probe that ended with the given error.
func probeResult(err error) probe.Result {
	var silent *conns.NoAnswerError
	switch {
	case isAlive(err):
		return probe.Answered
	case errors.Is(err, dialer.ErrExited):
		return probe.Refused
	case errors.As(err, &silent) && silent.NewConn:
		return probe.NoAnswer
	}
	return probe.NoConnection
}

// isAlive reports whether a server answered a request for its report. Plain servers
// answer that they have none.
func isAlive(err error) bool {
	var noReport *call.NoReportError
	return err == nil || errors.As(err, &noReport)
}
