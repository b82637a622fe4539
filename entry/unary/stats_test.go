package unary

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/subset"
)

// Guards against a new connection for each request of a plain service with many servers, and
// against requests that stay at loaded or suspected servers of a subset.
func TestPickPrefersSubset(t *testing.T) {
	var servers []*fleet.Server
	var hosts []subset.Host
	for i := range 90 {
		zone := domain.Name(rune('a' + i%3))
		servers = append(servers, &fleet.Server{ID: fmt.Sprint("s", i), Service: "booking", Address: fmt.Sprint("s:", i), Domain: zone, Slots: 6})
		hosts = append(hosts, subset.Host{Name: fmt.Sprint("host-", i), Domain: zone})
	}
	view := fleet.New(servers)
	subsets := &subset.Tracker{
		Self: hosts[0], Hosts: func() []subset.Host { return hosts }, View: func() *fleet.View { return view },
		Engine:   func(string) (*route.Engine, bool) { return nil, true },
		IdleTime: func() time.Duration { return time.Second }, Log: slog.New(slog.DiscardHandler),
	}
	subsets.Update(time.Now())
	set := subsets.Set("booking")
	for _, test := range []struct {
		name string
		// took is the duration of calls at the servers of the subset; it is 15 ms elsewhere.
		took      time.Duration
		suspected bool
		// min and max bound the share of requests that go to local servers of the subset.
		min, max float64
	}{
		{"usual", 15 * time.Millisecond, false, 0.9, 1},
		{"slow subset", 60 * time.Millisecond, false, 0, 0.01},
		{"suspected subset", 15 * time.Millisecond, true, 0, 0.01},
	} {
		t.Run(test.name, func(t *testing.T) {
			stats := &Stats{Subsets: subsets}
			list := make([]*fleet.Server, len(servers))
			for i, s := range servers {
				changed := *s
				took := 15 * time.Millisecond
				if set.Has(s.ID) && s.Domain == "a" {
					changed.Suspected = test.suspected
					took = test.took
				}
				list[i] = &changed
				for range 100 {
					stats.Begin(s.ID)(took, false)
				}
			}
			const requests = 500
			in, local := 0.0, 0.0
			for range requests {
				s := stats.Pick(list, "a", nil)
				if s.Domain == "a" {
					local++
					if set.Has(s.ID) {
						in++
					}
				}
			}
			qt.Check(t, local/requests >= 0.8, qt.IsTrue, qt.Commentf("%.0f of %d local", local, requests))
			qt.Check(t, in/requests >= test.min && in/requests <= test.max, qt.IsTrue, qt.Commentf("%.0f of %d in the subset", in, requests))
		})
	}
}

// Guards against statistics of replaced servers that are kept for ever, and against the loss of those
// of servers with requests in flight.
func TestStatsOfReplacedServersAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Stats{}
		done := s.Begin("busy")
		for i := range 20 {
			s.Pick([]*fleet.Server{{ID: fmt.Sprint(i), Address: fmt.Sprint(i)}}, "", nil)
			time.Sleep(statsAge / 2)
		}
		qt.Check(t, len(s.servers) <= 4, qt.IsTrue, qt.Commentf("%d", len(s.servers)))
		done(time.Second, false)
		qt.Check(t, s.servers["busy"].inFlight, qt.Equals, 0)
	})
}
