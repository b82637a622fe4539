// Package server models a backend server as an entry host sees it: its place
// in the host list and the figures measured on the requests sent to it.
package server

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/health"
	"fuchsiashelf.dev/parts/link"
)

// Meter holds the figures of one backend server. It survives changes of the
// snapshot, and the request path updates it without locks.
type Meter struct {
	// InFlight counts this entry's requests on the server.
	InFlight atomic.Int64
	// Waiting is the number of tokens that waited for a step when the server
	// last reported.
	Waiting atomic.Int64
	// ReportedAt is when that was so, in Unix nanoseconds.
	ReportedAt atomic.Int64
	// Capacity is the number of tokens that one step runs; zero if unknown.
	Capacity atomic.Int64
	// Failures counts failures in a row since the last success.
	Failures atomic.Int64
	// Silences counts chains in a row that fell silent with the server in them,
	// since the last token that it had a part in.
	Silences atomic.Int64
	// Step is the time of one step, compared with its own past.
	Step health.Trend
	// RefusedAt is when the server last refused a request since it is leaving,
	// in Unix nanoseconds.
	RefusedAt atomic.Int64
	// EjectedUntil is until when the server is left out as degraded, in Unix
	// nanoseconds.
	EjectedUntil atomic.Int64

	wait   atomic.Uint64
	waitAt atomic.Int64

	mu    sync.Mutex
	links atomic.Pointer[map[string]*link.Meter]
}

// waitWeight is the weight of one new observation in the moving average of
// the wait. An eighth follows a change of load within some ten tokens and
// still smooths a single slow one.
const waitWeight = 0.125

// Observe folds the figures of one token into the meter. The step is the time
// that the server took for it, the wait that before the step.
func (m *Meter) Observe(now int64, step, wait time.Duration) {
	m.Step.Observe(step)
	old := math.Float64frombits(m.wait.Load())
	m.wait.Store(math.Float64bits(old + waitWeight*(float64(wait)-old)))
	m.waitAt.Store(now)
	if m.Failures.Load() != 0 {
		m.Failures.Store(0)
	}
	if m.Silences.Load() != 0 {
		m.Silences.Store(0)
	}
}

// Wait returns the moving average of the wait and when it was last updated,
// in Unix nanoseconds.
func (m *Meter) Wait() (time.Duration, int64) {
	return time.Duration(math.Float64frombits(m.wait.Load())), m.waitAt.Load()
}

// Link returns the meter of the link to another server.
func (m *Meter) Link(to string) *link.Meter {
	if known := m.Links()[to]; known != nil {
		return known
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.Links()
	if known := old[to]; known != nil {
		return known
	}
	next := make(map[string]*link.Meter, len(old)+1)
	for name, l := range old {
		next[name] = l
	}
	next[to] = &link.Meter{}
	m.links.Store(&next)
	return next[to]
}

// Links returns the meters of the links from the server. The map is read
// only.
func (m *Meter) Links() map[string]*link.Meter {
	if links := m.links.Load(); links != nil {
		return *links
	}
	return nil
}
