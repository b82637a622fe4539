package relay

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/retry"
)

// errSilent cancels an attempt whose chain has sent nothing for too long.
var errSilent = errors.New("relay: the chain is silent")

// monitor cancels one attempt if its chain stays silent for too long. The stream
// only stores the time of its last token, and a timer checks it periodically, so
// that tokens do not reset the timer.
type monitor struct {
	forwarder *Forwarder
	stages    []engine.Stage
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	// lastToken is the time of the last token, in nanoseconds since startedAt, or
	// paused.
	lastToken atomic.Int64
	startedAt time.Time
	// probeAt and failAt are the timeouts of the next token, in nanoseconds since
	// the last one. Reading one before and the other after an update is harmless.
	probeAt, failAt atomic.Int64
	stopped         atomic.Bool
	// probes are the probes of the chain's servers since it became late, nil if
	// there are none. Only the timer sets it.
	probes atomic.Pointer[[]*probe]
	// gaps are the gaps between the chain's tokens. Only the stream uses them.
	gaps retry.Gaps
}

// paused is the value of lastToken while a token is written to the caller: a time
// in the far future.
const paused = math.MaxInt64 / 2

// startMonitor starts a monitor of an attempt.
func (d *delivery) startMonitor(cancel context.CancelCauseFunc, now time.Time) *monitor {
	timeouts := d.firstTokenTimeouts()
	m := &monitor{
		forwarder: d.Forwarder, stages: d.stages, cancel: cancel,
		startedAt: now, gaps: d.pool.baseline.Gaps(),
	}
	m.setTimeouts(timeouts)
	// The timer starts only after the field is set, because check uses it.
	m.timer = time.AfterFunc(math.MaxInt64, m.check)
	m.timer.Reset(timeouts.Probe)
	return m
}

// recordToken records that a token was received and forwarded to the caller.
func (m *monitor) recordToken(now time.Time) {
	m.setTimeouts(m.gaps.Timeouts())
	m.lastToken.Store(int64(now.Sub(m.startedAt)))
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

// check runs when the timer fires. It probes the servers of a chain that is
// late, cancels the attempt if the chain has failed, and resets the timer.
func (m *monitor) check() {
	if m.stopped.Load() {
		return
	}
	timeouts := retry.Timeouts{
		Probe: time.Duration(m.probeAt.Load()), Failure: time.Duration(m.failAt.Load()),
	}
	last := m.lastToken.Load()
	if last == paused {
		m.probes.Store(nil)
		m.timer.Reset(timeouts.Probe)
		return
	}
	idle := time.Since(m.startedAt) - time.Duration(last)
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
		if m.probes.Load() == nil {
			// The timer fired late. The servers are still probed first, so that
			// none is suspected because of the delay.
			m.probeServers()
			wait = retry.ProbeTimeout
			break
		}
		silentChains.Inc(1)
		m.cancel(errSilent)
		return
	}
	m.timer.Reset(max(wait, time.Millisecond))
}

func (m *monitor) probeServers() {
	var probes []*probe
	for _, s := range m.stages {
		probes = append(probes, m.forwarder.probe(s.Server, s.Address))
	}
	m.probes.Store(&probes)
}

// unresponsive returns the servers whose probe was sent and has not been
// answered.
func (m *monitor) unresponsive() []string {
	probes := m.probes.Load()
	if probes == nil {
		return nil
	}
	var names []string
	for _, p := range *probes {
		if p.sent.Load() && !p.answered.Load() {
			names = append(names, p.server)
		}
	}
	return names
}
