package conf_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/fault"
)

// held is what the object holds when the writes are built.
var held = &conf.Config{Revision: 2, History: []conf.Line{{ID: "w", Revision: 2}}}

// The store carries out a line's write, and its reply is lost on the way.
// If the line were called refused, its operator would send it again on top
// of itself; if it were called done without a look, it may never be in force.
func TestWriteLostReply(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	c.Assert(w.Read(5, held, nil), quicktest.Equals, conf.Build{})
	w.Sent(5, held, fault.MayHaveRun)
	c.Assert(w.Uncertain(), quicktest.IsTrue)
	c.Assert(w.Read(5, held, nil), quicktest.Equals, conf.Resend{})
	// The second copy finds the version moved on, perhaps by the first copy.
	w.Sent(5, held, fault.NotRun)
	c.Assert(w.Uncertain(), quicktest.IsTrue)
	line := conf.Line{ID: "x", Revision: 3}
	c.Assert(w.Read(6, held, &line), quicktest.Equals, conf.Accepted{Line: line})
	c.Assert(w.Uncertain(), quicktest.IsFalse)
}

// Another seat's line moves the version on after the reply was lost. The
// write cannot land any more, and may be built anew.
func TestWriteOvertaken(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	w.Sent(5, held, fault.MayHaveRun)
	c.Assert(w.Read(7, held, nil), quicktest.Equals, conf.Build{})
	c.Assert(w.Uncertain(), quicktest.IsFalse)
}

// A replica of the store that lags answers the read after a lost reply. Its
// version is below the one that the write was built on, and tells nothing.
func TestWriteOldCopy(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	w.Sent(5, held, fault.MayHaveRun)
	c.Assert(w.Read(4, held, nil), quicktest.Equals, conf.Reread{})
	c.Assert(w.Uncertain(), quicktest.IsTrue)
}

// The store is restored after a reply was lost, and its versions count anew:
// the version is the one that the write was built on, but it stands for other
// lines. Sent again, the write would undo them.
func TestWriteRestored(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	w.Sent(5, held, fault.MayHaveRun)
	other := &conf.Config{Revision: 2, History: []conf.Line{{ID: "v", Revision: 2}}}
	c.Assert(w.Read(5, other, nil), quicktest.Equals, conf.Reread{})
	c.Assert(w.Read(5, held, nil), quicktest.Equals, conf.Resend{})
	// What was held after the restore has been replaced.
	c.Assert(w.Read(7, held.RebaseOnto(held), nil), quicktest.Equals, conf.Reread{})
}

// lines makes a configuration of the lines with these ids.
func lines(ids ...string) *conf.Config {
	c := (*conf.Config)(nil).Clone()
	for _, id := range ids {
		c.Revision++
		c.Record(conf.Line{ID: id, Revision: c.Revision})
	}
	return c
}

func TestChoose(t *testing.T) {
	abc, ab, abx := lines("a", "b", "c"), lines("a", "b"), lines("a", "b", "x")
	for _, test := range []struct {
		stored, own *conf.Config
		peers       uint64
		silent      bool
		want        conf.Basis
	}{
		{abc, abc, 3, true, conf.Stored},
		{abc, ab, 2, true, conf.Stored},
		{abc, nil, 0, true, conf.Stored},
		{ab, abc, 2, false, conf.Own},
		{ab, abc, 4, false, conf.Peers},
		{ab, abc, 3, true, conf.None},
		{ab, ab, 3, true, conf.None},
		// The same revision, and other lines.
		{abx, abc, 3, false, conf.Own},
		{abx, abc, 3, true, conf.None},
	} {
		got := conf.ChooseBasis(test.stored, test.own, test.peers, test.silent)
		quicktest.Assert(t, got, quicktest.Equals, test.want, quicktest.Commentf("%+v", test))
	}
}

// A store was restored, and an entry host that had not seen the newest line
// has written others on the older copy. Their revision is higher; taken, they
// would undo what was answered with done.
func TestReplaces(t *testing.T) {
	c := quicktest.New(t)
	inForce := lines("a", "b", "c")
	c.Assert(lines("a", "b", "x", "y").Supersedes(inForce), quicktest.IsFalse)
	c.Assert(lines("a", "b", "c", "d").Supersedes(inForce), quicktest.IsTrue)
	c.Assert(lines("a", "b", "c").Supersedes(inForce), quicktest.IsFalse)
	c.Assert(lines("a").Supersedes(nil), quicktest.IsTrue)
	// A host that was away for longer than the tail reaches takes what is
	// higher.
	far := lines("a", "b")
	for i := range conf.MaxHistory + 5 {
		far.Revision++
		far.Record(conf.Line{ID: fmt.Sprint(i), Revision: far.Revision})
	}
	c.Assert(far.Supersedes(lines("a", "b")), quicktest.IsTrue)
}

// An entry host starts after a restore, and hears the store before the others.
func TestBegins(t *testing.T) {
	c := quicktest.New(t)
	inForce, fork := lines("a", "b"), lines("a", "x", "y")
	c.Assert(inForce.SupersedesAtStart(nil), quicktest.IsTrue)
	c.Assert(inForce.SupersedesAtStart(fork), quicktest.IsTrue)
	c.Assert(fork.Supersedes(inForce), quicktest.IsFalse)
	c.Assert(inForce.SupersedesAtStart(lines("a", "b", "c")), quicktest.IsFalse)
	c.Assert(inForce.SupersedesAtStart(lines("a")), quicktest.IsTrue)
}

func TestClash(t *testing.T) {
	c := quicktest.New(t)
	at := &conf.Config{Revision: 9, History: []conf.Line{
		{Revision: 7, Resource: "pool lake"}, {Revision: 8, Resource: "server a1"}, {Revision: 9, Resource: "pool lake"},
	}}
	line, clash, complete := at.Conflict("pool lake", 8)
	c.Assert([]any{line.Revision, clash, complete}, quicktest.DeepEquals, []any{uint64(9), true, true})
	_, clash, complete = at.Conflict("server a1", 8)
	c.Assert([]any{clash, complete}, quicktest.DeepEquals, []any{false, true})
	_, _, complete = at.Conflict("pool pond", 5)
	c.Assert(complete, quicktest.IsFalse)
	_, _, complete = at.Conflict("pool pond", 6)
	c.Assert(complete, quicktest.IsTrue)
}
