package prog_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/load/prog"
)

// Guards against an error that reports only the first of several invalid flags.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	c := qt.New(t)
	var stderr strings.Builder
	status := prog.Main(context.Background(), []string{
		"-entries", "here", "-rate", "fast", "-teams", "a:0", "-tokens", "0", "-duration", "1s",
		"-plain-share", "2", "-max-open", "0", "-o", "xml", "-tick", "0s",
	}, nil, io.Discard, &stderr)
	c.Assert(status, qt.Equals, 2)
	for _, name := range []string{"entries", "rate", "teams", "tokens", "duration", "plain-share", "max-open", "o", "tick"} {
		c.Check(stderr.String(), qt.Contains, "-"+name+": ")
	}
}

// Guards against a run that fails because requests were refused. The report must
// count the refusals by code and verdict.
func TestRunWritesReportAndSeries(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"code":"overloaded","verdict":"not-run"}`)
	}))
	defer server.Close()
	series := filepath.Join(c.TempDir(), "series.csv")
	var stdout strings.Builder
	status := prog.Main(context.Background(), []string{
		"-entries", server.Listener.Addr().String(), "-rate", "2000", "-max-requests", "20", "-warm", "0s",
		"-duration", "100ms", "-o", "json", "-series", series,
	}, nil, &stdout, io.Discard)
	c.Assert(status, qt.Equals, 0)
	var report struct {
		Offered, Refused, Skipped int
		Codes                     map[string]int
	}
	c.Assert(json.Unmarshal([]byte(stdout.String()), &report), qt.IsNil)
	c.Assert(report.Offered, qt.Equals, 20)
	c.Assert(report.Refused, qt.Equals, 20)
	c.Assert(report.Codes, qt.DeepEquals, map[string]int{"overloaded not-run": 20})
	rows, err := os.ReadFile(series)
	c.Assert(err, qt.IsNil)
	c.Assert(string(rows), qt.Contains, "at_ms,offered,tokens")
}
