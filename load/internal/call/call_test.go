package call_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/load/internal/call"
	"fuchsiashelf.dev/load/internal/plan"
	"fuchsiashelf.dev/stand/token"
)

const layers = 24

// tokenCounter is a call.TokenObserver that counts tokens.
type tokenCounter struct{ tokens int }

func (c *tokenCounter) Token(time.Time) { c.tokens++ }

func events(lines ...string) string {
	return strings.Join(lines, "\n\n") + "\n\n"
}

func event(kind, data string) string {
	return "event: " + kind + "\ndata: " + data
}

// Guards against counting truncated responses, or responses with wrong or repeated
// tokens, as goodput: they look like valid streams, and the report would hide
// failures.
func TestIncorrectResponsesAreDetected(t *testing.T) {
	correct := token.Expected("p", layers, 2)
	tokens := []string{}
	for i, text := range correct {
		tokens = append(tokens, event("token", fmt.Sprintf(`{"index":%d,"token":%q}`, i, text)))
	}
	end := event("end", `{"count":2}`)
	for _, test := range []struct {
		name, body string
		status     int
		want       call.Outcome
	}{
		{"complete", events(tokens[0], tokens[1], end), 200, call.Outcome{Result: call.Complete}},
		{"truncated", events(tokens[0], tokens[1]), 200, call.Outcome{Result: call.Lost}},
		{"short", events(tokens[0], event("end", `{"count":1}`)), 200, call.Outcome{Result: call.Wrong}},
		{"wrong token", events(event("token", `{"index":0,"token":"x"}`), tokens[1], end), 200, call.Outcome{Result: call.Wrong}},
		{"repeated", events(tokens[0], tokens[0], tokens[1], end), 200, call.Outcome{Result: call.Wrong}},
		{
			"failed", events(tokens[0], event("error", `{"code":"server-failed","verdict":"may-have-run"}`)), 200,
			call.Outcome{Result: call.Failed, Code: "server-failed", Verdict: "may-have-run"},
		},
		{
			"refused", `{"code":"overloaded","verdict":"not-run"}`, 503,
			call.Outcome{Result: call.Refused, Code: "overloaded", Verdict: "not-run"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer s.Close()
			entry := s.Listener.Addr().String()
			caller := &call.Caller{Entries: []string{entry}, Service: "assist", Layers: layers, Timeout: time.Minute}
			got := caller.Do(context.Background(), plan.Arrival{Team: "cantata", Prompt: "p", Tokens: 2}, &tokenCounter{})
			test.want.Entry = entry
			c.Assert(got, qt.Equals, test.want)
		})
	}
}

func TestPlainResponseOfAnotherCallerIsWrong(t *testing.T) {
	c := qt.New(t)
	own := true
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !own {
			body = []byte("another")
		}
		fmt.Fprintf(w, `{"body":%q}`, body)
	}))
	defer s.Close()
	caller := &call.Caller{
		Entries: []string{s.Listener.Addr().String()}, Timeout: time.Minute,
		Plain: call.Plain{Method: http.MethodPost, URI: "/booking/x", ID: true},
	}
	arrival := plan.Arrival{Plain: true, Team: "cantata", Serial: 3}
	c.Assert(caller.Do(context.Background(), arrival, &tokenCounter{}).Result, qt.Equals, call.Complete)
	own = false
	c.Assert(caller.Do(context.Background(), arrival, &tokenCounter{}).Result, qt.Equals, call.Wrong)
}
