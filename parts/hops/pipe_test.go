package hops_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/hops"
)

// The only holder of some layers in a domain dies under sixty answers. Led
// through another domain all at once, each would wait until the prompts of all
// others have crossed.
func TestFewAnswersCrossAtOnce(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	transfer := hops.Transfer(engine(), 900)
	qt.Assert(t, transfer.Round(time.Millisecond), qt.Equals, 19*time.Millisecond)
	p := &hops.Pipe{}
	crossed := 0
	for range 60 {
		if p.Take(transfer, start) {
			crossed++
		}
	}
	qt.Assert(t, crossed, qt.Equals, 5)
	qt.Assert(t, p.Take(transfer, start.Add(transfer)), qt.IsTrue)
	qt.Assert(t, p.Take(transfer, start.Add(transfer)), qt.IsFalse)
}
