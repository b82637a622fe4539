package relay

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/stall"
)

// errSilent cancels an attempt whose chain has sent nothing for too long.
var errSilent = errors.New("relay: the chain is silent")

// monitor cancels one attempt if its chain stays silent for too long. The stream
// only stores the time of its last token, and a timer checks it periodically, so
// that tokens do not reset the timer.
type monitor struct {
	forwarder *Forwarder
	stages    []engine.Stage
	hops      []pick.Hop
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	// started is the start of the attempt, and lastToken how long this process ran from
	// then to the last token, in nanoseconds, or paused.
	started   stall.Mark
	lastToken atomic.Int64
	// probeAt and failAt are the timeouts of the next token, in nanoseconds since
	// the last one. Reading one before and the other after an update is harmless.
	probeAt, failAt atomic.Int64
	stopped         atomic.Bool
	// mu is held while the chain is checked.
	mu sync.Mutex
	// probes are the probes of the chain's servers since it became late, nil if
	// there are none.
	probes atomic.Pointer[[]*probe]
	// hasAlternative reports whether another chain avoids the given servers.
	hasAlternative func(servers []string) bool
	// maxSilence is how long a chain without an alternative may be silent.
	maxSilence time.Duration
	// exhausted is set if the chain was silent for that long.
	exhausted atomic.Bool
	// gaps are the gaps between the chain's tokens. Only the stream uses them.
	gaps retry.Gaps
}

// paused is the value of lastToken while a token is written to the caller: a time
// in the far future.
const paused = math.MaxInt64 / 2

// startMonitor starts a monitor of an attempt.
func (d *delivery) startMonitor(cancel context.CancelCauseFunc) *monitor {
	timeouts := d.firstTokenTimeouts()
	m := &monitor{
		forwarder: d.Forwarder, stages: d.stages, hops: d.hops, cancel: cancel,
		started: d.startedAt, gaps: d.pool.baseline.Gaps(), hasAlternative: d.alternatives(),
	}
	m.maxSilence = time.Duration(retry.MaxAttempts-d.attemptNumber+1) * (timeouts.Probe + retry.ProbeTimeout)
	m.setTimeouts(timeouts)
	// The timer starts only after the field is set, because check uses it.
	m.timer = time.AfterFunc(math.MaxInt64, m.check)
	m.timer.Reset(timeouts.Probe)
	return m
}

// recordToken records that a token was received and forwarded to the caller.
func (m *monitor) recordToken() {
	m.setTimeouts(m.gaps.Timeouts())
	m.lastToken.Store(int64(m.forwarder.Clock.Since(m.started)))
}

func (m *monitor) setTimeouts(t retry.Timeouts) {
	m.probeAt.Store(int64(t.Probe))
	m.failAt.Store(int64(t.Failure))
}

// pause suspends the timeouts while a token is written to the caller.
func (m *monitor) pause() {
	m.lastToken.Store(paused)
}

// stop ends the monitoring.
func (m *monitor) stop() {
	m.stopped.Store(true)
	m.timer.Stop()
}

// check runs when the timer fires or a probe ends. It probes the servers of a chain
// that is late, cancels the attempt if the chain has failed, and resets the timer.
func (m *monitor) check() {
	failed, wait := m.hasFailed()
	if !failed {
		m.timer.Reset(wait)
		return
	}
	// A token may have arrived that this process has not read yet.
	m.forwarder.Clock.AfterReads(func() {
		failed, wait := m.hasFailed()
		if !failed {
			m.timer.Reset(wait)
			return
		}
		if !m.stopped.Load() {
			silentChains.Inc(1)
			m.cancel(errSilent)
		}
	})
}

// hasFailed reports whether the chain has failed, and otherwise how long to wait before
// the next check. It probes the servers of a chain that is late.
func (m *monitor) hasFailed() (failed bool, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped.Load() {
		return false, math.MaxInt64
	}
	timeouts := retry.Timeouts{
		Probe: time.Duration(m.probeAt.Load()), Failure: time.Duration(m.failAt.Load()),
	}
	last := m.lastToken.Load()
	if last == paused {
		m.probes.Store(nil)
		return false, timeouts.Probe
	}
	idle := m.forwarder.Clock.Since(m.started) - time.Duration(last)
	phase, wait := timeouts.Next(idle, len(m.unresponsive()) == 0)
	switch phase {
	case retry.Healthy:
		m.probes.Store(nil)
	case retry.Probing, retry.Stalled:
		if m.probes.Load() == nil {
			m.probeServers()
			wait = min(wait, retry.ProbeTimeout)
		}
	case retry.Failed:
		if m.pending() {
			// The end of the last probe starts the next check.
			return false, retry.ProbeTimeout
		}
		if m.probes.Load() != nil && !m.shouldWait(idle) {
			return true, 0
		}
		// If there are no probes yet, the timer fired late. The servers are still probed
		// first, so that none is suspected because of the delay.
		m.probeServers()
		wait = retry.ProbeTimeout
	}
	return false, max(wait, time.Millisecond)
}

// shouldWait reports whether to keep the attempt although servers of its chain do not
// answer. If there is no alternative to them, another attempt would only repeat their
// work. The attempt is kept for as long as the remaining ones would have taken.
func (m *monitor) shouldWait(idle time.Duration) bool {
	unresponsive := m.unresponsive()
	if len(unresponsive) == 0 || m.hasAlternative(unresponsive) {
		return false
	}
	m.exhausted.Store(idle >= m.maxSilence)
	m.forwarder.markSuspected(m.stages, m.hops, unresponsive, m.forwarder.Clock.Delay(m.started))
	return idle < m.maxSilence
}

func (m *monitor) probeServers() {
	var probes []*probe
	for _, s := range m.stages {
		p := m.forwarder.probe(s.Server, s.Address)
		p.notify(func() { m.timer.Reset(0) })
		probes = append(probes, p)
	}
	m.probes.Store(&probes)
}

// pending reports whether a probe has not ended yet.
func (m *monitor) pending() bool {
	probes := m.probes.Load()
	return probes != nil && slices.ContainsFunc(*probes, func(p *probe) bool { return !p.finished.Load() })
}

// unresponsive returns the servers that did not answer their probe.
func (m *monitor) unresponsive() []string {
	probes := m.probes.Load()
	if probes == nil {
		return nil
	}
	var names []string
	for _, p := range *probes {
		if p.failed.Load() {
			names = append(names, p.server)
		}
	}
	return names
}
