package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/poison"
)

// A request crashes each server that runs it, and its caller sends it again,
// through any entry host. Without a bound it would take one server after the
// other. One that was on two dying servers by chance goes on.
func TestTally(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var a, b poison.Counter
	print := poison.NewFingerprint("choir", "POST", "/ask/1", "body")
	a.RecordCrash(print, "i-1", now)
	a.RecordCrash(print, "i-1", now)
	a.RecordCrash(print, "i-2", now)
	qt.Assert(t, a.Blocked(print, now), qt.IsFalse)
	qt.Assert(t, a.Suspects(now), qt.HasLen, 1)
	for _, m := range a.Suspects(now) {
		b.Merge(m, now)
	}
	b.RecordCrash(print, "i-3", now)
	qt.Assert(t, b.Blocked(print, now), qt.IsTrue)
	qt.Assert(t, b.Blocked(poison.NewFingerprint("choir", "POST", "/ask/1", "other"), now), qt.IsFalse)
	qt.Assert(t, b.Blocked(print, now.Add(2*time.Minute)), qt.IsFalse)
}

// Many callers send the same look-up on a day on which three servers die. One
// of them is served: it crashes nothing, and none may be refused for it,
// whatever other entry hosts still tell.
func TestServedRequestsAreCleared(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var a poison.Counter
	print := poison.NewFingerprint("choir", "GET", "/look/1")
	for _, server := range []string{"i-1", "i-2", "i-3"} {
		a.RecordCrash(print, server, now)
	}
	marks := a.Suspects(now)
	qt.Assert(t, a.Blocked(print, now), qt.IsTrue)
	a.RecordSuccess(print, now)
	for _, m := range marks {
		a.Merge(m, now)
	}
	qt.Assert(t, a.Blocked(print, now), qt.IsFalse)
}
