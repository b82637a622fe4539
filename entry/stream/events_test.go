package stream

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
}

// A server breaks off in the midst of an event. What the caller has must end
// with a whole one, or the next run's first piece would be joined to half of
// another.
func TestOnlyWholeEventsPass(t *testing.T) {
	var e events
	qt.Assert(t, string(e.add([]byte(event(1)+"id: 2\nda"))), qt.Equals, event(1))
	qt.Assert(t, e.partial(), qt.IsTrue)
	qt.Assert(t, e.last, qt.Equals, "1")
	e.resume()
	qt.Assert(t, e.partial(), qt.IsFalse)
	qt.Assert(t, string(e.add([]byte(event(2)))), qt.Equals, event(2))
}

// The run that goes on begins with events that the caller has, or beyond the
// next one. The first are left out; the second is a piece that is lost, and the
// answer must not look whole.
func TestResumedRunIsChecked(t *testing.T) {
	e := events{last: "3"}
	e.resume()
	qt.Assert(t, string(e.add([]byte(event(2)+event(3)+event(4)))), qt.Equals, event(4))
	e.resume()
	qt.Assert(t, string(e.add([]byte(event(6)))), qt.Equals, "")
	qt.Assert(t, e.gap, qt.IsTrue)
}

// However a stream is cut into packets and runs, the caller gets each event
// once and in order.
func TestRunsJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "events")
		var e events
		var got strings.Builder
		for e.count < n {
			// Each run begins behind the last event that was passed on, or up
			// to two before it.
			from := max(1, e.count+1-rapid.IntRange(0, 2).Draw(t, "again"))
			if e.count == 0 {
				from = 1
			}
			e.resume()
			var run strings.Builder
			for i := from; i <= n; i++ {
				run.WriteString(event(i))
			}
			text := run.String()
			cut := rapid.IntRange(1, len(text)).Draw(t, "cut")
			for at := 0; at < cut; {
				end := min(cut, at+rapid.IntRange(1, 60).Draw(t, "packet"))
				got.Write(e.add([]byte(text[at:end])))
				at = end
			}
		}
		var want strings.Builder
		for i := 1; i <= n; i++ {
			want.WriteString(event(i))
		}
		if got.String() != want.String() || e.gap {
			t.Fatalf("got %q", got.String())
		}
	})
}
