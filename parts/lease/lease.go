// Package lease implements a lease on one object of the object API. Its
// holder is the only entry host that may give orders.
//
// The holder renews the lease by conditional updates of the object. The
// version of the object is the fencing number: it grows with each write, so
// an order with a lower number is an older order. Clocks of different hosts
// are never compared. The holder counts its term from before it sent the
// write that started it. Any other candidate counts from after it read that
// version, and waits for longer than the term. The holder's term thus ends before
// that of the next holder starts, as long as the clock rates of the two hosts
// differ by less than the additional wait allows.
//
// [Candidate] does no I/O: read values, results of writes and the time are
// arguments. Times must have a monotonic clock reading, which advances while
// a process is paused.
package lease

import (
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// Value is the content of the lease object.
type Value struct {
	// Holder is the name of the entry host that wrote the value.
	Holder string `json:"holder"`
	// Nonce distinguishes one write from another.
	Nonce string `json:"nonce"`
	// TermMs is the duration of the lease, in milliseconds.
	TermMs int64 `json:"termMs"`
	// Note is data that the holder leaves for its successor.
	Note []string `json:"note,omitempty"`
}

// Candidate is an entry host that holds the lease or contends for it. Set the
// exported fields before first use.
type Candidate struct {
	// Self is the name of this entry host.
	Self string
	// Term is the duration of the lease after a write.
	Term time.Duration

	// seenVersion is the version read or written last, seenAt is when it was
	// first seen, and seenValue is its value.
	seenVersion uint64
	seenAt      time.Time
	seenValue   Value
	// number and until describe the lease held by this candidate; until is
	// zero if it never held one.
	number uint64
	until  time.Time
	// renewNow requests a write before the lease is due for renewal.
	renewNow bool
	// pending is a write, sent at sentAt, whose outcome is not known.
	pending Value
	sentAt  time.Time
}

const (
	// writesPerTerm is the number of writes that fit into a term: the lease is
	// renewed after a third of it, so that a renewal may fail and be repeated.
	writesPerTerm = 3
	// A candidate waits for 5/4 of the term of the current holder. The
	// additional quarter allows for clocks that run at different rates.
	waitNumerator, waitDenominator = 5, 4
)

// OnRead takes the result of reading the object. Version zero means that the
// object does not exist.
func (c *Candidate) OnRead(version uint64, value Value, now time.Time) {
	if c.pending.Nonce != "" && value.Nonce == c.pending.Nonce {
		// The write took effect, but its reply was lost.
		c.acquired(version, c.sentAt)
	}
	if version != c.seenVersion || c.seenAt.IsZero() {
		c.seenVersion, c.seenAt, c.seenValue = version, now, value
	}
	if value.Nonce != c.pending.Nonce {
		c.pending = Value{}
	}
}

// Write returns the value to write and the version that it replaces, if a
// write is due: to renew the lease, or to take over an expired one.
func (c *Candidate) Write(nonce string, note []string, now time.Time) (Value, uint64, bool) {
	if c.seenAt.IsZero() || !c.writeDue(now) {
		return Value{}, 0, false
	}
	c.pending = Value{Holder: c.Self, Nonce: nonce, TermMs: c.Term.Milliseconds(), Note: note}
	c.sentAt, c.renewNow = now, false
	return c.pending, c.seenVersion, true
}

// writeDue reports whether to renew the lease or to take it over.
func (c *Candidate) writeDue(now time.Time) bool {
	switch {
	case c.seenVersion == 0:
		return true
	case c.seenVersion == c.number && now.Before(c.until):
		return c.renewNow || c.until.Sub(now) < c.Term*(writesPerTerm-1)/writesPerTerm
	}
	// The lease belongs to another holder, or to an earlier incarnation of this
	// entry host, whose orders may still be in flight. Wait until it has expired.
	term := time.Duration(c.seenValue.TermMs) * time.Millisecond
	return now.Sub(c.seenAt) >= term*waitNumerator/waitDenominator
}

// OnWrite takes the result of the write: the new version or an error.
func (c *Candidate) OnWrite(version uint64, err error, now time.Time) {
	if err == nil {
		c.seenVersion, c.seenAt, c.seenValue = version, now, c.pending
		c.acquired(version, c.sentAt)
		return
	}
	if fault.As(err).Verdict == fault.NotRun {
		c.pending = Value{}
	}
	// Otherwise the next read shows whether the write took effect.
}

// acquired records that a write that was sent at sentAt took effect.
func (c *Candidate) acquired(version uint64, sentAt time.Time) {
	c.number, c.until = version, sentAt.Add(c.Term)
	c.pending = Value{}
}

// Renew requests a write as soon as possible, for example after the note
// changed.
func (c *Candidate) Renew() {
	c.renewNow = true
}

// Note returns the last note that was seen in the object.
func (c *Candidate) Note() []string {
	return c.seenValue.Note
}

// Held returns the fencing number and the end of the lease, if this candidate
// holds it for at least minLeft longer.
func (c *Candidate) Held(now time.Time, minLeft time.Duration) (number uint64, until time.Time, held bool) {
	if c.until.Sub(now) < minLeft {
		return 0, time.Time{}, false
	}
	return c.number, c.until, true
}
