// Package link models the links between backend servers. Their delays differ
// a hundredfold and change without warning, so a delay is always a
// measurement and never a setting.
package link

import (
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/health"
)

// Key names the directed link between two backend servers.
type Key struct {
	// From and To are names of backend servers.
	From, To string
}

// Meter holds the measured one-way delay of one link. It survives changes of
// the snapshot, and the request path updates it without locks.
type Meter struct {
	// Delay is the one-way delay, compared with its own past.
	Delay health.Trend
	// AvoidUntil is until when the link is used only if there is no other, in
	// Unix nanoseconds.
	AvoidUntil atomic.Int64
}

// Avoid keeps requests off the link until the given time, if they can.
func (m *Meter) Avoid(until time.Time) {
	m.AvoidUntil.Store(until.UnixNano())
}
