package conf

import "fuchsiashelf.dev/parts/fault"

// Write is the state of the write of one line to the object API. It decides,
// without I/O, what to do after each reply of the object API.
//
// The reply to a write can be lost after the write took effect. Then the object
// is read again. If it contains the line's ID, the write took effect. If its
// version is unchanged, the same write is sent again, since it can take effect
// only once. If the version has increased without the ID, the write did not
// take effect and no longer can, since its condition no longer holds.
type Write struct {
	// uncertain is set while a copy of the write may have taken effect or may
	// still do so.
	uncertain bool
	// baseVersion is the version that the write is conditional on. baseEpoch
	// and baseLineID are the epoch and the newest line of the object at that
	// version.
	baseVersion, baseEpoch uint64
	baseLineID             string
}

// Step is what to do next: Accepted, Build, Resend or Reread.
type Step interface{ step() }

// Accepted means that the line took effect; its record holds the revision.
type Accepted struct{ Line Line }

// Build means that no copy of the write is pending: build the next
// configuration on the object that was read, and write it conditional on the
// version read.
type Build struct{}

// Resend means that the same write is to be sent again.
type Resend struct{}

// Reread means that the object is to be read again, since this read is
// inconclusive.
type Reread struct{}

func (Accepted) step() {}
func (Build) step()    {}
func (Resend) step()   {}
func (Reread) step()   {}

// Read takes the version and the configuration of the object as read. Found is
// the record of the line in the object or in a configuration that is in force
// on an entry host; nil if there is none.
func (w *Write) Read(version uint64, stored *Config, found *Line) Step {
	switch {
	case found != nil:
		w.uncertain = false
		return Accepted{Line: *found}
	case !w.uncertain:
		return Build{}
	case version < w.baseVersion:
		// A stale replica answered. Its version says nothing about the write: if
		// it were taken for a later one, a line that is in force would be
		// reported as refused.
		return Reread{}
	case version > w.baseVersion && stored.Epoch == w.baseEpoch:
		w.uncertain = false
		return Build{}
	case version > w.baseVersion:
		// The object API was restored, and its configuration has since been
		// replaced by that of an entry host. The line may have been in the
		// replaced configuration, and be in force on an entry host that read it.
		return Reread{}
	case stored.lastID() != w.baseLineID:
		// The version is the same but stands for another configuration: the
		// object API was restored and counts versions anew. The same write
		// would undo lines accepted since.
		return Reread{}
	}
	return Resend{}
}

// lastID returns the ID of the newest line; empty if there is none.
func (c *Config) lastID() string {
	if len(c.History) == 0 {
		return ""
	}
	return c.History[len(c.History)-1].ID
}

// Sent takes the outcome of a write: the version it was conditional on, the
// configuration that the object held at that version, and the verdict of the
// error. The verdict NotRun of one copy says nothing about an earlier copy of the
// same write, so it does not clear uncertain.
func (w *Write) Sent(version uint64, stored *Config, verdict fault.Verdict) {
	w.baseVersion, w.baseEpoch, w.baseLineID = version, stored.Epoch, stored.lastID()
	if verdict != fault.NotRun {
		w.uncertain = true
	}
}

// Uncertain reports whether a write may have taken effect or may still do so.
func (w *Write) Uncertain() bool {
	return w.uncertain
}
