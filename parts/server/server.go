// Package server holds the metrics that an entry host measures on the requests
// sent to a backend server.
package server

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/health"
	"fuchsiashelf.dev/parts/link"
)

// Meter holds the metrics of one backend server. It outlives snapshots, and the
// request path updates it without locks.
type Meter struct {
	// InFlight counts this entry host's requests on the server.
	InFlight atomic.Int64
	// Waiting is the number of tokens that were waiting for a step at the last
	// report of the server.
	Waiting atomic.Int64
	// ReportedAt is the time of that report, in Unix nanoseconds.
	ReportedAt atomic.Int64
	// Capacity is the number of tokens that one step processes; zero if
	// unknown.
	Capacity atomic.Int64
	// Failures counts the consecutive failures since the last success.
	Failures atomic.Int64
	// SilentChains counts the consecutive chains with this server that stopped
	// responding, since the last token that it processed.
	SilentChains atomic.Int64
	// Step is the trend of the step time, relative to its own history.
	Step health.Trend
	// RefusedAt is the time when the server last refused a request because it
	// is leaving, in Unix nanoseconds.
	RefusedAt atomic.Int64
	// EjectedUntil is the time until which the server is excluded as degraded,
	// in Unix nanoseconds.
	EjectedUntil atomic.Int64

	wait   atomic.Uint64
	waitAt atomic.Int64

	mu    sync.Mutex
	links atomic.Pointer[map[string]*link.Meter]
}

// waitSmoothing is the weight of a new observation in the moving average of the
// wait. One eighth follows a change of load within about ten tokens and still
// smooths out a single slow one.
const waitSmoothing = 0.125

// Observe records the timing of one token: the time that the server took for
// the step, and the wait before the step.
func (m *Meter) Observe(now int64, step, wait time.Duration) {
	m.Step.Observe(step)
	old := math.Float64frombits(m.wait.Load())
	m.wait.Store(math.Float64bits(old + waitSmoothing*(float64(wait)-old)))
	m.waitAt.Store(now)
	if m.Failures.Load() != 0 {
		m.Failures.Store(0)
	}
	if m.SilentChains.Load() != 0 {
		m.SilentChains.Store(0)
	}
}

// Wait returns the moving average of the wait, and the time of its last update
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
	for name, meter := range old {
		next[name] = meter
	}
	next[to] = &link.Meter{}
	m.links.Store(&next)
	return next[to]
}

// Links returns the meters of the links from the server. The map is read-only.
func (m *Meter) Links() map[string]*link.Meter {
	if links := m.links.Load(); links != nil {
		return *links
	}
	return nil
}
