package conf_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/fault"
)

// The store carries out a line's write, and its reply is lost on the way.
// If the line were called refused, its operator would send it again on top
// of itself; if it were called done without a look, it may never be in force.
func TestWriteLostReply(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	c.Assert(w.Read(5, nil), quicktest.Equals, conf.Build{})
	w.Sent(5, fault.MayHaveRun)
	c.Assert(w.Uncertain(), quicktest.IsTrue)
	c.Assert(w.Read(5, nil), quicktest.Equals, conf.Resend{})
	// The second copy finds the version moved on, perhaps by the first copy.
	w.Sent(5, fault.NotRun)
	c.Assert(w.Uncertain(), quicktest.IsTrue)
	line := conf.Line{ID: "x", Revision: 3}
	c.Assert(w.Read(6, &line), quicktest.Equals, conf.Accepted{Line: line})
	c.Assert(w.Uncertain(), quicktest.IsFalse)
}

// Another seat's line moves the version on after the reply was lost. The
// write cannot land any more, and may be built anew.
func TestWriteOvertaken(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	w.Sent(5, fault.MayHaveRun)
	c.Assert(w.Read(7, nil), quicktest.Equals, conf.Build{})
	c.Assert(w.Uncertain(), quicktest.IsFalse)
}

// A replica of the store that lags answers the read after a lost reply. Its
// version is below the one that the write was built on, and tells nothing.
func TestWriteOldCopy(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	w.Sent(5, fault.MayHaveRun)
	c.Assert(w.Read(4, nil), quicktest.Equals, conf.Reread{})
	c.Assert(w.Uncertain(), quicktest.IsTrue)
}

func TestClash(t *testing.T) {
	c := quicktest.New(t)
	at := &conf.Config{Revision: 9, Tail: []conf.Line{
		{Revision: 7, Thing: "pool lake"}, {Revision: 8, Thing: "server a1"}, {Revision: 9, Thing: "pool lake"},
	}}
	line, clash, complete := at.Clash("pool lake", 8)
	c.Assert([]any{line.Revision, clash, complete}, quicktest.DeepEquals, []any{uint64(9), true, true})
	_, clash, complete = at.Clash("server a1", 8)
	c.Assert([]any{clash, complete}, quicktest.DeepEquals, []any{false, true})
	_, _, complete = at.Clash("pool pond", 5)
	c.Assert(complete, quicktest.IsFalse)
	_, _, complete = at.Clash("pool pond", 6)
	c.Assert(complete, quicktest.IsTrue)
}
