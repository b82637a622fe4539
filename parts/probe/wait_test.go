package probe_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/probe"
)

// An entry host is short of processor time: answers that take two milliseconds
// elsewhere take it sixty. With a bound that suits the others every server seems
// dead to it, and each answer under way is run once more by another.
func TestSlowHostWaitsLonger(t *testing.T) {
	w := &probe.Timeout{}
	qt.Assert(t, w.Current(), qt.Equals, probe.MinTimeout)
	for range 20 {
		w.Record(2*time.Millisecond, true)
	}
	qt.Assert(t, w.Current(), qt.Equals, probe.MinTimeout)
	// What is beyond the bound is seen by a later, longer question only.
	for range 6 {
		w.Record(60*time.Millisecond, w.Current() > 60*time.Millisecond)
	}
	qt.Assert(t, w.Current() > 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", w.Current()))
	qt.Assert(t, w.Current() <= probe.MaxTimeout, qt.IsTrue)
	for range 60 {
		w.Record(2*time.Millisecond, true)
	}
	qt.Assert(t, w.Current(), qt.Equals, probe.MinTimeout)
}

// The process got no processor time while it waited, and an answer lies unread.
func TestHeldUp(t *testing.T) {
	qt.Assert(t, probe.Stalled(40*time.Millisecond, 45*time.Millisecond), qt.IsFalse)
	qt.Assert(t, probe.Stalled(40*time.Millisecond, 90*time.Millisecond), qt.IsTrue)
}
