package lease

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/fault"
	_ "fuchsiashelf.dev/parts/seed"
)

const term = 4 * time.Second

var (
	start       = time.UnixMilli(1_800_000_000_000)
	errLost     = &fault.Error{Code: fault.StoreDown, Verdict: fault.MayHaveRun}
	errConflict = &fault.Error{Code: fault.Conflict, Verdict: fault.NotRun}
)

// The reply to the write that takes the lease is lost. The candidate must not
// assume that it holds the lease, and must learn it from the next read
// instead of writing forever.
func TestLostReplyIsResolvedByRead(t *testing.T) {
	c := qt.New(t)
	lease := Candidate{Self: "e1", Term: term}
	lease.OnRead(0, Value{}, start)
	value, replaces, due := lease.Write("n1", nil, start)
	c.Assert(due, qt.IsTrue)
	c.Assert(replaces, qt.Equals, uint64(0))
	lease.OnWrite(0, errLost, start)
	_, _, held := lease.Held(start, 0)
	c.Assert(held, qt.IsFalse)
	lease.OnRead(7, value, start.Add(time.Second))
	number, until, held := lease.Held(start.Add(time.Second), 0)
	c.Assert(held, qt.IsTrue)
	c.Assert(number, qt.Equals, uint64(7))
	c.Assert(until, qt.Equals, start.Add(term))
}

// A holder that is paused past its term must not hold the lease when it
// resumes, whatever it read before.
func TestPausedHolderLosesLease(t *testing.T) {
	c := qt.New(t)
	lease := Candidate{Self: "e1", Term: term}
	lease.OnRead(0, Value{}, start)
	_, _, _ = lease.Write("n1", nil, start)
	lease.OnWrite(3, nil, start)
	_, _, held := lease.Held(start.Add(term), 0)
	c.Assert(held, qt.IsTrue)
	_, _, held = lease.Held(start.Add(term+1), 0)
	c.Assert(held, qt.IsFalse)
	_, _, held = lease.Held(start.Add(term), time.Second)
	c.Assert(held, qt.IsFalse)
}

// modelHost is an entry host of the model. Its reads and writes may take any
// time.
type modelHost struct {
	Candidate
	// readReply and writeReply are replies that have not arrived yet.
	readReply  *reply
	writeReply *reply
}

// reply is the result of a read or write of the object.
type reply struct {
	version uint64
	value   Value
	err     error
}

// Guards against two holders: several hosts contend for the lease while
// replies are delayed or lost and hosts are paused. At no time may two hold
// the lease, and a later holder must have a higher fencing number.
func TestExploreOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, writes := start, 0
		var version uint64
		var object Value
		var lastNumber uint64
		hosts := []*modelHost{
			{Candidate: Candidate{Self: "e1", Term: term}},
			{Candidate: Candidate{Self: "e2", Term: term}},
			{Candidate: Candidate{Self: "e3", Term: term}},
		}
		anyHost := func(t *rapid.T) *modelHost { return rapid.SampledFrom(hosts).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				if h := anyHost(t); h.readReply == nil {
					h.readReply = &reply{version: version, value: object}
				}
			},
			"read arrives": func(t *rapid.T) {
				if h := anyHost(t); h.readReply != nil && h.writeReply == nil {
					h.OnRead(h.readReply.version, h.readReply.value, now)
					h.readReply = nil
				}
			},
			"write": func(t *rapid.T) {
				h := anyHost(t)
				if h.writeReply != nil || h.readReply != nil {
					return
				}
				writes++
				value, replaces, due := h.Write(fmt.Sprint(writes), nil, now)
				if !due {
					return
				}
				h.writeReply = &reply{err: errConflict}
				if replaces == version {
					version++
					object = value
					h.writeReply = &reply{version: version}
				}
				if rapid.Bool().Draw(t, "lost") {
					h.writeReply.err = errLost
				}
			},
			"write arrives": func(t *rapid.T) {
				if h := anyHost(t); h.writeReply != nil {
					h.OnWrite(h.writeReply.version, h.writeReply.err, now)
					h.writeReply = nil
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				holders := 0
				for _, h := range hosts {
					if number, _, held := h.Held(now, 0); held {
						holders++
						if number < lastNumber {
							t.Fatalf("%s holds the lease with number %d after %d", h.Self, number, lastNumber)
						}
						lastNumber = number
					}
				}
				if holders > 1 {
					t.Fatalf("%d hosts hold the lease", holders)
				}
			},
		})
	})
}
