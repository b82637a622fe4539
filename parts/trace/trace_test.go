package trace_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/trace"
)

// One host's clock is an hour ahead of the other's. A message goes from it to
// the slow one, whose answer would sort before the question, and an operator
// would read the time line backwards.
func TestEffectSortsAfterCause(t *testing.T) {
	ahead := &trace.Recorder{Process: "e1"}
	behind := &trace.Recorder{Process: "e2"}
	const hour = 3_600_000_000_000
	ahead.Observe(ahead.Now() + hour)

	ahead.Record("mesh", "r1", "asked")
	behind.Observe(ahead.Now())
	behind.Record("mesh", "r1", "answered")

	events := append(behind.Find("r1"), ahead.Find("r1")...)
	trace.Sort(events)
	qt.Assert(t, events[0].Message, qt.Equals, "asked")
	qt.Assert(t, events[1].Message, qt.Equals, "answered")
}

// A process makes far more events than it keeps. The newest stay; memory
// does not grow.
func TestKeepsTheNewest(t *testing.T) {
	line := &trace.Recorder{Process: "e1"}
	for i := range 2*trace.RingSize + 3 {
		line.Record("gate", "", fmt.Sprint(i))
	}
	events := line.Find("")
	qt.Assert(t, events, qt.HasLen, trace.RingSize)
	qt.Assert(t, events[len(events)-1].Message, qt.Equals, fmt.Sprint(2*trace.RingSize+2))
}
