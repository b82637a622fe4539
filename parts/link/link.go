// Package link measures the links between backend servers. Their delays differ
// by a factor of a hundred and change without warning, so a delay is always
// measured and never configured.
package link

import (
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/health"
)

// Meter holds the measured one-way delay of one link. It outlives snapshots,
// and the request path updates it without locks.
type Meter struct {
	// Delay is the trend of the one-way delay, relative to its own history.
	Delay health.Trend
	// AvoidUntil is the time until which the link is used only if there is no
	// other, in Unix nanoseconds.
	AvoidUntil atomic.Int64
	// failures counts the consecutive failures since the last token.
	failures atomic.Int64
}

// Observe records the delay of one token.
func (m *Meter) Observe(delay time.Duration) {
	m.Delay.Observe(delay)
	if m.failures.Load() != 0 {
		m.failures.Store(0)
	}
}

// baseAvoidTime is how long a link is avoided after its first failure.
// A request loses at least a second on a link that still drops everything before
// that is detected, so the time is longer than for a server, whose crash is
// detected at once.
const baseAvoidTime = 5 * time.Second

// maxDoublings bounds the time that a link is avoided to a few minutes.
const maxDoublings = 6

// RecordFailure marks the link as avoided, for twice as long with each
// consecutive failure.
func (m *Meter) RecordFailure(now time.Time) {
	m.Avoid(now.Add(baseAvoidTime << min(m.failures.Add(1)-1, maxDoublings)))
}

// Avoid keeps requests off the link until the given time, unless there is no
// other.
func (m *Meter) Avoid(until time.Time) {
	m.AvoidUntil.Store(until.UnixNano())
}
