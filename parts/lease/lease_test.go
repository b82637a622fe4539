package lease

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/fault"
)

const term = 4 * time.Second

var (
	start   = time.UnixMilli(1_800_000_000_000)
	errLost = &fault.Error{Code: fault.StoreDown, Verdict: fault.MayHaveRun}
	errNot  = &fault.Error{Code: fault.Conflict, Verdict: fault.NotRun}
)

// The reply to the write that took the lease is lost. The writer cannot tell,
// and must neither hold the lease without knowing nor write it anew for ever.
func TestLostReplyIsReadAgain(t *testing.T) {
	c := qt.New(t)
	m := Candidate{Self: "e1", Term: term}
	m.Read(0, Value{}, start)
	value, over, due := m.Write("n1", nil, start)
	c.Assert(due, qt.IsTrue)
	c.Assert(over, qt.Equals, uint64(0))
	m.Wrote(0, errLost, start)
	_, _, held := m.Held(start, 0)
	c.Assert(held, qt.IsFalse)
	m.Read(7, value, start.Add(time.Second))
	number, until, held := m.Held(start.Add(time.Second), 0)
	c.Assert(held, qt.IsTrue)
	c.Assert(number, qt.Equals, uint64(7))
	c.Assert(until, qt.Equals, start.Add(term))
}

// The holder is paused past its term. It must not hold the lease when it goes
// on, whatever it has read before.
func TestPausedHolderHoldsNothing(t *testing.T) {
	c := qt.New(t)
	m := Candidate{Self: "e1", Term: term}
	m.Read(0, Value{}, start)
	_, _, _ = m.Write("n1", nil, start)
	m.Wrote(3, nil, start)
	_, _, held := m.Held(start.Add(term), 0)
	c.Assert(held, qt.IsTrue)
	_, _, held = m.Held(start.Add(term+1), 0)
	c.Assert(held, qt.IsFalse)
	_, _, held = m.Held(start.Add(term), time.Second)
	c.Assert(held, qt.IsFalse)
}

// contender is one entry host of the model: what it read and wrote may be
// under way for any time.
type contender struct {
	Candidate
	// read and wrote are answers that have not arrived yet.
	read  *answer
	wrote *answer
}

type answer struct {
	version uint64
	value   Value
	err     error
}

// Several contenders read and write the lease, replies are late or lost, and
// any of them may be paused at any moment. At no time may two hold it, and a
// later holder's number is always the higher one.
func TestExploreOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, writes := start, 0
		var version uint64
		var object Value
		var last uint64
		all := []*contender{
			{Candidate: Candidate{Self: "e1", Term: term}},
			{Candidate: Candidate{Self: "e2", Term: term}},
			{Candidate: Candidate{Self: "e3", Term: term}},
		}
		pick := func(t *rapid.T) *contender { return rapid.SampledFrom(all).Draw(t, "contender") }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				if c := pick(t); c.read == nil {
					c.read = &answer{version: version, value: object}
				}
			},
			"read arrives": func(t *rapid.T) {
				if c := pick(t); c.read != nil && c.wrote == nil {
					c.Read(c.read.version, c.read.value, now)
					c.read = nil
				}
			},
			"write": func(t *rapid.T) {
				c := pick(t)
				if c.wrote != nil || c.read != nil {
					return
				}
				writes++
				value, over, due := c.Write(fmt.Sprint(writes), nil, now)
				if !due {
					return
				}
				c.wrote = &answer{err: errNot}
				if over == version {
					version++
					object = value
					c.wrote = &answer{version: version}
				}
				if rapid.Bool().Draw(t, "lost") {
					c.wrote.err = errLost
				}
			},
			"write arrives": func(t *rapid.T) {
				if c := pick(t); c.wrote != nil {
					c.Wrote(c.wrote.version, c.wrote.err, now)
					c.wrote = nil
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				holders := 0
				for _, c := range all {
					if number, _, held := c.Held(now, 0); held {
						holders++
						if number < last {
							t.Fatalf("%s holds number %d after %d", c.Self, number, last)
						}
						last = number
					}
				}
				if holders > 1 {
					t.Fatalf("%d holders", holders)
				}
			},
		})
	})
}
