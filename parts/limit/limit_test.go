package limit_test

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/limit"
)

// Guards against ending a limit because of a response that overtook another one: its
// request was sent before the server named the limit, or the server refused it.
func TestOnlyLaterResponseEndsLimit(t *testing.T) {
	tracker := &limit.Tracker{Log: slog.New(slog.DiscardHandler)}
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	qt.Check(t, tracker.Observe("a", limit.Response{Ran: true, SentAt: at(0), ReceivedAt: at(10)}), qt.IsFalse)
	qt.Check(t, tracker.Observe("a", limit.Response{Limited: true, Rate: 5, SentAt: at(0), ReceivedAt: at(100)}), qt.IsTrue)
	qt.Check(t, tracker.Observe("a", limit.Response{Limited: true, Rate: 5, SentAt: at(0), ReceivedAt: at(110)}), qt.IsFalse)
	qt.Check(t, tracker.Observe("a", limit.Response{Ran: true, SentAt: at(50), ReceivedAt: at(200)}), qt.IsFalse)
	qt.Check(t, tracker.Observe("a", limit.Response{SentAt: at(150), ReceivedAt: at(200)}), qt.IsFalse)
	qt.Check(t, tracker.Limited(), qt.Equals, 1)
	qt.Check(t, tracker.Observe("a", limit.Response{Ran: true, SentAt: at(150), ReceivedAt: at(200)}), qt.IsTrue)
	qt.Check(t, tracker.Limited(), qt.Equals, 0)
}
