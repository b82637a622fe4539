// Package pause tracks the pauses that backend servers request from this entry host.
//
// A server that refuses a request may name a time during which the entry host that sent it
// is to send nothing more. Each entry host has a [Tracker] of its own. Pauses are not
// exchanged, because the server has not requested one from the other hosts. A pause applies
// to the process that requested it only. Addresses and IDs are used again, so the tracker
// identifies a process by its address and by the latest time at which it can have started.
//
// Every requested pause counts. A server is paused until the last of them ends: a later
// response that names a shorter time, or none, does not end a pause.
package pause

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLength bounds a pause, so that a wrong value does not exclude a server until it
	// restarts. A server that still needs a pause then requests it again.
	maxLength = time.Hour
	// spreadShare and maxSpread bound the random addition of RetryAfter.
	spreadShare = 0.25
	maxSpread   = 500 * time.Millisecond
)

// Process is the process of a backend server.
type Process struct {
	Address string
	// StartedAt is the start time of the process; zero if it is not known.
	StartedAt time.Time
}

// Tracker tracks the pauses that servers have requested. Set the exported fields before
// use. It is safe for concurrent use.
type Tracker struct {
	Log *slog.Logger

	mu sync.Mutex
	// pauses holds the pause of each server by address, and count their number: mostly
	// there are none, and each choice of a chain asks for every server.
	pauses map[string]pause
	count  atomic.Int64
}

// pause is the pause of the server at an address.
type pause struct {
	// startedBy is a time by which the process that requested the pause had started. A
	// process that started later has not requested it.
	startedBy time.Time
	until     time.Time
}

// Add records that a process has requested a pause of the given length in a response to a
// request that was sent and received at the given times.
func (t *Tracker) Add(p Process, length time.Duration, sentAt, receivedAt time.Time) {
	if length <= 0 {
		return
	}
	length = min(length, maxLength)
	t.mu.Lock()
	defer t.mu.Unlock()
	// The known start time may be that of the process before, and the clock of this entry
	// host may be wrong. The process had started by the later of the two times.
	startedBy := sentAt.Round(0)
	if p.StartedAt.After(startedBy) {
		startedBy = p.StartedAt
	}
	until := receivedAt.Add(length)
	if known, exists := t.pauses[p.Address]; exists {
		if known.appliesTo(p) && known.until.After(until) {
			until = known.until
		}
		if known.startedBy.After(startedBy) {
			startedBy = known.startedBy
		}
	}
	if t.pauses == nil {
		t.pauses = map[string]pause{}
	}
	t.pauses[p.Address] = pause{startedBy: startedBy, until: until}
	t.count.Store(int64(len(t.pauses)))
	t.Log.Info("pause: requested", "address", p.Address, "length", length, "ends", until.Sub(receivedAt))
}

// appliesTo reports whether a process may be the one that requested the pause.
func (e pause) appliesTo(p Process) bool {
	return !p.StartedAt.After(e.startedBy)
}

// Remaining returns the remaining time of the pause of a process; zero if there is none.
func (t *Tracker) Remaining(p Process, now time.Time) time.Duration {
	if t.count.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, exists := t.pauses[p.Address]
	if !exists || !known.appliesTo(p) {
		return 0
	}
	return max(0, known.until.Sub(now))
}

// Count returns the number of addresses with a pause that has not ended.
func (t *Tracker) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, known := range t.pauses {
		if now.Before(known.until) {
			n++
		}
	}
	return n
}

// Sweep removes the pauses that have ended.
func (t *Tracker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, known := range t.pauses {
		if !now.Before(known.until) {
			delete(t.pauses, address)
			t.Log.Info("pause: ended", "address", address)
		}
	}
	t.count.Store(int64(len(t.pauses)))
}

// RetryAfter returns the time after which a caller should retry that was refused because
// of a pause with the given remaining time. It adds a random time: otherwise all callers
// that were refused during a pause would return at its end, and overload the server again.
func RetryAfter(wait time.Duration) time.Duration {
	spread := min(maxSpread, time.Duration(spreadShare*float64(wait)))
	if spread <= 0 {
		return wait
	}
	return wait + rand.N(spread)
}
