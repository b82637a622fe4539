// Package lease decides who may give orders, by one object of the object API.
//
// The holder renews the object by conditional updates. Its version is the
// fencing number: it grows with each write, so an order under an older number
// is an older order. No clocks of two hosts are compared. The holder counts
// its term from before it sent the write that began it; a contender counts
// from after it read that version, and waits out a longer term. So the
// holder's term has ended before another's begins, as long as the clocks of
// two hosts run at rates that differ by less than the wait allows.
//
// [Candidate] is pure: what it read, what became of its writes and the time are
// arguments. Times must carry Go's monotonic reading, which goes on while a
// process is paused.
package lease

import (
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// Value is what the object holds.
type Value struct {
	// Holder is the name of the entry host that wrote it.
	Holder string `json:"holder"`
	// Nonce tells one write from another.
	Nonce string `json:"nonce"`
	// TermMs is how long the holder holds it, in milliseconds.
	TermMs int64 `json:"termMs"`
	// Note is the holder's own, for its successor.
	Note []string `json:"note,omitempty"`
}

// Candidate is one contender. Set the exported fields before first use.
type Candidate struct {
	// Self is the name of this entry host.
	Self string
	// Term is how long a write holds.
	Term time.Duration

	// seen is the version read last, seenAt when it was first read, and
	// value what it held.
	seen   uint64
	seenAt time.Time
	value  Value
	// number and until are the own lease; until is zero without one.
	number uint64
	until  time.Time
	// renew asks for a write ahead of time.
	renew bool
	// pending is a write whose outcome is not known.
	pending Value
	sentAt  time.Time
}

const (
	// renewals is how many writes fit into one term, so that one may fail.
	renewals = 3
	// waitOver and waitUnder make the term that a contender waits out: a
	// quarter longer than the holder's.
	waitOver, waitUnder = 5, 4
)

// Read takes what was read from the object API; version zero means that there
// is no object.
func (m *Candidate) Read(version uint64, value Value, now time.Time) {
	if m.pending.Nonce != "" && value.Nonce == m.pending.Nonce {
		// The reply was lost, and the write took effect.
		m.won(version, m.sentAt)
	}
	if version != m.seen || m.seenAt.IsZero() {
		m.seen, m.seenAt, m.value = version, now, value
	}
	if value.Nonce != m.pending.Nonce {
		m.pending = Value{}
	}
}

// Write returns the value to write now and the version to write over, if it
// is time to: to renew the own lease, or to take one that nobody renewed.
func (m *Candidate) Write(nonce string, note []string, now time.Time) (Value, uint64, bool) {
	if m.seenAt.IsZero() || !m.due(now) {
		return Value{}, 0, false
	}
	m.pending = Value{Holder: m.Self, Nonce: nonce, TermMs: m.Term.Milliseconds(), Note: note}
	m.sentAt, m.renew = now, false
	return m.pending, m.seen, true
}

func (m *Candidate) due(now time.Time) bool {
	switch {
	case m.seen == 0:
		return true
	case m.seen == m.number && now.Before(m.until):
		return m.renew || m.until.Sub(now) < m.Term*(renewals-1)/renewals
	}
	// Somebody's, also a former life's of this entry host: an order of that
	// one may still be under way.
	term := time.Duration(m.value.TermMs) * time.Millisecond
	return now.Sub(m.seenAt) >= term*waitOver/waitUnder
}

// Wrote takes the outcome of the write: the new version, or the error.
func (m *Candidate) Wrote(version uint64, err error, now time.Time) {
	if err == nil {
		m.seen, m.seenAt, m.value = version, now, m.pending
		m.won(version, m.sentAt)
		return
	}
	if fault.As(err).Verdict == fault.NotRun {
		m.pending = Value{}
	}
	// Otherwise the next read tells whether it took effect.
}

func (m *Candidate) won(version uint64, sentAt time.Time) {
	m.number, m.until = version, sentAt.Add(m.Term)
	m.pending = Value{}
}

// Renew asks for a write ahead of time, since the note has changed.
func (m *Candidate) Renew() {
	m.renew = true
}

// Note returns what the object was last seen to hold for a successor.
func (m *Candidate) Note() []string {
	return m.value.Note
}

// Held returns the fencing number and the end of the own lease if it lasts
// for at least the given time more.
func (m *Candidate) Held(now time.Time, least time.Duration) (number uint64, until time.Time, held bool) {
	if m.until.Sub(now) < least {
		return 0, time.Time{}, false
	}
	return m.number, m.until, true
}
