package slot

import "time"

const (
	// minFull is how long a server counts as full after it rejected a call. Its queue of unknown
	// length empties in some tens of milliseconds.
	minFull = 50 * time.Millisecond
	// maxFull bounds that time, which doubles while a server goes on to reject calls.
	maxFull = 400 * time.Millisecond
)

// Marks holds the servers that rejected calls of this entry host. The zero value is ready to use.
type Marks struct {
	servers map[string]mark
}

// mark says until when a server counts as full, and for how long it has counted.
type mark struct {
	until  time.Time
	length time.Duration
}

// Reject records that a server rejected a call, and returns for how long it counts as full. It
// reports whether the server did not count as full before: calls that were sent before that
// do not extend the time.
func (m *Marks) Reject(id string, now time.Time) (remaining time.Duration, isNew bool) {
	if m.servers == nil {
		m.servers = map[string]mark{}
	}
	known := m.servers[id]
	if now.Before(known.until) {
		return known.until.Sub(now), false
	}
	length := min(max(2*known.length, minFull), maxFull)
	m.servers[id] = mark{until: now.Add(length), length: length}
	return length, true
}

// Accept records that a server has run a call that was sent at a time.
func (m *Marks) Accept(id string, sent time.Time) {
	if known, rejected := m.servers[id]; rejected && !sent.Before(known.until) {
		delete(m.servers, id)
	}
}

// Full reports whether a server counts as full.
func (m *Marks) Full(id string, now time.Time) bool {
	return now.Before(m.servers[id].until)
}

// Sweep drops servers that rejected no call lately.
func (m *Marks) Sweep(now time.Time) {
	for id, known := range m.servers {
		if now.Sub(known.until) > maxFull {
			delete(m.servers, id)
		}
	}
}
