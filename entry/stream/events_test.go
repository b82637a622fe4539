package stream

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func eventText(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
}

// A server breaks off in the midst of an event. What the caller has must end
// with a whole one, or the next run's first piece would be joined to half of
// another.
func TestOnlyWholeEventsAreForwarded(t *testing.T) {
	var e eventFilter
	qt.Assert(t, string(e.add([]byte(eventText(1)+"id: 2\nda"))), qt.Equals, eventText(1))
	qt.Assert(t, e.partial(), qt.IsTrue)
	qt.Assert(t, e.lastID, qt.Equals, "1")
	e.resume()
	qt.Assert(t, e.partial(), qt.IsFalse)
	qt.Assert(t, string(e.add([]byte(eventText(2)))), qt.Equals, eventText(2))
}

// The run that goes on begins with events that the caller has, or beyond the
// next one. The first are left out; the second is a piece that is lost, and the
// answer must not look whole.
func TestRestartDropsDuplicatesAndDetectsGaps(t *testing.T) {
	e := eventFilter{lastID: "3"}
	e.resume()
	qt.Assert(t, string(e.add([]byte(eventText(2)+eventText(3)+eventText(4)))), qt.Equals, eventText(4))
	e.resume()
	qt.Assert(t, string(e.add([]byte(eventText(6)))), qt.Equals, "")
	qt.Assert(t, e.gap, qt.IsTrue)
}

// However a stream is cut into packets and runs, the caller gets each event
// once and in order.
func TestRestartsDeliverEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "events")
		var e eventFilter
		var got strings.Builder
		for e.count < n {
			// Each run begins behind the last event that was passed on, or up
			// to two before it.
			from := max(1, e.count+1-rapid.IntRange(0, 2).Draw(t, "again"))
			if e.count == 0 {
				from = 1
			}
			e.resume()
			var attempt strings.Builder
			for i := from; i <= n; i++ {
				attempt.WriteString(eventText(i))
			}
			text := attempt.String()
			cut := rapid.IntRange(1, len(text)).Draw(t, "cut")
			for at := 0; at < cut; {
				end := min(cut, at+rapid.IntRange(1, 60).Draw(t, "packet"))
				got.Write(e.add([]byte(text[at:end])))
				at = end
			}
		}
		var want strings.Builder
		for i := 1; i <= n; i++ {
			want.WriteString(eventText(i))
		}
		if got.String() != want.String() || e.gap {
			t.Fatalf("got %q", got.String())
		}
	})
}
