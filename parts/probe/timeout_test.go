package probe_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/probe"
)

// An entry host is short of processor time: answers that usually take two
// milliseconds take sixty. With a fixed timeout every server would seem dead,
// and each stream in progress would be started again on another one.
func TestTimeoutAdaptsToSlowHost(t *testing.T) {
	timeout := &probe.Timeout{}
	qt.Assert(t, timeout.Current(), qt.Equals, probe.MinTimeout)
	for range 20 {
		timeout.Record(2*time.Millisecond, true)
	}
	qt.Assert(t, timeout.Current(), qt.Equals, probe.MinTimeout)
	// Answers after the timeout are seen only by a later probe with a longer
	// timeout.
	for range 6 {
		timeout.Record(60*time.Millisecond, timeout.Current() > 60*time.Millisecond)
	}
	qt.Assert(t, timeout.Current() > 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", timeout.Current()))
	qt.Assert(t, timeout.Current() <= probe.MaxTimeout, qt.IsTrue)
	for range 60 {
		timeout.Record(2*time.Millisecond, true)
	}
	qt.Assert(t, timeout.Current(), qt.Equals, probe.MinTimeout)
}

// The process got no processor time while it waited, and an answer was not read
// in time.
func TestStalled(t *testing.T) {
	qt.Assert(t, probe.Stalled(40*time.Millisecond, 45*time.Millisecond), qt.IsFalse)
	qt.Assert(t, probe.Stalled(40*time.Millisecond, 90*time.Millisecond), qt.IsTrue)
}
