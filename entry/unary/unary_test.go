package unary

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/pause"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/route"
)

// Guards against a caller that is told to come back at the end of a long pause, because
// the server with the short one is suspected for a moment.
func TestRetryAfterCountsSuspectedServers(t *testing.T) {
	now := time.Now()
	pauses := &pause.Tracker{Log: slog.New(slog.DiscardHandler)}
	suspected, healthy := &fleet.Server{ID: "i-1", Address: "a:1", Suspected: true}, &fleet.Server{ID: "i-2", Address: "a:2"}
	pauses.Add(pause.Process{Address: suspected.Address}, 4*time.Second, now, now)
	pauses.Add(pause.Process{Address: healthy.Address}, 30*time.Second, now, now)
	f := &Forwarder{Servers: &egress.Client{Pauses: pauses}, Limits: &limit.Tracker{}}
	wait := f.retryAfter([]*fleet.Server{suspected, healthy})
	qt.Assert(t, wait >= 4*time.Second, qt.IsTrue, qt.Commentf("%v", wait))
	qt.Assert(t, wait < 8*time.Second, qt.IsTrue, qt.Commentf("%v", wait))
	leaving := *suspected
	leaving.Leaving = true
	wait = f.retryAfter([]*fleet.Server{&leaving, healthy})
	qt.Assert(t, wait >= 30*time.Second, qt.IsTrue, qt.Commentf("%v", wait))
}

// Guards against a host that relies on others to learn that servers are back while its requests have
// none.
func TestRequestWithoutServerIsNeed(t *testing.T) {
	needed := ""
	f := &Forwarder{
		State: &state.Local{}, Stats: &Stats{}, RecordNeed: func(service string) { needed = service },
		RetryBudget: func(string) *retry.WindowBudget {
			return &retry.WindowBudget{MinRetries: func() float64 { return 0 }, Window: time.Second}
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f.Serve(ctx, nil, &call.Job{Service: &route.Service{Name: "look"}, Deadline: time.Now().Add(time.Second)})
	qt.Assert(t, needed, qt.Equals, "look")
}
