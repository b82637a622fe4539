package router_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/subset"
)

// subsetQuery returns a query for 90 servers of three failure domains, two of three of them
// first ones, with the subset of one of 90 hosts.
func subsetQuery() *router.Query {
	var servers []*fleet.Server
	var hosts []subset.Host
	for i := range 90 {
		zone := domain.Name(rune('a' + i%3))
		first, end := 0, 40
		if i/3%3 == 0 {
			first, end = 40, layers
		}
		servers = append(servers, server(fmt.Sprintf("%s%d", zone, i), zone, "big", first, end))
		hosts = append(hosts, subset.Host{Name: fmt.Sprint("host-", i), Domain: zone})
	}
	q := query(servers...)
	q.Subset = subset.Of(hosts[0], hosts, subset.Candidates(q.Engine, "a", servers), 1)
	return q
}

// Guards against a new connection for each request, and against requests that wait or fail
// at the servers of a subset although there are others.
func TestPrefersSubset(t *testing.T) {
	inSubset := func(q *router.Query, change func(s *fleet.Server)) {
		for i, s := range q.Servers {
			if s.Domain == "a" && s.First == 0 && q.Subset.Has(s.ID) {
				changed := *s
				change(&changed)
				q.Servers[i] = &changed
			}
		}
	}
	load := func(requests float64) func(q *router.Query) {
		return func(q *router.Query) {
			q.Used = func(id string) router.Usage {
				if i := slices.IndexFunc(q.Servers, func(s *fleet.Server) bool { return s.ID == id }); !q.Subset.Has(id) || q.Servers[i].First > 0 {
					return router.Usage{}
				}
				return router.Usage{Requests: requests, Starts: requests}
			}
		}
	}
	for _, test := range []struct {
		name   string
		change func(q *router.Query)
		in     bool
		zone   domain.Name
	}{
		{"idle", func(*router.Query) {}, true, "a"},
		{"a few requests", load(4), true, "a"},
		{"many requests", load(80), false, "a"},
		{"all have crashed", func(q *router.Query) { inSubset(q, func(s *fleet.Server) { s.Suspected = true }) }, false, "a"},
		{"all refuse", func(q *router.Query) {
			q.Used = func(id string) router.Usage { return router.Usage{Full: q.Subset.Has(id) && id[0] == 'a'} }
		}, false, "a"},
		{"another domain does not come first", func(q *router.Query) {
			q.Servers = slices.DeleteFunc(q.Servers, func(s *fleet.Server) bool {
				return s.Domain == "a" && s.First == 0 && q.Subset.Has(s.ID)
			})
		}, false, "a"},
		{"domain without first servers", func(q *router.Query) {
			q.Servers = slices.DeleteFunc(q.Servers, func(s *fleet.Server) bool { return s.Domain == "a" && s.First == 0 })
		}, true, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := subsetQuery()
			test.change(q)
			chain := q.Pick()
			qt.Assert(t, chain, qt.IsNotNil)
			first := chain[0].Server
			qt.Check(t, q.Subset.Has(first.ID), qt.Equals, test.in, qt.Commentf("%s", chain))
			if test.zone != "" {
				qt.Check(t, first.Domain, qt.Equals, test.zone, qt.Commentf("%s", chain))
			}
		})
	}
}

// Guards against allocations for each server in the choice of each request.
func TestSubsetDoesNotAllocate(t *testing.T) {
	q := subsetQuery()
	with := testing.AllocsPerRun(50, func() { q.Pick() })
	q.Subset = nil
	qt.Check(t, with, qt.Equals, testing.AllocsPerRun(50, func() { q.Pick() }))
}

func BenchmarkPickWithSubset(b *testing.B) {
	for _, with := range []bool{false, true} {
		b.Run(fmt.Sprint(with), func(b *testing.B) {
			q := subsetQuery()
			if !with {
				q.Subset = nil
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Pick()
			}
		})
	}
}
