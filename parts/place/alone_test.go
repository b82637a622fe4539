package place_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
)

// Guards against a standalone capacity that counts servers of other domains, servers that
// leave or are suspected, or a domain that lacks layers.
func TestStandalone(t *testing.T) {
	for name, test := range map[string]struct {
		change func(s *fleet.Server)
		want   func(before, after map[domain.Name]float64) bool
	}{
		"nothing":    {func(*fleet.Server) {}, func(b, a map[domain.Name]float64) bool { return len(a) == 3 && a["a"] == b["a"] }},
		"leaves":     {func(s *fleet.Server) { s.Leaving = true }, func(b, a map[domain.Name]float64) bool { return a["a"] < b["a"] && a["b"] == b["b"] }},
		"suspected":  {func(s *fleet.Server) { s.Suspected = true }, func(b, a map[domain.Name]float64) bool { return a["a"] < b["a"] && a["b"] == b["b"] }},
		"slow":       {func(s *fleet.Server) { s.SlowdownFactor = 5 }, func(b, a map[domain.Name]float64) bool { return a["a"] < b["a"] }},
		"incomplete": {func(s *fleet.Server) { s.First, s.End = 0, 0 }, func(_, a map[domain.Name]float64) bool { _, known := a["a"]; return !known }},
	} {
		list := threeDomains()
		apply(place.Plan(engine(), list, stable))
		before := place.Standalone(engine(), list)
		for _, s := range list {
			if s.Domain == "a" && (s.Accelerator == "h100" || name == "incomplete") {
				test.change(s)
			}
		}
		if name == "leaves" || name == "suspected" {
			// Another server takes the layers over.
			first := list[0]
			list = append(list, &fleet.Server{ID: "other", Domain: "a", Accelerator: "a100s", First: first.First, End: min(first.End, first.First+20)},
				&fleet.Server{ID: "another", Domain: "a", Accelerator: "a100s", First: min(first.End, first.First+20), End: first.End})
		}
		after := place.Standalone(engine(), list)
		qt.Check(t, test.want(before, after), qt.IsTrue, qt.Commentf("%s: %v, then %v", name, before, after))
	}
}

// Guards against an expected loss that ignores the maximum of the demand, or counts it as if
// it lasted.
func TestExcess(t *testing.T) {
	for _, test := range []struct{ mean, highest, capacity, want float64 }{
		{100, 100, 120, 0}, {100, 150, 120, 15}, {100, 150, 40, 60}, {100, 100, 40, 60}, {0, 0, 0, 0},
	} {
		qt.Check(t, place.Demand{Mean: test.mean, Max: test.highest}.Excess(test.capacity), qt.Equals, test.want)
	}
}
