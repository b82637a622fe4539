package conf

import "fuchsiashelf.dev/parts/fault"

// Write is the state of one line on its way into the object API. It decides,
// without I/O, what to do next after each answer of the object API.
//
// A reply to a write can be lost after the write took effect. Then the object
// is read again: if it holds the line's id, the write took effect; if its
// version is unchanged, the same write is sent again, since it can land only
// once; if the version moved on without the id, the write did not take effect
// and cannot any more, since its condition no longer holds.
type Write struct {
	// lost is set while a copy of the write may have taken effect, or may
	// yet.
	lost bool
	// base is the version that the write is conditional on. On is the newest
	// line that the object held then, and epoch the epoch.
	base, epoch uint64
	on          string
}

// Step is what to do next: one of the types below.
type Step interface{ step() }

// Accepted: the line took effect; its record says at which revision.
type Accepted struct{ Line Line }

// Build: no copy of a write is out. Build the next configuration on what was
// read, and send it conditional on the version read.
type Build struct{}

// Resend: send the same write once more.
type Resend struct{}

// Reread: read again, since what came tells nothing.
type Reread struct{}

func (Accepted) step() {}
func (Build) step()    {}
func (Resend) step()   {}
func (Reread) step()   {}

// Read takes the object as read at a version, and the configuration that it
// holds. Found is the record of the line, in the object or in a configuration
// that an entry host has in force; nil if there is none.
func (w *Write) Read(version uint64, held *Config, found *Line) Step {
	switch {
	case found != nil:
		w.lost = false
		return Accepted{Line: *found}
	case !w.lost:
		return Build{}
	case version < w.base:
		// An older copy answers. Were it taken for a version that moved on,
		// a line that is in force would be answered with refused.
		return Reread{}
	case version > w.base && held.Epoch == w.epoch:
		w.lost = false
		return Build{}
	case version > w.base:
		// The object API was restored, and what it held after that was
		// replaced: the line may have been in it, and be in force on an
		// entry host that saw it.
		return Reread{}
	case held.last() != w.on:
		// The version is the same and what it stands for is not: the object
		// API was restored and counts anew. The same write would undo lines
		// that came since.
		return Reread{}
	}
	return Resend{}
}

// last returns the id of the newest line.
func (c *Config) last() string {
	if len(c.History) == 0 {
		return ""
	}
	return c.History[len(c.History)-1].ID
}

// Sent takes what became of a write that was conditional on a version, at
// which the object held a configuration: the verdict of its error. A copy that
// certainly did nothing tells nothing about an earlier copy of the same write.
func (w *Write) Sent(version uint64, held *Config, verdict fault.Verdict) {
	w.base, w.epoch, w.on = version, held.Epoch, held.last()
	if verdict != fault.NotRun {
		w.lost = true
	}
}

// Uncertain reports whether a write may have taken effect, or may yet.
func (w *Write) Uncertain() bool {
	return w.lost
}
