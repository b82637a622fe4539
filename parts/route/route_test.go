package route_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/route"
)

func ExampleTable_Match() {
	t := &route.Table{Routes: []route.Route{
		{Name: "all", Host: "tickets.example", Prefix: "/"},
		{Name: "places", Host: "tickets.example", Prefix: "/places/"},
	}}
	t.Index()
	fmt.Println(t.Match("tickets.example", "/places/7").Name)
	fmt.Println(t.Match("Tickets.Example:80", "/placesX").Name)
	fmt.Println(t.Match("other.example", "/"))
	// Output:
	// places
	// all
	// <nil>
}

func TestServiceForWeights(t *testing.T) {
	r := &route.Route{Shares: []route.Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	qt.Assert(t, r.ServiceFor(0), qt.Equals, "old")
	qt.Assert(t, r.ServiceFor(0.89), qt.Equals, "old")
	qt.Assert(t, r.ServiceFor(0.9), qt.Equals, "new")
	qt.Assert(t, r.ServiceFor(0.9999), qt.Equals, "new")
}

func TestTeamKeys(t *testing.T) {
	table := &route.Table{Teams: []route.Team{{Name: "choir", Keys: []string{"k1", "k2"}}}}
	table.Index()
	qt.Assert(t, table.Team("k2").Name, qt.Equals, "choir")
	qt.Assert(t, table.Team(""), qt.IsNil)
	qt.Assert(t, table.NeedsKey(&route.Route{}), qt.IsTrue)
	qt.Assert(t, table.NeedsKey(&route.Route{Public: true}), qt.IsFalse)
	qt.Assert(t, (&route.Table{}).NeedsKey(&route.Route{}), qt.IsFalse)
}

func TestRepeatable(t *testing.T) {
	qt.Assert(t, (&route.Route{Kind: route.Idempotent}).Repeatable(), qt.IsTrue)
	qt.Assert(t, (&route.Route{Kind: route.Stream}).Repeatable(), qt.IsFalse)
	qt.Assert(t, (&route.Route{Kind: route.Stream, Resumable: true}).Repeatable(), qt.IsTrue)
	qt.Assert(t, (&route.Route{Kind: route.AtMostOnce, Resumable: true}).Repeatable(), qt.IsFalse)
}

// Guards against requests that lose the priority of their route because their team has
// none of its own.
func TestPriorityOfTeamWithoutOne(t *testing.T) {
	urgent, batch := &route.Route{Priority: 0}, &route.Route{Priority: 2}
	own, none := &route.Team{Priority: 1}, &route.Team{Priority: route.RoutePriority}
	for _, test := range []struct {
		route *route.Route
		team  *route.Team
		want  int
	}{
		{urgent, nil, 0},
		{batch, nil, 2},
		{batch, none, 2},
		{batch, own, 1},
		{&route.Route{Priority: 12}, none, route.LowestPriority},
	} {
		qt.Check(t, test.route.PriorityFor(test.team), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// Guards against waits by rank that leave out routes whose requests are less urgent because of the
// priority of their team, and against new ones for services with one route.
func TestLongestTargetByPriority(t *testing.T) {
	shares := []route.Share{{Service: "assist", Weight: 1}}
	routes := []route.Route{
		{Name: "urgent", Priority: 0, Target: time.Second, Shares: shares},
		{Name: "calm", Priority: 2, Target: 4 * time.Second, Shares: shares},
		{Name: "open", Priority: 1, Shares: shares, Public: true},
	}
	const unset = 2 * time.Second
	for _, test := range []struct {
		name     string
		routes   []route.Route
		teams    []route.Team
		want     []time.Duration
		distinct bool
	}{
		{"ranks", routes, nil, []time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second, 0}, true},
		{"one route", routes[:1], nil, []time.Duration{time.Second, 0, 0, 0}, false},
		{"no target", routes[2:], nil, []time.Duration{unset, unset, 0, 0}, false},
		{"team without a priority", routes[:1], []route.Team{{Priority: route.RoutePriority}}, []time.Duration{time.Second, 0, 0, 0}, true},
		{"less urgent team", routes[:1], []route.Team{{Priority: 2}, {Priority: 1}}, []time.Duration{time.Second, time.Second, time.Second, 0}, true},
	} {
		table := &route.Table{Routes: test.routes, Teams: test.teams, Services: map[string]route.Service{"assist": {Name: "assist"}}}
		table.Index()
		service := table.Services["assist"]
		for priority, want := range test.want {
			qt.Check(t, service.LongestTarget(priority, unset), qt.Equals, want, qt.Commentf("%s, %d", test.name, priority))
		}
		qt.Check(t, service.DistinctClasses, qt.Equals, test.distinct, qt.Commentf(test.name))
	}
}
