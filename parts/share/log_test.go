package share_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/share"
)

// recorder records log messages, and calls a function for each.
type recorder struct {
	slog.Handler
	messages []string
	called   func()
}

func (r *recorder) Handle(_ context.Context, record slog.Record) error {
	r.messages = append(r.messages, record.Message)
	r.called()
	return nil
}

func (r *recorder) Enabled(context.Context, slog.Level) bool { return true }

// record returns what a tracker logs in 30 s, in which a request of each of some classes is
// refused at intervals.
func record(interval time.Duration, classes ...share.Class) []string {
	tr, start := newTracker(0, map[domain.Name]int{"a": 1}), time.Unix(1000, 0)
	r := &recorder{called: func() { tr.Rows(start) }} // This needs the mutex.
	tr.Log = slog.New(r)
	for i, c := range classes {
		tr.Begin(c, float64(1000/(i+1)), start)
	}
	for at := time.Duration(0); at < 30*time.Second; at += sweep {
		for _, c := range classes {
			if at%interval == 0 {
				tr.Refuse(c, 50, start.Add(at))
			}
		}
		tr.Sweep(start.Add(at))
	}
	return r.messages
}

// Guards against lines at each start and end of contentions that follow each other, against
// lines that say nothing since nobody leaves anything free, against an end whose start was
// not logged, and against a lock that is held while a line is logged.
func TestLinesAreBounded(t *testing.T) {
	const contended, free = "shares: contended", "shares: free"
	qt.Check(t, record(sweep, large), qt.HasLen, 0)
	qt.Check(t, record(2500*time.Millisecond, large), qt.HasLen, 0)
	lasting := record(sweep, large, small)
	qt.Check(t, lasting, qt.DeepEquals, []string{contended, contended, contended, contended, contended, contended})
	repeated := record(2500*time.Millisecond, large, small)
	qt.Check(t, len(repeated) >= 8 && len(repeated) <= 12, qt.IsTrue, qt.Commentf("%d", len(repeated)))
	for i, message := range repeated {
		qt.Check(t, message, qt.Equals, []string{contended, free}[i%2])
	}
}
