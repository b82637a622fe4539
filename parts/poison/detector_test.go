package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/poison"
)

// Guards against a request that crashes each server that runs it and is sent
// again through any entry host: without a limit it would crash one server
// after another. A request that ran on two crashed servers by chance is not
// blocked.
func TestCounter(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var a, b poison.Counter
	fingerprint := poison.NewFingerprint("choir", "POST", "/ask/1", "body")
	a.RecordCrash(fingerprint, "i-1", now)
	a.RecordCrash(fingerprint, "i-1", now)
	a.RecordCrash(fingerprint, "i-2", now)
	qt.Assert(t, a.Blocked(fingerprint, now), qt.IsFalse)
	qt.Assert(t, a.Suspects(now), qt.HasLen, 1)
	for _, s := range a.Suspects(now) {
		b.Merge(s, now)
	}
	b.RecordCrash(fingerprint, "i-3", now)
	qt.Assert(t, b.Blocked(fingerprint, now), qt.IsTrue)
	qt.Assert(t, b.Blocked(poison.NewFingerprint("choir", "POST", "/ask/1", "other"), now), qt.IsFalse)
	qt.Assert(t, b.Blocked(fingerprint, now.Add(2*time.Minute)), qt.IsFalse)
}

// Guards against blocking a harmless request that many callers send while
// three servers crash for other reasons: once one of them succeeds, none may
// be blocked, whatever other entry hosts still report.
func TestSuccessClearsRequest(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var a poison.Counter
	fingerprint := poison.NewFingerprint("choir", "GET", "/look/1")
	for _, server := range []string{"i-1", "i-2", "i-3"} {
		a.RecordCrash(fingerprint, server, now)
	}
	suspects := a.Suspects(now)
	qt.Assert(t, a.Blocked(fingerprint, now), qt.IsTrue)
	a.RecordSuccess(fingerprint, now)
	for _, s := range suspects {
		a.Merge(s, now)
	}
	qt.Assert(t, a.Blocked(fingerprint, now), qt.IsFalse)
}
