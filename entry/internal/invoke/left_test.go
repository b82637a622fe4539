package invoke

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/rule"
)

// Guards against calls that are sent after their callers have left, although nobody waits for them.
func TestCallOfCallerThatLeftIsNotSent(t *testing.T) {
	var received atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer s.Close()
	f, books := newForwarder(map[string]string{"p1": strings.TrimPrefix(s.URL, "http://")})
	f.ClaimTiming = claim.Timing{MaxDeadline: time.Minute}
	left, leave := context.WithCancel(t.Context())
	leave()
	for _, service := range []rule.Service{{Name: "notes", Retryable: true}, {Name: "notes", OptionalID: true}} {
		call := newCall("POST", "", "x")
		call.Service, call.Pool, call.ID, call.Deadline = service, books, "", time.Now().Add(time.Minute)
		_, e := f.Call(left, call)
		qt.Assert(t, e != nil, qt.IsTrue)
		qt.Check(t, e.Verdict, qt.Equals, fault.NotRun)
	}
	qt.Assert(t, received.Load(), qt.Equals, int64(0))
}
