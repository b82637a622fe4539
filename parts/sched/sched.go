// Package sched tells whether this process gets enough processor time, and limits the requests
// that it takes to what it can carry.
//
// A process that is out of processor time reads late what has arrived. A [Meter] adds up how late.
// A [Gate] limits the requests in flight: the limit grows step by step with the load, and shrinks
// while the process falls behind.
package sched

import (
	"sync"
	"time"
)

const (
	// SampleInterval is the interval at which Meter.Sample and Gate.Sample are to be called.
	SampleInterval = 100 * time.Millisecond
	// window is the time over which delays are added up.
	window = 500 * time.Millisecond
	// saturatedShare is the share of the window from which the process is saturated, and
	// recoveredFor how long it must be below that until it is no longer.
	saturatedShare = 0.1
	recoveredFor   = time.Second
	// minDelay is the delay from which a probe counts.
	minDelay = 10 * time.Millisecond
)

// Meter measures how much of its time a process is behind with reading. Set the exported field
// before use. It is safe for concurrent use.
type Meter struct {
	// AfterRound calls a function once this process has read what has arrived before.
	AfterRound func(func())

	mu sync.Mutex
	// delays holds the delays in the window.
	delays []delay
	// probing says that a probe is in progress, since probedAt.
	probing   bool
	probedAt  time.Time
	saturated bool
	// lastHigh is when the share was last saturatedShare or more.
	lastHigh time.Time
}

// delay is the delay of a probe.
type delay struct {
	at   time.Time
	took time.Duration
}

// Probe starts a probe unless one is in progress.
func (m *Meter) Probe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probing {
		return
	}
	m.probing, m.probedAt = true, time.Now()
	go m.AfterRound(m.endProbe)
}

func (m *Meter) endProbe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.probing = false
	m.record(now.Sub(m.probedAt), now)
}

// record adds a delay. The mutex is held.
func (m *Meter) record(took time.Duration, now time.Time) {
	if took >= minDelay {
		m.delays = append(m.delays, delay{now, took})
	}
}

// Lost returns the share of the last window in which the process was behind.
func (m *Meter) Lost(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost(now)
}

// lost is Lost. The mutex is held.
func (m *Meter) lost(now time.Time) float64 {
	for len(m.delays) > 0 && now.Sub(m.delays[0].at) > window {
		m.delays = m.delays[1:]
	}
	var sum time.Duration
	for _, d := range m.delays {
		sum += min(d.took, window-now.Sub(d.at))
	}
	if m.probing {
		sum += now.Sub(m.probedAt)
	}
	return min(1, sum.Seconds()/window.Seconds())
}

// Saturated reports whether the process lacks processor time.
func (m *Meter) Saturated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.saturated
}

// Sample updates the state, and reports whether the process has begun or ceased to be saturated.
func (m *Meter) Sample(now time.Time) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lost(now) >= saturatedShare {
		m.lastHigh = now
		changed = !m.saturated
		m.saturated = true
		return changed
	}
	if !m.saturated || now.Sub(m.lastHigh) < recoveredFor {
		return false
	}
	m.saturated = false
	return true
}
