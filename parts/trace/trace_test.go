package trace_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/trace"
)

// Guards against a timeline that shows an effect before its cause: the clock of
// one host is an hour ahead of the clock of the host that gets its message.
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

// Guards against memory growth: a process records far more events than it
// keeps, and the newest remain.
func TestRecorderKeepsNewest(t *testing.T) {
	recorder := &trace.Recorder{Process: "e1"}
	for i := range 2*trace.RingSize + 3 {
		recorder.Record("gate", "", fmt.Sprint(i))
	}
	events := recorder.Find("")
	qt.Assert(t, events, qt.HasLen, trace.RingSize)
	qt.Assert(t, events[len(events)-1].Message, qt.Equals, fmt.Sprint(2*trace.RingSize+2))
}
