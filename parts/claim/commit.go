package claim

import (
	"fmt"
	"time"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/store"
)

// Commit applies a batch of ops to one shard. It does no I/O: Next returns
// the step to do, and OnRead and OnWrite take its result. Set the exported
// fields before the first call of Next.
//
// The reply to a write can be lost after the write took effect. Commit then
// reads the shard again. If the shard has the nonces of the batch, the write
// took effect. If the version is unchanged, the same conditional write is
// repeated: only one of the two can succeed. If the version changed and the
// nonces are missing, the first write can no longer succeed, and the ops are
// applied to the shard as read.
type Commit struct {
	// Shard and Version are the last known state of the shard; Shard is nil
	// if it is unknown. Commit modifies Shard in place.
	Shard   *Shard
	Version uint64
	// HighestSeen is the highest version of this shard that was ever read or
	// written.
	HighestSeen uint64
	// Ops is the batch.
	Ops []Op

	// hasRead is true once this commit has read the shard.
	hasRead bool
	// uncertain is true if a write had an unknown outcome.
	uncertain      bool
	writes         int
	pendingResults []OpResult
	results        []OpResult
	failure        *fault.Error
}

// maxWrites bounds the writes of one commit. A write is repeated after it
// conflicted with the write of another entry host or its reply was lost.
const maxWrites = 8

const storeUnavailable = "the object API does not take claims"

// Step is the next step of a Commit: DoRead, DoWrite, Committed or Failed.
type Step interface{ step() }

// DoRead asks the caller to read the shard object.
type DoRead struct{}

// DoWrite asks the caller to write the shard object if it still has the given
// version.
type DoWrite struct {
	Value   []byte
	Version uint64
}

// Committed ends a commit that succeeded. It has one result for each op.
type Committed struct{ Results []OpResult }

// Failed ends a commit that did not succeed. None of its Takes was granted.
type Failed struct {
	Err *fault.Error
	// Uncertain is true if a write of the commit may have taken effect or may
	// still do so.
	Uncertain bool
}

func (DoRead) step()    {}
func (DoWrite) step()   {}
func (Committed) step() {}
func (Failed) step()    {}

// Next returns the next step.
func (c *Commit) Next(now time.Time) Step {
	switch {
	case c.failure != nil:
		return Failed{c.failure, c.uncertain}
	case c.results != nil:
		return Committed{c.results}
	case c.Shard == nil:
		return DoRead{}
	}
	results, changed := c.Shard.Apply(now, c.Ops)
	if !c.hasRead && needsFreshRead(results) {
		c.Shard = nil
		return DoRead{}
	}
	if !changed {
		c.results = results
		return Committed{results}
	}
	if c.writes == maxWrites {
		c.fail("the shard is written by too many at once", nil)
		return Failed{c.failure, c.uncertain}
	}
	value, err := c.Shard.Encode()
	if err != nil {
		c.fail("the shard can't be encoded", err)
		return Failed{c.failure, c.uncertain}
	}
	c.writes++
	c.pendingResults = results
	return DoWrite{Value: value, Version: c.Version}
}

// needsFreshRead reports whether a result depends on a record that another
// entry host may have changed since the shard was read. A grant does not,
// since its write would fail with a conflict.
func needsFreshRead(results []OpResult) bool {
	for _, r := range results {
		switch r.(type) {
		case Granted, Recorded, Unknown:
		case Held, Completed, Reused, Full:
			return true
		}
	}
	return false
}

// OnRead takes the result of a DoRead step.
func (c *Commit) OnRead(o store.Object, err error) {
	if err != nil {
		c.fail(storeUnavailable, err)
		return
	}
	// A version that goes back means that the store was restored from an older
	// copy and has lost claims. Continuing could run calls twice.
	if o.Version < c.HighestSeen {
		c.fail(fmt.Sprintf("the shard went back from version %d to %d", c.HighestSeen, o.Version), nil)
		return
	}
	shard, err := Decode(o.Value)
	if err != nil {
		c.fail("the shard can't be decoded", err)
		return
	}
	c.Shard, c.Version, c.HighestSeen, c.hasRead = shard, o.Version, o.Version, true
}

// OnWrite takes the result of a DoWrite step.
func (c *Commit) OnWrite(version uint64, err error) {
	if err == nil {
		c.Version, c.HighestSeen = version, version
		c.results = c.pendingResults
		return
	}
	e := fault.As(err)
	c.Shard = nil
	// Read again after a conflict or a lost reply.
	if e.Code == fault.Conflict {
		return
	}
	if e.Verdict != fault.NotRun {
		c.uncertain = true
		return
	}
	c.fail(storeUnavailable, err)
}

// fail ends the commit with an error. The verdict is NotRun, since no call is
// sent without a grant.
func (c *Commit) fail(message string, cause error) {
	c.Shard = nil
	c.failure = &fault.Error{
		Code: fault.StoreDown, Verdict: fault.NotRun, Message: message,
		RetryAfter: time.Second, Cause: cause,
	}
}
