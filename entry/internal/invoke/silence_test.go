package invoke

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/rule"
	"fuchsiashelf.dev/parts/wait"
)

// Calls were ended, or sent again, while the server that ran them was paused.
func TestCallsOutlastSilence(t *testing.T) {
	const calls, pause = 50, 1300 * time.Millisecond
	for name, service := range map[string]rule.Service{
		"repeatable": {Name: "notes", Retryable: true}, "at most once": {Name: "booking", OptionalID: true},
	} {
		t.Run(name, func(t *testing.T) {
			servers := map[string]string{}
			var received atomic.Int64
			var running sync.WaitGroup
			running.Add(calls)
			resumed := make(chan struct{})
			for _, name := range []string{"p1", "p2"} {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					received.Add(1)
					running.Done()
					<-resumed
					w.WriteHeader(http.StatusNoContent)
				}))
				defer server.Close()
				servers[name] = strings.TrimPrefix(server.URL, "http://")
			}
			f, books := newForwarder(servers)
			f.ClaimTiming.MaxDeadline = time.Minute
			var done sync.WaitGroup
			for range calls {
				done.Go(func() {
					call := newCall("POST", "", "x")
					call.Service, call.Pool = service, books
					response, e := f.Call(t.Context(), call)
					if qt.Check(t, e == nil, qt.IsTrue, qt.Commentf("%v", e)) {
						qt.Check(t, response.Status, qt.Equals, http.StatusNoContent)
					}
				})
			}
			running.Wait()
			wait.For(context.Background(), pause)
			close(resumed)
			done.Wait()
			qt.Assert(t, received.Load(), qt.Equals, int64(calls))
		})
	}
}
