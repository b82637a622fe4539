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

func TestSettingsAreCheckedTogether(t *testing.T) {
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

// Refusals under load are part of a run, and no failure of it; each of them
// is in the report with its code and verdict.
func TestRunWritesReportAndSeries(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"code":"overloaded","verdict":"not-run"}`)
	}))
	defer s.Close()
	series := filepath.Join(c.TempDir(), "series.csv")
	var stdout strings.Builder
	status := prog.Main(context.Background(), []string{
		"-entries", s.Listener.Addr().String(), "-rate", "2000", "-max-requests", "20", "-warm", "0s",
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
