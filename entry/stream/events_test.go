package stream

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "fuchsiashelf.dev/parts/seed"
)

func eventText(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
}

// Guards against forwarding part of an event when a server fails in the middle of
// it: the first event of the restarted stream would be appended to that part.
func TestOnlyWholeEventsAreForwarded(t *testing.T) {
	var e eventFilter
	qt.Assert(t, string(e.add([]byte(eventText(1)+"id: 2\nda"))), qt.Equals, eventText(1))
	qt.Assert(t, e.partial(), qt.IsTrue)
	qt.Assert(t, e.lastID, qt.Equals, "1")
	e.resume()
	qt.Assert(t, e.partial(), qt.IsFalse)
	qt.Assert(t, string(e.add([]byte(eventText(2)))), qt.Equals, eventText(2))
}

// Guards against a restarted stream that repeats events or skips one: repeated
// events must be dropped, and a response with a missing event must not look
// complete.
func TestRestartDropsDuplicatesAndDetectsSkippedEvents(t *testing.T) {
	e := eventFilter{lastID: "3"}
	e.resume()
	qt.Assert(t, string(e.add([]byte(eventText(2)+eventText(3)+eventText(4)))), qt.Equals, eventText(4))
	e.resume()
	qt.Assert(t, string(e.add([]byte(eventText(6)))), qt.Equals, "")
	qt.Assert(t, e.skipped, qt.IsTrue)
}

// However a stream is split into packets and attempts, the caller gets each event
// once and in order.
func TestRestartsDeliverEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "events")
		var e eventFilter
		var got strings.Builder
		for e.count < n {
			// Each attempt starts after the last forwarded event, or up to two
			// events before it.
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
		if got.String() != want.String() || e.skipped {
			t.Fatalf("got %q", got.String())
		}
	})
}
