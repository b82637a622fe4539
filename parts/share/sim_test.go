package share_test

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/share"
)

const (
	tick     = 10 * time.Millisecond
	sweep    = 100 * time.Millisecond
	exchange = 400 * time.Millisecond
)

// sim runs requests at hosts that share one server, in virtual time. There is no queue: a
// request looks for capacity in each tick for a while, in the order of arrival.
type sim struct {
	now      time.Time
	capacity float64
	used     float64
	hosts    []*share.Tracker
	running  []*request
	waiting  []*request
	random   *rand.Rand
	// sent, served and refused count requests.
	sent, served, refused map[share.Class]int
}

// load is a stream of requests of one class at one host: either perSecond, or that of a
// number of callers, of which each sends one request after the other.
type load struct {
	class     share.Class
	host      int
	perSecond float64
	callers   int
	work      float64
	// hold is the mean time that a request takes; the shortest takes half of it.
	hold time.Duration
	// wait is how long a request looks for capacity, and pause the time after which a
	// caller repeats a refused one.
	wait, pause time.Duration
}

type request struct {
	*load
	since, until time.Time
	done         func()
}

func newSim(hosts int, capacity float64) *sim {
	s := &sim{now: time.Unix(1000, 0), capacity: capacity, random: rand.New(rand.NewPCG(1, 2)), sent: map[share.Class]int{}, served: map[share.Class]int{}, refused: map[share.Class]int{}}
	for i := range hosts {
		s.hosts = append(s.hosts, newTracker(i, map[domain.Name]int{"a": hosts}))
	}
	return s
}

func newTracker(n int, alive map[domain.Name]int) *share.Tracker {
	return &share.Tracker{
		Self: fmt.Sprint(n), Domain: "a", Log: slog.New(slog.DiscardHandler),
		Alive: func() map[domain.Name]int { return alive },
	}
}

// run runs the loads for a while.
func (s *sim) run(length time.Duration, loads ...*load) {
	for _, l := range loads {
		for range l.callers {
			s.waiting = append(s.waiting, &request{load: l, since: s.now.Add(time.Duration(s.random.IntN(100)) * time.Millisecond)})
		}
	}
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(tick) {
		s.exchange()
		s.end()
		for _, l := range loads {
			if l.perSecond > 0 && s.random.Float64() < l.perSecond*tick.Seconds() {
				s.sent[l.class]++
				s.waiting = append(s.waiting, &request{load: l, since: s.now})
			}
		}
		s.admit()
	}
}

// exchange lets each host exchange demand with a random other one, and sweep.
func (s *sim) exchange() {
	at := s.now.Sub(time.Unix(1000, 0))
	for i, h := range s.hosts {
		if at%exchange == 0 {
			other := s.hosts[(i+1+s.random.IntN(max(1, len(s.hosts)-1)))%len(s.hosts)]
			other.Merge(h.Self, h.Domain, h.Rows(s.now), s.now)
			h.Merge(other.Self, other.Domain, other.Rows(s.now), s.now)
		}
		if at%sweep == 0 {
			h.Sweep(s.now)
		}
	}
}

// end ends the requests that have run long enough. Callers send their next ones.
func (s *sim) end() {
	var running []*request
	for _, r := range s.running {
		if s.now.Before(r.until) {
			running = append(running, r)
			continue
		}
		r.done()
		s.used -= r.work
		if r.callers > 0 {
			s.waiting = append(s.waiting, &request{load: r.load, since: s.now})
		}
	}
	s.running = running
}

// admit lets the waiting requests look for capacity.
func (s *sim) admit() {
	var waiting []*request
	for _, r := range s.waiting {
		h := s.hosts[r.host]
		switch {
		case s.now.Before(r.since):
			waiting = append(waiting, r)
		case s.used+r.work <= s.capacity*(1-h.Headroom(r.class)):
			r.stop()
			s.used += r.work
			s.served[r.class]++
			r.done, r.until = h.Begin(r.class, r.work, s.now), s.now.Add(time.Duration((0.5+s.random.Float64())*float64(r.hold)))
			s.running = append(s.running, r)
		case s.now.Sub(r.since) >= r.wait:
			r.stop()
			s.refused[r.class]++
			h.Refuse(r.class, r.work, s.now)
			if r.callers > 0 {
				waiting = append(waiting, &request{load: r.load, since: s.now.Add(r.pause)})
			}
		default:
			if r.done == nil {
				r.done = h.Wait(r.class, r.work, s.now)
			}
			waiting = append(waiting, r)
		}
	}
	s.waiting = waiting
}

// stop ends the wait of a request.
func (r *request) stop() {
	if r.done != nil {
		r.done()
	}
}

var (
	large  = share.Class{Service: "s", Team: "large"}
	small  = share.Class{Service: "s", Team: "small"}
	lesser = share.Class{Service: "s", Team: "large", Rank: 2}
)

// greedy returns the load of 120 callers that repeat refused requests at once, enough for
// three times the capacity of 1,850. Most of them always wait, ahead of a new request.
func greedy(c share.Class) *load {
	return &load{class: c, callers: 120, work: 50, hold: 500 * time.Millisecond, wait: time.Second, pause: 100 * time.Millisecond}
}

// modest returns the load of 15 requests a second, a sixth of the work of which fits.
func modest(host int) *load {
	return &load{class: small, host: host, perSecond: 15, work: 20, hold: 200 * time.Millisecond, wait: 800 * time.Millisecond}
}

// Guards against a team whose demand exceeds the capacity and that takes it all, from a
// team at the same host or at another one, or as a less urgent rank; and against a reserve
// that costs it more than a tenth.
func TestLargeDemandLeavesRoom(t *testing.T) {
	alone := newSim(1, 1850)
	alone.run(12*time.Second, greedy(large))
	for name, test := range map[string]struct {
		hosts, host int
		class       share.Class
	}{
		"same host": {1, 0, large}, "two hosts": {2, 1, large}, "rank": {1, 0, lesser}, "rank, two hosts": {2, 1, lesser},
	} {
		s := newSim(test.hosts, 1850)
		s.run(12*time.Second, greedy(test.class), modest(test.host))
		t.Logf("%s: %d of %d, %d, alone %d", name, s.served[small], s.sent[small], s.served[test.class], alone.served[large])
		qt.Check(t, s.served[small] > s.sent[small]*9/10, qt.IsTrue, qt.Commentf("%s: %d", name, s.served[small]))
		qt.Check(t, s.served[test.class] > alone.served[large]*8/10, qt.IsTrue, qt.Commentf("%s: %d", name, s.served[test.class]))
	}
}

// Guards against a rank that is starved by more urgent requests, and against one that gets
// as much as they.
func TestLowerRankKeepsMinimum(t *testing.T) {
	for _, hosts := range []int{1, 2} {
		s := newSim(hosts, 1850)
		less := greedy(lesser)
		less.host = hosts - 1
		s.run(20*time.Second, greedy(large), less)
		got := float64(s.served[lesser]) / float64(s.served[large]+s.served[lesser])
		t.Logf("%d hosts: %.3f", hosts, got)
		qt.Check(t, got > 1.0/20 && got < 1.0/5, qt.IsTrue, qt.Commentf("%f", got))
	}
}

// Guards against a reserve that idles so much that a lower rank is refused although there is
// capacity for all: its requests wait for the reserve, which keeps the service contended.
func TestReserveLeavesWhatFits(t *testing.T) {
	urgent := modest(0)
	urgent.work, urgent.perSecond = 50, 33 // 45% of the capacity
	less := *urgent
	urgent.hold, less.hold, less.class = 500*time.Millisecond, 500*time.Millisecond, lesser
	s := newSim(1, 1850)
	s.run(time.Minute, urgent, &less)
	t.Logf("%d of %d, %d of %d", s.served[small], s.sent[small], s.served[lesser], s.sent[lesser])
	qt.Check(t, s.served[small] > s.sent[small]*98/100, qt.IsTrue)
	qt.Check(t, s.served[lesser] > s.sent[lesser]*3/4, qt.IsTrue)
}

// Guards against a team that gains from repeating refused requests at once: it has the same
// demand as another one that comes back after a second.
func TestRepeatingGainsLittle(t *testing.T) {
	s := newSim(2, 1850)
	fast, slow := greedy(large), greedy(small)
	fast.wait, slow.wait, slow.pause, slow.host = 0, 0, time.Second, 1
	s.run(20*time.Second, fast, slow)
	ratio := float64(s.served[large]) / float64(s.served[small])
	t.Logf("%.2f", ratio)
	qt.Check(t, ratio < 1.3, qt.IsTrue, qt.Commentf("%f", ratio))
}

// Guards against reserves while there is capacity for all, and after contention has ended.
func TestNothingChangesWithoutContention(t *testing.T) {
	s := newSim(2, 1e6)
	s.run(3*time.Second, greedy(lesser), modest(1))
	for _, h := range s.hosts {
		qt.Check(t, h.Contended("s"), qt.IsFalse)
		qt.Check(t, h.Headroom(lesser), qt.Equals, 0.0)
		qt.Check(t, h.Rows(s.now), qt.HasLen, 0)
	}
	s = newSim(2, 1850)
	s.run(3*time.Second, greedy(lesser), modest(1))
	qt.Check(t, s.hosts[0].Headroom(lesser) > 0, qt.IsTrue)
	qt.Check(t, s.hosts[1].Contended("s"), qt.IsTrue)
	for _, r := range s.waiting {
		r.stop()
	}
	s.waiting, s.capacity = nil, 1e6
	s.run(6 * time.Second)
	qt.Check(t, s.hosts[0].Headroom(lesser), qt.Equals, 0.0)
	qt.Check(t, s.hosts[1].Contended("s"), qt.IsFalse)
}

// runningOf returns the work of a class that runs at all hosts, as far as a tracker knows.
func runningOf(tr *share.Tracker, c share.Class, now time.Time) float64 {
	for _, s := range tr.Stats(now) {
		if s.Class == c {
			return s.Running
		}
	}
	return 0
}

// Guards against a host that reserves capacity for demand of which it has had no news, or
// of hosts that have restarted or are cut off, and against one that forgets its own.
func TestOwnDemandOnlyWithoutNews(t *testing.T) {
	other := share.Class{Service: "s", Team: "other"}
	for name, lose := range map[string]func(tr *share.Tracker, alive map[domain.Name]int){
		"news stop":  func(*share.Tracker, map[domain.Name]int) {},
		"restart":    func(tr *share.Tracker, _ map[domain.Name]int) { tr.Forget("1") },
		"domain cut": func(_ *share.Tracker, alive map[domain.Name]int) { delete(alive, "b") },
	} {
		alive := map[domain.Name]int{"a": 1, "b": 2}
		tr, now := newTracker(0, alive), time.Unix(1000, 0)
		tr.Begin(large, 1000, now)
		tr.Begin(small, 50, now)
		steps := func(n int, told bool) (headroom, known float64) {
			for range n {
				now = now.Add(sweep)
				tr.Refuse(large, 50, now)
				if told {
					tr.Merge("1", "b", []share.Row{{Service: "s", Team: "other", Running: 20, Waiting: 50, Served: 70}}, now)
				}
				tr.Sweep(now)
			}
			return tr.Headroom(large), runningOf(tr, other, now)
		}
		with, known := steps(30, true)
		qt.Check(t, math.Abs(known-40) < 2, qt.IsTrue, qt.Commentf("two hosts alive, heard from one: %f", known))
		lose(tr, alive)
		after := 25
		if name == "news stop" {
			after += 30
		}
		without, known := steps(after, false)
		qt.Check(t, known < 1, qt.IsTrue, qt.Commentf("%s: %f", name, known))
		qt.Check(t, with > without+0.05, qt.IsTrue, qt.Commentf("%s: %f, %f", name, with, without))
		qt.Check(t, without > 0.01, qt.IsTrue, qt.Commentf("%s: %f", name, without))
	}
}

// Guards against a team with a request a minute at each of many hosts that counts as large,
// or as nothing: a host hears from some fifteen others in the time that news count.
func TestTeamSpreadOverManyHosts(t *testing.T) {
	const hosts = 143
	s := newSim(hosts, 143*50*3)
	var callers, rare []*load
	for i := range hosts {
		l := greedy(large)
		l.callers, l.host = 8, i
		callers = append(callers, l)
		rare = append(rare, &load{class: small, host: i, perSecond: 1.0 / 60, work: 50, hold: time.Second, wait: 800 * time.Millisecond})
	}
	s.run(3*time.Second, append(callers, rare...)...)
	const seconds = 20
	known, running, headroom := 0.0, 0.0, 0.0
	for range seconds {
		s.run(time.Second, rare...)
		for _, h := range s.hosts {
			qt.Check(t, h.Headroom(small), qt.Equals, 0.0)
			headroom += h.Headroom(large) / hosts / seconds
			known += runningOf(h, small, s.now) / hosts / seconds
		}
		for _, r := range s.running {
			if r.class == small {
				running += r.work / seconds
			}
		}
	}
	t.Logf("runs %.0f, known on average %.0f, headroom %.3f, served %d, refused %d", running, known, headroom, s.served[small], s.refused[small])
	qt.Check(t, known > 0.6*running && known < 1.6*running, qt.IsTrue, qt.Commentf("%f of %f", known, running))
	qt.Check(t, headroom > 0.003 && headroom < 0.05, qt.IsTrue, qt.Commentf("%f", headroom))
	qt.Check(t, s.served[small] > 9*s.refused[small], qt.IsTrue)
}
