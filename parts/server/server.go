// Package server models a backend server as an entry host sees it: its place
// in the host list and the figures measured on the requests sent to it.
package server

import (
	"math"
	"sync/atomic"
	"time"
)

// Meter holds the figures of one backend server. It survives changes of the
// snapshot, and the request path updates it without locks.
type Meter struct {
	// InFlight counts this entry's requests on the server.
	InFlight atomic.Int64
	// Reported is the load that the server last reported, in requests.
	Reported atomic.Int64
	// ReportedAt is when the report was made, in Unix nanoseconds.
	ReportedAt atomic.Int64
	// Failures counts failures in a row since the last success.
	Failures atomic.Int64
	gap      atomic.Uint64
}

// gapWeight is the weight of one new observation in the moving average of
// the token gap. An eighth follows a change of speed within some ten tokens
// and still smooths a single slow one.
const gapWeight = 0.125

// Gap returns the moving average of the time that the server takes for one
// token, or zero if none was observed yet.
func (m *Meter) Gap() time.Duration {
	return time.Duration(math.Float64frombits(m.gap.Load()))
}

// ObserveGap folds one observed token time into the moving average.
func (m *Meter) ObserveGap(gap time.Duration) {
	for {
		old := m.gap.Load()
		mean := math.Float64frombits(old)
		next := float64(gap)
		if mean > 0 {
			next = mean + gapWeight*(float64(gap)-mean)
		}
		if m.gap.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}
