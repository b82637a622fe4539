// Package link models the links between backend servers. Their delays differ
// a hundredfold and change without warning, so a delay is always a
// measurement and never a setting.
package link

import (
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/health"
)

// Meter holds the measured one-way delay of one link. It survives changes of
// the snapshot, and the request path updates it without locks.
type Meter struct {
	// Delay is the one-way delay, compared with its own past.
	Delay health.Trend
	// AvoidUntil is until when the link is used only if there is no other, in
	// Unix nanoseconds.
	AvoidUntil atomic.Int64
	// failures counts failures in a row since the last token.
	failures atomic.Int64
}

// Observe folds in the delay that one token met.
func (m *Meter) Observe(d time.Duration) {
	m.Delay.Observe(d)
	if m.failures.Load() != 0 {
		m.failures.Store(0)
	}
}

// failFor is how long a link is avoided after its first failure. To find out
// that it still swallows everything costs a request a second or more, so it
// is longer than for a server, whose death shows at once.
const failFor = 5 * time.Second

// maxDoublings bounds the time that a link is avoided, at some minutes.
const maxDoublings = 6

// RecordFailure has the link avoided, for twice as long with each failure in a row.
func (m *Meter) RecordFailure(now time.Time) {
	m.Avoid(now.Add(failFor << min(m.failures.Add(1)-1, maxDoublings)))
}

// Avoid keeps requests off the link until the given time, if they can.
func (m *Meter) Avoid(until time.Time) {
	m.AvoidUntil.Store(until.UnixNano())
}
