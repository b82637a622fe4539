package conf_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/fault"
)

// stored is the configuration that the object holds when the writes are built.
var stored = &conf.Config{Revision: 2, History: []conf.Line{{ID: "w", Revision: 2}}}

// Guards against a wrong answer to the operator when a write takes effect but
// its reply is lost: reported as refused, the line would be sent again;
// reported as done without a read, it might never be in force.
func TestWriteLostReply(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	c.Assert(w.Read(5, stored, nil), quicktest.Equals, conf.Build{})
	w.Sent(5, stored, fault.MayHaveRun)
	c.Assert(w.Uncertain(), quicktest.IsTrue)
	c.Assert(w.Read(5, stored, nil), quicktest.Equals, conf.Resend{})
	// The second copy finds a later version, perhaps written by the first copy.
	w.Sent(5, stored, fault.NotRun)
	c.Assert(w.Uncertain(), quicktest.IsTrue)
	line := conf.Line{ID: "x", Revision: 3}
	c.Assert(w.Read(6, stored, &line), quicktest.Equals, conf.Accepted{Line: line})
	c.Assert(w.Uncertain(), quicktest.IsFalse)
}

// Another entry host's line increases the version after the reply was lost. The
// write can no longer take effect and may be built anew.
func TestWriteSuperseded(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	w.Sent(5, stored, fault.MayHaveRun)
	c.Assert(w.Read(7, stored, nil), quicktest.Equals, conf.Build{})
	c.Assert(w.Uncertain(), quicktest.IsFalse)
}

// Guards against a stale replica that answers the read after a lost reply: its
// version is below that of the write and says nothing about it.
func TestWriteStaleRead(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	w.Sent(5, stored, fault.MayHaveRun)
	c.Assert(w.Read(4, stored, nil), quicktest.Equals, conf.Reread{})
	c.Assert(w.Uncertain(), quicktest.IsTrue)
}

// Guards against a write that undoes other lines: the object API is restored
// after a reply was lost and counts versions anew, so the version of the write
// stands for another configuration.
func TestWriteAfterRestore(t *testing.T) {
	c := quicktest.New(t)
	var w conf.Write
	w.Sent(5, stored, fault.MayHaveRun)
	other := &conf.Config{Revision: 2, History: []conf.Line{{ID: "v", Revision: 2}}}
	c.Assert(w.Read(5, other, nil), quicktest.Equals, conf.Reread{})
	c.Assert(w.Read(5, stored, nil), quicktest.Equals, conf.Resend{})
	// The configuration that was stored after the restore has been replaced.
	c.Assert(w.Read(7, stored.RebaseOnto(stored), nil), quicktest.Equals, conf.Reread{})
}

// lines returns a configuration made by lines with the given IDs.
func lines(ids ...string) *conf.Config {
	c := (*conf.Config)(nil).Clone()
	for _, id := range ids {
		c.Revision++
		c.Record(conf.Line{ID: id, Revision: c.Revision})
	}
	return c
}

func TestChooseBasis(t *testing.T) {
	abc, ab, abx := lines("a", "b", "c"), lines("a", "b"), lines("a", "b", "x")
	for _, test := range []struct {
		stored, local *conf.Config
		peerRevision  uint64
		unresponsive  bool
		want          conf.Basis
	}{
		{abc, abc, 3, true, conf.Stored},
		{abc, ab, 2, true, conf.Stored},
		{abc, nil, 0, true, conf.Stored},
		{ab, abc, 2, false, conf.Local},
		{ab, abc, 4, false, conf.Peers},
		{ab, abc, 3, true, conf.None},
		{ab, ab, 3, true, conf.None},
		// The same revision with other lines.
		{abx, abc, 3, false, conf.Local},
		{abx, abc, 3, true, conf.None},
	} {
		got := conf.ChooseBasis(test.stored, test.local, test.peerRevision, test.unresponsive)
		quicktest.Assert(t, got, quicktest.Equals, test.want, quicktest.Commentf("%+v", test))
	}
}

// Guards against lines undone after a restore: an entry host that had not seen
// the newest line has written others on top of the older copy, and their
// revision is higher.
func TestSupersedes(t *testing.T) {
	c := quicktest.New(t)
	inForce := lines("a", "b", "c")
	c.Assert(lines("a", "b", "x", "y").Supersedes(inForce), quicktest.IsFalse)
	c.Assert(lines("a", "b", "c", "d").Supersedes(inForce), quicktest.IsTrue)
	c.Assert(lines("a", "b", "c").Supersedes(inForce), quicktest.IsFalse)
	c.Assert(lines("a").Supersedes(nil), quicktest.IsTrue)
	// An entry host that was away for longer than the history reaches takes the
	// higher revision.
	newer := lines("a", "b")
	for i := range conf.MaxHistory + 5 {
		newer.Revision++
		newer.Record(conf.Line{ID: fmt.Sprint(i), Revision: newer.Revision})
	}
	c.Assert(newer.Supersedes(lines("a", "b")), quicktest.IsTrue)
}

// An entry host starts after a restore, and reads the object API before it
// queries the other entry hosts. The lines in force there must not be undone.
func TestSupersedesAtStart(t *testing.T) {
	c := quicktest.New(t)
	inForce, fork := lines("a", "b"), lines("a", "x", "y")
	c.Assert(inForce.SupersedesAtStart(nil), quicktest.IsTrue)
	c.Assert(inForce.SupersedesAtStart(fork), quicktest.IsTrue)
	c.Assert(fork.Supersedes(inForce), quicktest.IsFalse)
	c.Assert(inForce.SupersedesAtStart(lines("a", "b", "c")), quicktest.IsFalse)
	c.Assert(inForce.SupersedesAtStart(lines("a")), quicktest.IsTrue)
}

func TestConflict(t *testing.T) {
	c := quicktest.New(t)
	config := &conf.Config{Revision: 9, History: []conf.Line{
		{Revision: 7, Resource: "pool lake"}, {Revision: 8, Resource: "server a1"}, {Revision: 9, Resource: "pool lake"},
	}}
	line, conflict, complete := config.Conflict("pool lake", 8)
	c.Assert([]any{line.Revision, conflict, complete}, quicktest.DeepEquals, []any{uint64(9), true, true})
	_, conflict, complete = config.Conflict("server a1", 8)
	c.Assert([]any{conflict, complete}, quicktest.DeepEquals, []any{false, true})
	_, _, complete = config.Conflict("pool pond", 5)
	c.Assert(complete, quicktest.IsFalse)
	_, _, complete = config.Conflict("pool pond", 6)
	c.Assert(complete, quicktest.IsTrue)
}
