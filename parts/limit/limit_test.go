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
	changes := 0
	tracker := &limit.Tracker{
		Self: "e1", Hosts: func() ([]string, bool) { return nil, true }, OnChange: func() { changes++ }, Log: slog.New(slog.DiscardHandler),
	}
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, step := range []struct {
		response limit.Response
		changes  int
		limited  int
	}{
		{limit.Response{Ran: true, SentAt: at(0), ReceivedAt: at(10)}, 0, 0},
		{limit.Response{Limited: true, Rate: 5, SentAt: at(0), ReceivedAt: at(100)}, 1, 1},
		{limit.Response{Limited: true, Rate: 5, SentAt: at(0), ReceivedAt: at(110)}, 1, 1},
		{limit.Response{Ran: true, SentAt: at(50), ReceivedAt: at(200)}, 1, 1},
		{limit.Response{SentAt: at(150), ReceivedAt: at(200)}, 1, 1},
		{limit.Response{Ran: true, SentAt: at(150), ReceivedAt: at(200)}, 2, 0},
	} {
		tracker.Observe("a", step.response)
		qt.Check(t, changes, qt.Equals, step.changes, qt.Commentf("%+v", step.response))
		qt.Check(t, tracker.Limited(), qt.Equals, step.limited, qt.Commentf("%+v", step.response))
	}
}
