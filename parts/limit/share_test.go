package limit_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/limit"
)

// fleet simulates entry hosts that send requests to one server and exchange reports.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	rate     float64
	limited  bool
	trackers map[string]*limit.Tracker
	names    []string
	// demand is the rate at which each host would send requests.
	demand map[string]float64
	// cut holds the hosts that exchange no reports.
	cut map[string]bool
	// arrivals holds the times of all requests.
	arrivals []time.Time
	// largest is the largest number of requests in any window.
	largest int
}

const (
	server       = "s"
	step         = 10 * time.Millisecond
	exchangeStep = 400 * time.Millisecond
	transit      = 20 * time.Millisecond
	window       = 4 * time.Second
)

func newFleet(hosts int, rate float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(uint64(hosts), 1)), now: time.Unix(1_000_000, 0), rate: rate, limited: true,
		trackers: map[string]*limit.Tracker{}, demand: map[string]float64{}, cut: map[string]bool{},
	}
	for i := range hosts {
		f.names = append(f.names, fmt.Sprintf("entry-%03d", i))
		f.start(f.names[i])
	}
	return f
}

// start starts a host, or starts it again with nothing known.
func (f *fleet) start(name string) {
	f.trackers[name] = &limit.Tracker{Self: name, OnChange: func() {}, Log: slog.New(slog.DiscardHandler), Hosts: func() (others []string, complete bool) {
		for _, other := range f.names {
			if other != name {
				others = append(others, other)
			}
		}
		return others, true
	}}
}

// run lets the hosts send requests for some time.
func (f *fleet) run(d time.Duration) (sent int) {
	before := len(f.arrivals)
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, name := range f.names {
			t := f.trackers[name]
			if f.random.Float64() < f.demand[name]*step.Seconds() {
				f.send(t)
			}
			if f.now.UnixMilli()%100 == 0 {
				t.Sweep(f.now)
			}
			if f.random.Float64() < step.Seconds()/exchangeStep.Seconds() {
				f.exchange(name, f.names[f.random.IntN(len(f.names))])
			}
		}
	}
	return len(f.arrivals) - before
}

func (f *fleet) send(t *limit.Tracker) {
	if !t.Take(server, f.now) {
		return
	}
	f.arrivals = append(f.arrivals, f.now)
	n := 0
	for i := len(f.arrivals) - 1; i >= 0 && f.now.Sub(f.arrivals[i]) < window; i-- {
		n++
	}
	f.largest = max(f.largest, n)
	t.Observe(server, limit.Response{Limited: f.limited, Rate: f.rate, Ran: true, SentAt: f.now, ReceivedAt: f.now.Add(transit)})
}

func (f *fleet) exchange(a, b string) {
	if a == b || f.cut[a] || f.cut[b] {
		return
	}
	sent, received := f.trackers[a].Reports(f.now.Add(-transit)), f.trackers[b].Reports(f.now.Add(-transit))
	f.trackers[b].Merge(sent, f.now)
	f.trackers[a].Merge(received, f.now)
}

// learn lets the hosts send until all know of the limit, and forgets the requests.
func (f *fleet) learn() {
	for _, name := range f.names {
		f.demand[name] = 2
	}
	f.run(3 * time.Second)
	f.arrivals, f.largest = nil, 0
}

// allowed is the number of requests that a server takes in a window.
func (f *fleet) allowed() int {
	return int(1.5*f.rate*window.Seconds()) + 5
}

// Guards against entry hosts that together exceed the rate that a server names while
// the demand moves from host to host and hosts restart.
func TestSharesAddUpToRate(t *testing.T) {
	for _, c := range []struct {
		hosts int
		rate  float64
	}{{1, 4.7}, {2, 0.5}, {4, 0}, {4, 1}, {4, 4.7}, {4, 40}, {30, 0.5}, {30, 4.7}, {100, 4.7}} {
		f := newFleet(c.hosts, c.rate)
		f.learn()
		for range 6 {
			for _, name := range f.names {
				f.demand[name] = []float64{0, 0, 1, 30}[f.random.IntN(4)]
			}
			if restarted := f.names[0]; c.hosts > 1 {
				f.start(restarted)
				f.demand[restarted] = 0
			}
			f.run(5 * time.Second)
		}
		qt.Check(t, f.largest > 0, qt.IsTrue)
		qt.Check(t, f.largest <= f.allowed(), qt.IsTrue, qt.Commentf("%d hosts, rate %v: %d requests in %s, allowed %d", c.hosts, c.rate, f.largest, window, f.allowed()))
	}
}

// Guards against a server that gets hardly any requests because its rate is divided
// among entry hosts whose callers do not need it.
func TestShareFollowsDemand(t *testing.T) {
	for _, hosts := range []int{1, 4, 30} {
		f := newFleet(hosts, 5)
		f.learn()
		for _, name := range f.names {
			f.demand[name] = 0
		}
		f.demand[f.names[hosts-1]] = 20
		f.run(10 * time.Second)
		sent := f.run(20 * time.Second)
		qt.Check(t, sent >= 75, qt.IsTrue, qt.Commentf("%d hosts: %d requests in 20 s, the limit is 100", hosts, sent))
	}
}

// Guards against an entry host that takes the whole rate while it is cut off from the
// others, which still reach the server.
func TestHostCutOffKeepsItsShare(t *testing.T) {
	f := newFleet(4, 5)
	f.learn()
	for _, name := range f.names {
		f.demand[name] = 20
	}
	f.run(5 * time.Second)
	f.cut[f.names[0]] = true
	f.run(15 * time.Second)
	qt.Check(t, f.largest <= f.allowed(), qt.IsTrue, qt.Commentf("%d requests in %s, allowed %d", f.largest, window, f.allowed()))
}

// Guards against a limit that goes on after the server has ended it, or that old
// reports bring back.
func TestEndOfLimitReachesAllHosts(t *testing.T) {
	f := newFleet(30, 1)
	f.learn()
	f.limited = false
	f.run(20 * time.Second)
	for _, name := range f.names {
		qt.Check(t, f.trackers[name].Limited(), qt.Equals, 0, qt.Commentf("%s", name))
	}
	f.run(20 * time.Second)
	for _, name := range f.names {
		qt.Check(t, f.trackers[name].Limited(), qt.Equals, 0, qt.Commentf("%s, later", name))
	}
}

// Guards against a share for an entry host that does not know yet which others exist.
func TestNoShareUntilHostsAreKnown(t *testing.T) {
	tracker := &limit.Tracker{
		Self: "e1", Hosts: func() ([]string, bool) { return nil, false }, OnChange: func() {}, Log: slog.New(slog.DiscardHandler),
	}
	now := time.Unix(1_000_000, 0)
	tracker.Observe(server, limit.Response{Limited: true, Rate: 5, SentAt: now, ReceivedAt: now})
	now = now.Add(time.Minute / 2)
	tracker.Sweep(now)
	qt.Check(t, tracker.Take(server, now), qt.IsFalse)
	qt.Check(t, tracker.Wait([]string{server}, now), qt.Equals, 5*time.Second)
}
