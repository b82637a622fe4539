package claim

import (
	"fmt"
	"time"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/store"
)

// Commit brings a batch of ops into one shard. It is driven by whoever does
// the I/O: Next says what to do, Read and Wrote take what came of it. Set
// the exported fields before the first Next.
//
// A reply to a write can be lost after the write took effect. A commit then
// reads the shard again. If its nonces are there, the write took effect. If
// the version has not moved, the same conditional write is sent again: only
// one of the two can land. If the version moved without the nonces, the
// write can't land any more, and the ops are applied to what is there now.
type Commit struct {
	// Shard and Version are the shard as last known; a nil Shard means
	// unknown. A commit changes the shard in place.
	Shard   *Shard
	Version uint64
	// Seen is the highest version that was ever seen of this shard.
	Seen uint64
	// Ops are the changes.
	Ops []Op

	fresh    bool
	doubt    bool
	tries    int
	pending  []OpResult
	findings []OpResult
	failed   *fault.Error
}

// maxTries bounds the writes of one commit. Each but the last has lost
// against another entry host's write, or its reply was lost.
const maxTries = 8

const noStore = "the object API does not take claims"

// Step is what a Commit needs next: DoRead, DoWrite, Settled or Failed.
type Step interface{ step() }

// DoRead asks for the shard's object.
type DoRead struct{}

// DoWrite asks for a conditional write of the shard's object.
type DoWrite struct {
	Value   []byte
	Version uint64
}

// Committed ends a commit; there is a finding for each op.
type Committed struct{ Findings []OpResult }

// Failed ends a commit that could not be brought into the store. No Take of
// it was granted.
type Failed struct {
	Err *fault.Error
	// Uncertain says that a write of it may be in the store, or may land later.
	Uncertain bool
}

func (DoRead) step()    {}
func (DoWrite) step()   {}
func (Committed) step() {}
func (Failed) step()    {}

// Next returns the next step.
func (c *Commit) Next(now time.Time) Step {
	switch {
	case c.failed != nil:
		return Failed{c.failed, c.doubt}
	case c.findings != nil:
		return Committed{c.findings}
	case c.Shard == nil:
		return DoRead{}
	}
	findings, changed := c.Shard.Apply(now, c.Ops)
	if !c.fresh && doubtful(findings) {
		c.Shard = nil
		return DoRead{}
	}
	if !changed {
		c.findings = findings
		return Committed{findings}
	}
	if c.tries == maxTries {
		c.fail("the shard is written by too many at once", nil)
		return Failed{c.failed, c.doubt}
	}
	value, err := c.Shard.Encode()
	if err != nil {
		c.fail("the shard can't be encoded", err)
		return Failed{c.failed, c.doubt}
	}
	c.tries++
	c.pending = findings
	return DoWrite{Value: value, Version: c.Version}
}

// doubtful reports whether a finding depends on a record that another entry
// host may have changed since the shard was read. A grant does not: its
// write would fail.
func doubtful(findings []OpResult) bool {
	for _, f := range findings {
		switch f.(type) {
		case Granted, Recorded, Unknown:
		case Held, Completed, Reused, Full:
			return true
		}
	}
	return false
}

// Read takes the answer to DoRead.
func (c *Commit) Read(o store.Object, err error) {
	if err != nil {
		c.fail(noStore, err)
		return
	}
	// A store that was restored from an older copy has lost claims. One
	// notices by the version going back; going on would run calls again.
	if o.Version < c.Seen {
		c.fail(fmt.Sprintf("the shard went back from version %d to %d", c.Seen, o.Version), nil)
		return
	}
	shard, err := Decode(o.Value)
	if err != nil {
		c.fail("the shard can't be decoded", err)
		return
	}
	c.Shard, c.Version, c.Seen, c.fresh = shard, o.Version, o.Version, true
}

// Wrote takes the answer to DoWrite.
func (c *Commit) Wrote(version uint64, err error) {
	if err == nil {
		c.Version, c.Seen = version, version
		c.findings = c.pending
		return
	}
	e := fault.As(err)
	c.Shard = nil
	// Lost against another write, or the reply was lost: read again.
	if e.Code == fault.Conflict {
		return
	}
	if e.Verdict != fault.NotRun {
		c.doubt = true
		return
	}
	c.fail(noStore, err)
}

// fail ends the commit. The verdict is NotRun: no call is sent without a
// grant.
func (c *Commit) fail(message string, cause error) {
	c.Shard = nil
	c.failed = &fault.Error{
		Code: fault.StoreDown, Verdict: fault.NotRun, Message: message,
		RetryAfter: time.Second, Cause: cause,
	}
}
