package order

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
)

// A stop begins, is ordered once, and is taken back.
func TestOrdersFollowTheStops(t *testing.T) {
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
	due := Plan(config, hosts, nil, nil, now)
	c.Assert(due, qt.DeepEquals, []Pending{{Drain, hosts["a1"]}})
	// The holder noted it and is gone before it ordered: the next one orders.
	noted := Insert(nil, "a1")
	c.Assert(Plan(config, hosts, noted, nil, now), qt.DeepEquals, due)
	c.Assert(Plan(config, hosts, noted, Insert(nil, "a1"), now), qt.HasLen, 0)
	delete(config.Stops, "a1")
	due = Plan(config, hosts, noted, nil, now)
	c.Assert(due, qt.DeepEquals, []Pending{{Load, hosts["a1"]}})
	c.Assert(Remove(noted, "a1"), qt.HasLen, 0)
	c.Assert(FilterListed([]string{"a1", "b1"}, hosts), qt.DeepEquals, []string{"a1"})
}
