package pause_test

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/pause"
)

// Guards against a pause that a later response shortens, that outlasts the process which
// requested it, or that does not bind because the restart is not known yet.
func TestPause(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	first := pause.Process{Address: "a", StartedAt: at(-100)}
	second := pause.Process{Address: "a", StartedAt: at(5)}
	type request struct {
		process        pause.Process
		length         time.Duration
		sent, received float64
	}
	for _, c := range []struct {
		name     string
		requests []request
		process  pause.Process
		at       float64
		want     time.Duration
	}{
		{"none", nil, first, 0, 0},
		{"counts from the response", []request{{first, 3 * time.Second, 0, 1}}, first, 1, 3 * time.Second},
		{"ended", []request{{first, 3 * time.Second, 0, 1}}, first, 4, 0},
		{"not positive", []request{{first, 0, 0, 1}, {first, -time.Second, 0, 1}}, first, 1, 0},
		{"bounded", []request{{first, 1 << 62, 0, 1}}, first, 1, time.Hour},
		{"longer", []request{{first, 3 * time.Second, 0, 1}, {first, 3 * time.Second, 0, 2}}, first, 2, 3 * time.Second},
		{"shorter", []request{{first, 9 * time.Second, 0, 1}, {first, time.Second, 0, 2}}, first, 2, 8 * time.Second},
		{"another address", []request{{first, 9 * time.Second, 0, 1}}, pause.Process{Address: "b"}, 2, 0},
		{"new process", []request{{first, 90 * time.Second, 0, 1}}, second, 6, 0},
		{"new process, start not known yet", []request{{first, 90 * time.Second, 6, 7}}, second, 7, 90 * time.Second},
		{"new process asks for less", []request{{first, 90 * time.Second, 0, 1}, {second, time.Second, 6, 7}}, second, 7, time.Second},
		{"clock of this host is behind", []request{{second, 9 * time.Second, 0, 1}}, second, 1, 9 * time.Second},
		{"start not known", []request{{pause.Process{Address: "a"}, 9 * time.Second, 0, 1}}, first, 1, 9 * time.Second},
	} {
		tracker := &pause.Tracker{Log: slog.New(slog.DiscardHandler)}
		for _, r := range c.requests {
			tracker.Add(r.process, r.length, at(r.sent), at(r.received))
		}
		qt.Check(t, tracker.Remaining(c.process, at(c.at)), qt.Equals, c.want, qt.Commentf(c.name))
		tracker.Sweep(at(4000))
		qt.Check(t, tracker.Count(at(0)), qt.Equals, 0, qt.Commentf(c.name))
	}
}
