package drain_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/drain"
)

func TestJudge(t *testing.T) {
	idle := drain.Report{Cordoned: true, Revision: 7}
	for _, test := range []struct {
		name    string
		entries []string
		reports map[string]drain.Report
		want    drain.Outcome
	}{{
		name:    "all idle",
		entries: []string{"e1", "e2"},
		reports: map[string]drain.Report{"e1": idle, "e2": idle},
		want:    drain.Outcome{Safe: true},
	}, {
		name:    "a request in flight",
		entries: []string{"e1", "e2"},
		reports: map[string]drain.Report{"e1": idle, "e2": {Cordoned: true, Revision: 9, InFlight: 2}},
		want:    drain.Outcome{InFlight: 2},
	}, {
		// A frozen entry may hold streams that go on when it thaws.
		name:    "silence is not idleness",
		entries: []string{"e2", "e1"},
		reports: map[string]drain.Report{},
		want:    drain.Outcome{Unresponsive: []string{"e1", "e2"}},
	}, {
		// An entry without the stop may begin a request right after it
		// reported none.
		name:    "counted before the stop",
		entries: []string{"e1", "e2"},
		reports: map[string]drain.Report{"e1": idle, "e2": {Cordoned: true, Revision: 6}},
		want:    drain.Outcome{Lagging: []string{"e2"}},
	}, {
		name:    "planned but not begun there",
		entries: []string{"e1"},
		reports: map[string]drain.Report{"e1": {Revision: 7}},
		want:    drain.Outcome{Lagging: []string{"e1"}},
	}, {
		name:    "no entry known",
		entries: nil,
		reports: map[string]drain.Report{"e1": idle},
		want:    drain.Outcome{},
	}} {
		t.Run(test.name, func(t *testing.T) {
			got := drain.Evaluate(7, test.entries, test.reports)
			quicktest.Assert(t, got, quicktest.DeepEquals, test.want)
		})
	}
}
