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
	var a, b poison.Tally
	print := poison.Of("choir", "POST", "/ask/1", "body")
	a.Died(print, "i-1", now)
	a.Died(print, "i-1", now)
	a.Died(print, "i-2", now)
	qt.Assert(t, a.Convicted(print, now), qt.IsFalse)
	qt.Assert(t, a.Marks(now), qt.HasLen, 1)
	for _, m := range a.Marks(now) {
		b.Take(m, now)
	}
	b.Died(print, "i-3", now)
	qt.Assert(t, b.Convicted(print, now), qt.IsTrue)
	qt.Assert(t, b.Convicted(poison.Of("choir", "POST", "/ask/1", "other"), now), qt.IsFalse)
	qt.Assert(t, b.Convicted(print, now.Add(2*time.Minute)), qt.IsFalse)
}
