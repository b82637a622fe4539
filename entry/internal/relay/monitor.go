package relay

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/stall"
)

// monitor notices when the chain of one attempt is silent for too long. The stream
// only stores the time of its last token, and a timer checks it periodically, so
// that tokens do not reset the timer.
type monitor struct {
	forwarder *Forwarder
	stages    []engine.Stage
	// onSilent is called when the chain is silent, and again while it stays so.
	onSilent func()
	timer    *time.Timer
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
	// resumedAt is when silent servers of the chain answered again, zero if they have not
	// since the last token. mu guards it.
	resumedAt stall.Mark
	// probes are the probes of the chain's servers since it became late, nil if
	// there are none.
	probes atomic.Pointer[[]*probe]
	// maxSilence is how long a chain may be silent that is not replaced, if no token has
	// been sent to the caller.
	maxSilence time.Duration
	// silent says that the chain is silent, and blamed that this has been acted upon.
	silent, blamed atomic.Bool
	// interrupted says that the chain was silent since its last token.
	interrupted atomic.Bool
	// finding is what was found when the chain was last found silent.
	finding atomic.Pointer[finding]
	// gaps are the gaps between the chain's tokens. Only the stream uses them.
	gaps retry.Gaps
}

// finding is what the probes of a silent chain have shown.
type finding struct {
	at time.Time
	// servers are those that did not answer, and probedAt is when the last probe began.
	servers  []string
	probedAt time.Time
	// first says that the chain was not silent before.
	first bool
}

// paused is the value of lastToken while a token is written to the caller: a time
// in the far future.
const paused = math.MaxInt64 / 2

// startMonitor starts a monitor of an attempt.
func (a *attempt) startMonitor(inputLength int) *monitor {
	timeouts := a.pool.baseline.FirstToken(inputLength)
	m := &monitor{
		forwarder: a.Forwarder, stages: a.stages, onSilent: a.wake,
		started: a.startedAt, gaps: a.pool.baseline.Gaps(),
	}
	m.maxSilence = retry.MaxAttempts * (timeouts.Probe + retry.ProbeTimeout)
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
	if m.interrupted.Load() {
		m.interrupted.Store(false)
		m.endSilence()
		m.mu.Lock()
		m.resumedAt = stall.Mark{}
		m.mu.Unlock()
	}
}

// endSilence records that the chain no longer counts as silent.
func (m *monitor) endSilence() {
	m.silent.Store(false)
	m.blamed.Store(false)
	m.finding.Store(nil)
}

// idle returns how long the chain has been silent.
func (m *monitor) idle() time.Duration {
	last := m.lastToken.Load()
	if last == paused {
		return 0
	}
	return m.forwarder.Clock.Since(m.started) - time.Duration(last)
}

// silentNames returns the servers that did not answer probes when the chain was last found
// silent.
func (m *monitor) silentNames() []string {
	if f := m.finding.Load(); f != nil && m.silent.Load() {
		return f.servers
	}
	return nil
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
// that is late, reports one that is silent for too long, and resets the timer.
func (m *monitor) check() {
	failed, wait := m.hasFailed()
	if !failed {
		m.reset(wait)
		return
	}
	// A token may have arrived that this process has not read yet.
	m.forwarder.Clock.AfterReads(func() {
		failed, wait := m.hasFailed()
		if failed && !m.stopped.Load() {
			m.reportSilence()
			wait = retry.ProbeTimeout
		}
		m.reset(wait)
	})
}

// reset has the chain checked again after a while.
func (m *monitor) reset(wait time.Duration) {
	if !m.stopped.Load() {
		m.timer.Reset(wait)
	}
}

// reportSilence reports that the chain is silent, and probes its servers again.
func (m *monitor) reportSilence() {
	m.mu.Lock()
	f := &finding{at: time.Now(), servers: m.unresponsive()}
	if probes := m.probes.Load(); probes != nil {
		for _, p := range *probes {
			if p.startedAt.After(f.probedAt) {
				f.probedAt = p.startedAt
			}
		}
	}
	f.first = !m.silent.Swap(true)
	m.interrupted.Store(true)
	m.finding.Store(f)
	m.probeServers()
	m.mu.Unlock()
	m.onSilent()
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
	idle := m.idle()
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
		if m.probes.Load() != nil {
			if wait := m.resumeWait(); wait > 0 {
				m.probes.Store(nil)
				return false, wait
			}
			return true, 0
		}
		// If there are no probes yet, the timer fired late. The servers are still probed
		// first, so that none is suspected because of the delay.
		m.probeServers()
		wait = retry.ProbeTimeout
	}
	return false, max(wait, time.Millisecond)
}

// resumeGrace is the time in which a chain goes on whose silent servers answer probes again.
const resumeGrace = 400 * time.Millisecond

// resumeWait returns how long the chain may take yet to go on because its silent servers
// answer probes again, or zero. It gets that time once between two tokens. m.mu is held.
func (m *monitor) resumeWait() time.Duration {
	if len(m.unresponsive()) > 0 || !m.direct() {
		return 0
	}
	if len(m.silentNames()) > 0 && m.resumedAt.At.IsZero() {
		m.resumedAt = m.forwarder.Clock.Mark()
		m.endSilence()
	}
	if m.resumedAt.At.IsZero() {
		return 0
	}
	return resumeGrace - m.forwarder.Clock.Since(m.resumedAt)
}

// direct reports whether connections to the first server are direct ones, like that of the
// attempt. Otherwise an answer to a probe shows nothing of the attempt's connection.
func (m *monitor) direct() bool {
	return m.forwarder.Direct == nil || m.forwarder.Direct(m.stages[0].Address)
}

func (m *monitor) probeServers() {
	var probes []*probe
	for _, s := range m.stages {
		p := m.forwarder.probe(s.Server, s.Address)
		p.notify(func() { m.reset(0) })
		probes = append(probes, p)
	}
	m.probes.Store(&probes)
}

// pending reports whether a probe has not ended yet.
func (m *monitor) pending() bool {
	probes := m.probes.Load()
	return probes != nil && slices.ContainsFunc(*probes, func(p *probe) bool { return !p.finished.Load() })
}

// exited returns a server whose process has ended, or "".
func (m *monitor) exited() string {
	if probes := m.probes.Load(); probes != nil {
		for _, p := range *probes {
			if p.exited.Load() {
				return p.server
			}
		}
	}
	return ""
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
