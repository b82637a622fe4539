package share_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/share"
)

// Guards against demand by domain that follows the number of hosts heard from, counts hosts
// that are gone, hosts twice or repeated refusals in full, or is used before it is known.
func TestDemandByDomain(t *testing.T) {
	alive := map[domain.Name]int{"a": 1, "b": 4, "c": 2}
	for name, test := range map[string]struct {
		seconds int
		// rates returns the rates of the two hosts of domain b that are heard from.
		rates func(second int) []share.Rate
		want  map[domain.Name]share.Demand
	}{
		"too early": {2, func(int) []share.Rate { return []share.Rate{{Service: "s", Served: 10}} }, map[domain.Name]share.Demand{}},
		"even":      {30, func(int) []share.Rate { return []share.Rate{{Service: "s", Served: 10}} }, map[domain.Name]share.Demand{"a": {}, "b": {Mean: 40, Max: 40}}},
		"wave": {
			30, func(second int) []share.Rate {
				return []share.Rate{{Service: "s", Served: float64(10 + 10*(second/2%2))}}
			},
			map[domain.Name]share.Demand{"a": {}, "b": {Mean: 60, Max: 80}},
		},
		"refused":  {30, func(int) []share.Rate { return []share.Rate{{Service: "s", Served: 10, Refused: 5}} }, map[domain.Name]share.Demand{"a": {}, "b": {Mean: 60, Max: 60}}},
		"repeated": {30, func(int) []share.Rate { return []share.Rate{{Service: "s", Served: 10, Refused: 500}} }, map[domain.Name]share.Demand{"a": {}, "b": {Mean: 80, Max: 80}}},
		"invalid": {30, func(int) []share.Rate {
			return []share.Rate{{Service: "s", Served: 10}, {Service: "s", Served: math.NaN(), Refused: math.Inf(1)}, {Service: "s", Served: -5}}
		}, map[domain.Name]share.Demand{"a": {}, "b": {Mean: 40, Max: 40}}},
		"own": {30, func(int) []share.Rate { return nil }, map[domain.Name]share.Demand{}},
		"gone before": {50, func(second int) []share.Rate {
			return map[bool][]share.Rate{true: {{Service: "s", Served: 10}}}[second < 20]
		}, map[domain.Name]share.Demand{}},
	} {
		t.Run(name, func(t *testing.T) {
			tr, start := newTracker(0, alive), time.Unix(1000, 0)
			now := start
			for i := range test.seconds * 10 {
				now = start.Add(time.Duration(i) * 100 * time.Millisecond)
				for host := range 2 {
					tr.MergeRates(fmt.Sprint("b", host), "b", test.rates(i/10), now)
				}
				tr.MergeRates("0", "a", []share.Rate{{Service: "s", Served: 1000}}, now)
				tr.Sweep(now)
			}
			qt.Check(t, tr.Demand("s", now), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a host that tells others of no demand, or of that of others as its own,
// while a service is not contended, and against messages that grow with their number.
func TestRatesOfUncontendedServices(t *testing.T) {
	tr, now := newTracker(0, map[domain.Name]int{"a": 2}), time.Unix(1000, 0)
	qt.Check(t, tr.Rates(now), qt.DeepEquals, []share.Rate{})
	tr.MergeRates("1", "a", []share.Rate{{Service: "s", Served: 5}}, now)
	tr.Begin(share.Class{Service: "s", Team: "x"}, 20, now)
	tr.Begin(share.Class{Service: "s", Team: "y"}, 20, now)
	qt.Check(t, tr.Rates(now), qt.DeepEquals, []share.Rate{{Service: "s", Served: 20}})
	qt.Check(t, tr.Rows(now), qt.HasLen, 0)
	for i := range 100 {
		tr.Begin(share.Class{Service: fmt.Sprint(i)}, 10, now)
	}
	qt.Check(t, tr.Rates(now), qt.HasLen, 16)
}
