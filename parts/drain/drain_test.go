package drain_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/drain"
)

func TestEvaluate(t *testing.T) {
	idle := drain.Report{Cordoned: true, Revision: 7}
	for _, test := range []struct {
		name       string
		entryHosts []string
		reports    map[string]drain.Report
		want       drain.Outcome
	}{{
		name:       "all idle",
		entryHosts: []string{"e1", "e2"},
		reports:    map[string]drain.Report{"e1": idle, "e2": idle},
		want:       drain.Outcome{Safe: true},
	}, {
		name:       "a request in flight",
		entryHosts: []string{"e1", "e2"},
		reports:    map[string]drain.Report{"e1": idle, "e2": {Cordoned: true, Revision: 9, InFlight: 2}},
		want:       drain.Outcome{InFlight: 2},
	}, {
		// A frozen entry host may hold streams that continue when it resumes.
		name:       "unresponsive is not idle",
		entryHosts: []string{"e2", "e1"},
		reports:    map[string]drain.Report{},
		want:       drain.Outcome{Unresponsive: []string{"e1", "e2"}},
	}, {
		// An entry host without the stop may start a request right after it
		// reported none.
		name:       "counted before the stop",
		entryHosts: []string{"e1", "e2"},
		reports:    map[string]drain.Report{"e1": idle, "e2": {Cordoned: true, Revision: 6}},
		want:       drain.Outcome{Lagging: []string{"e2"}},
	}, {
		name:       "planned but not begun there",
		entryHosts: []string{"e1"},
		reports:    map[string]drain.Report{"e1": {Revision: 7}},
		want:       drain.Outcome{Lagging: []string{"e1"}},
	}, {
		name:       "no entry host",
		entryHosts: nil,
		reports:    map[string]drain.Report{"e1": idle},
		want:       drain.Outcome{},
	}} {
		t.Run(test.name, func(t *testing.T) {
			got := drain.Evaluate(7, test.entryHosts, test.reports)
			quicktest.Assert(t, got, quicktest.DeepEquals, test.want)
		})
	}
}
