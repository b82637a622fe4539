package probe_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/probe"
)

// Guards against a fixed timeout on an entry host that is short of processor
// time: answers that usually take two milliseconds take sixty, every server
// would seem to have failed, and each stream in progress would be restarted on
// another one.
func TestTimeoutAdaptsToSlowHost(t *testing.T) {
	timeout := &probe.Timeout{}
	qt.Assert(t, timeout.Current(), qt.Equals, probe.MinTimeout)
	for range 20 {
		timeout.Record(2*time.Millisecond, true)
	}
	qt.Assert(t, timeout.Current(), qt.Equals, probe.MinTimeout)
	// Answers that come after the timeout are seen only by a later probe with
	// a longer timeout.
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
