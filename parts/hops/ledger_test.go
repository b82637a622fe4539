package hops_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/hops"
)

// Guards against a server that leaves while the object API is away, and is tried
// by a request every 200 ms although it refuses them all.
func TestServerThatGoesOnRefusingIsTriedLessOften(t *testing.T) {
	var l hops.Ledger
	now := time.Unix(1_000_000, 0)
	tries := 0
	for range 1000 {
		l.Sweep(now)
		if !l.Used("a").Full {
			tries++
			l.Refused("a", now)
		}
		// Others that were on their way do not lengthen the pause.
		l.Refused("a", now)
		now = now.Add(10 * time.Millisecond)
	}
	qt.Check(t, tries <= 10, qt.IsTrue, qt.Commentf("%d tries in 10 s", tries))
	qt.Check(t, tries >= 8, qt.IsTrue, qt.Commentf("%d tries in 10 s", tries))
}

// Guards against a server that was full for a moment and stays unused.
func TestServerThatAcceptsAgainIsUsed(t *testing.T) {
	var l hops.Ledger
	now := time.Unix(1_000_000, 0)
	chain := hops.Chain{{Server: server("a", "d", "small", 0, 80), First: 0, End: 80}}
	for range 3 {
		l.Refused("a", now)
		qt.Check(t, l.Used("a").Full, qt.IsTrue)
		now = now.Add(250 * time.Millisecond)
		l.Sweep(now)
		qt.Check(t, l.Used("a").Full, qt.IsFalse)
		l.Accepted(chain)
	}
}
