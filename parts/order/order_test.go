package order

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
)

// An engine is ordered to drain once its stop begins, and to load once the stop is
// cancelled.
func TestPlanFollowsStops(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	hosts := map[string]host.Host{
		"a1": {Name: "a1", Role: host.Engine}, "a2": {Name: "a2", Role: host.Engine},
		"p1": {Name: "p1", Role: host.Plain},
	}
	config := &conf.Config{Stops: map[string]conf.Stop{
		"a1": {Server: "a1"}, "a2": {Server: "a2", At: now.Add(time.Minute)}, "p1": {Server: "p1"}, "gone": {},
	}}
	c.Assert(Plan(nil, hosts, nil, nil, now), qt.HasLen, 0)
	pending := Plan(config, hosts, nil, nil, now)
	c.Assert(pending, qt.DeepEquals, []Pending{{Drain, hosts["a1"]}})
	// The holder recorded the engine and failed before it sent the order: the
	// next holder sends it.
	recorded := Insert(nil, "a1")
	c.Assert(Plan(config, hosts, recorded, nil, now), qt.DeepEquals, pending)
	c.Assert(Plan(config, hosts, recorded, Insert(nil, "a1"), now), qt.HasLen, 0)
	delete(config.Stops, "a1")
	pending = Plan(config, hosts, recorded, nil, now)
	c.Assert(pending, qt.DeepEquals, []Pending{{Load, hosts["a1"]}})
	c.Assert(Remove(recorded, "a1"), qt.HasLen, 0)
	c.Assert(FilterListed([]string{"a1", "b1"}, hosts), qt.DeepEquals, []string{"a1"})
}
