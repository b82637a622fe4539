package slot_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/slot"
)

var start = time.Unix(1000, 0)

// at returns the time some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// servers returns healthy servers of six slots, and one that leaves.
func servers(n int) []*fleet.Server {
	list := []*fleet.Server{{Slots: 6, Leaving: true}}
	for range n {
		list = append(list, &fleet.Server{Slots: 6})
	}
	return list
}

// evenly returns the demand of some hosts, which is the same at all but one of them.
func evenly(own, total float64, hosts int) slot.Demand {
	others := float64(max(hosts-1, 1))
	return slot.Demand{Own: own, Others: []slot.HostDemand{{Demand: (total - own) / others, Hosts: others}}, Hosts: hosts}
}

// newLimiter returns the limiter of a service with three servers, and calls of 15 ms.
func newLimiter(d slot.Demand) *slot.Limiter {
	l := &slot.Limiter{Work: 0.015}
	l.Capacity(servers(3))
	l.Update(d, start)
	return l
}

// Guards against shares that differ from the max-min fair level, against limits without need, and
// against limits where there are fewer hosts than slots.
func TestShare(t *testing.T) {
	const never = time.Hour
	for name, test := range map[string]struct {
		demand          slot.Demand
		active, limited bool
		share           float64
	}{
		"few hosts":                 {evenly(9, 27, 18), false, false, 1},
		"below 0.8":                 {evenly(0.1, 14.3, 180), true, false, 3.8},
		"from 0.8 on":               {evenly(0.1, 14.5, 180), true, true, 3.6},
		"overload":                  {evenly(0.15, 27, 180), true, true, 0.1},
		"little demand":             {evenly(0, 27, 181), true, true, 0.1},
		"half of the demand":        {evenly(13.5, 27, 180), true, true, 4.5},
		"restart, without messages": {slot.Demand{Own: 0.15, Hosts: 180, Age: never}, true, true, 0.1},
		"no messages, low demand":   {slot.Demand{Own: 0.05, Hosts: 180, Age: never}, true, false, 0.1},
		"alone":                     {slot.Demand{Own: 30, Hosts: 1, Age: never}, false, false, 18},
		"invalid":                   {evenly(5, -3, 0), false, false, 18},
	} {
		l := newLimiter(test.demand)
		qt.Check(t, l.Active(), qt.Equals, test.active, qt.Commentf(name))
		qt.Check(t, l.Limited(), qt.Equals, test.limited, qt.Commentf(name))
		diff := l.Share() - test.share
		qt.Check(t, diff < 1e-9 && diff > -1e-9, qt.IsTrue, qt.Commentf("%s: %f", name, l.Share()))
		ok, _ := l.Take(start)
		qt.Check(t, ok, qt.IsTrue, qt.Commentf(name))
	}
}

// Guards against calls that are limited for a second after the first server is back, without demand.
func TestNotLimitedWithoutDemand(t *testing.T) {
	l := &slot.Limiter{}
	l.Capacity(servers(0))
	l.Update(evenly(0, 0, 143), start)
	l.Capacity(servers(1))
	l.Update(evenly(0, 0, 143), at(100))
	qt.Check(t, l.Active(), qt.IsTrue)
	qt.Check(t, l.Limited(), qt.IsFalse)
}

// Guards against calls that are limited to the slots of some servers while another one, which states
// none, may have room for all.
func TestUnknownSlots(t *testing.T) {
	l := newLimiter(evenly(13.5, 27, 143))
	l.Capacity(append(servers(3), &fleet.Server{}))
	qt.Check(t, l.Active(), qt.IsFalse)
	qt.Check(t, l.Slots(), qt.Equals, 0)
}

// Guards against shares that leave slots idle where few hosts have all of the demand, or that count
// hosts without demand.
func TestShareOfUnevenDemand(t *testing.T) {
	for name, test := range map[string]struct {
		own    float64
		others []slot.HostDemand
		share  float64
	}{
		"three hosts":            {9, []slot.HostDemand{{Demand: 9, Hosts: 2}}, 6},
		"some with little":       {9, []slot.HostDemand{{Demand: 30, Hosts: 1}, {Demand: 0.1, Hosts: 60}}, 6},
		"a domain, extrapolated": {0.6, []slot.HostDemand{{Demand: 0.6, Hosts: 20}, {Demand: 0.6, Hosts: 20.5}}, 18 / 41.5},
		"above it by rounding":   {0.1, []slot.HostDemand{{Demand: 17.9 + 4e-15, Hosts: 1}, {Demand: 20}}, 17.9},
		"at the capacity":        {6, []slot.HostDemand{{Demand: 6, Hosts: 2}}, 6},
	} {
		l := newLimiter(slot.Demand{Own: test.own, Others: test.others, Hosts: 143})
		diff := l.Share() - test.share
		qt.Check(t, diff < 1e-9 && diff > -1e-9, qt.IsTrue, qt.Commentf("%s: %f", name, l.Share()))
	}
}

// Guards against a share that changes while messages are late, that stays after they have
// stopped, or that does not follow the healthy servers at once; and against calls that wait while
// there is no server.
func TestFailures(t *testing.T) {
	overload := evenly(13.5, 27, 180)
	late := func(age time.Duration) slot.Demand { return slot.Demand{Own: 13.5, Hosts: 180, Age: age} }
	for name, test := range map[string]struct {
		then    func(l *slot.Limiter)
		share   float64
		limited bool
	}{
		"messages are late":         {func(l *slot.Limiter) { l.Update(late(3*time.Second), at(100)) }, 4.5, true},
		"messages stop":             {func(l *slot.Limiter) { l.Update(late(3*time.Second+1), at(100)) }, 0.1, true},
		"a server crashes":          {func(l *slot.Limiter) { l.Capacity(servers(2)) }, 3, true},
		"all servers crash":         {func(l *slot.Limiter) { l.Capacity(servers(0)) }, 0, false},
		"servers are back":          {func(l *slot.Limiter) { l.Capacity(servers(0)); l.Capacity(servers(3)) }, 0.1, true},
		"demand falls for a moment": {func(l *slot.Limiter) { l.Update(slot.Demand{Hosts: 180}, at(900)) }, 15.77, true},
		"demand falls":              {func(l *slot.Limiter) { l.Update(slot.Demand{Hosts: 180}, at(1000)) }, 16.17, false},
	} {
		l := newLimiter(overload)
		test.then(l)
		diff := l.Share() - test.share
		qt.Check(t, diff < 0.01 && diff > -0.01, qt.IsTrue, qt.Commentf("%s: %f", name, l.Share()))
		qt.Check(t, l.Limited(), qt.Equals, test.limited, qt.Commentf(name))
	}
}

// Guards against hosts that send more than their share, or save up more than some calls of it, and
// against calls that did not run and count all the same.
func TestCredit(t *testing.T) {
	l := newLimiter(evenly(0.15, 27, 180))
	take := func(ms int) bool { ok, _ := l.Take(at(ms)); return ok }
	qt.Check(t, take(0), qt.IsTrue)
	ok, wait := l.Take(at(50))
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, wait.Round(time.Millisecond), qt.Equals, 100*time.Millisecond)
	l.Return()
	qt.Check(t, take(50), qt.IsTrue)
	qt.Check(t, take(149), qt.IsFalse)
	qt.Check(t, take(151), qt.IsTrue)
	sent := 0
	for take(10_000) {
		sent++
	}
	qt.Check(t, sent, qt.Equals, 6)
	l.Work = 60
	_, wait = l.Take(at(10_000))
	qt.Check(t, wait, qt.Equals, 5*time.Second)
	l.Work = 0
	qt.Check(t, take(10_000), qt.IsTrue)
}

// Guards against an estimate that does not follow calls which take ten times as long or as short,
// that counts waits at full servers as work, or that stays corrected.
func TestDuration(t *testing.T) {
	const call = 15 * time.Millisecond
	for name, test := range map[string]struct {
		then     func(d *slot.Duration)
		from, to time.Duration
	}{
		"steady":          {func(*slot.Duration) {}, call * 8 / 10, call},
		"ten times":       {func(d *slot.Duration) { record(d, 12, 10*call) }, 8 * call, 10 * call},
		"a tenth":         {func(d *slot.Duration) { record(d, 12, call/10) }, call * 8 / 100, call / 10},
		"some waits":      {func(d *slot.Duration) { record(d, 8, 5*call) }, call * 8 / 10, call},
		"rejected":        {func(d *slot.Duration) { reject(d, 2) }, call * 104 / 100, call * 106 / 100},
		"often rejected":  {func(d *slot.Duration) { reject(d, 200) }, call * 799 / 100, call * 8},
		"rejected before": {func(d *slot.Duration) { reject(d, 2); record(d, 12, call) }, call * 95 / 100, call},
	} {
		d := &slot.Duration{}
		d.Reject()
		qt.Check(t, d.Expected(), qt.Equals, time.Duration(0))
		record(d, 100, call)
		test.then(d)
		qt.Check(t, d.Expected() >= test.from && d.Expected() <= test.to, qt.IsTrue, qt.Commentf("%s: %s", name, d.Expected()))
	}
}

func record(d *slot.Duration, n int, took time.Duration) {
	for range n {
		d.Record(took)
	}
}

func reject(d *slot.Duration, n int) {
	for range n {
		d.Reject()
	}
}

// Guards against a full server that gets calls at once, and against one that counts as full for
// longer although it takes calls, or because of calls that were sent before.
func TestMarks(t *testing.T) {
	m := &slot.Marks{}
	for _, step := range []struct {
		ms, length int
		isNew      bool
	}{{0, 50, true}, {20, 30, false}, {50, 100, true}, {200, 200, true}, {500, 400, true}, {1000, 400, true}} {
		remaining, isNew := m.Reject("a", at(step.ms))
		qt.Check(t, remaining, qt.Equals, time.Duration(step.length)*time.Millisecond)
		qt.Check(t, isNew, qt.Equals, step.isNew)
		qt.Check(t, m.Full("a", at(step.ms+step.length-1)), qt.IsTrue)
		qt.Check(t, m.Full("a", at(step.ms+step.length)), qt.IsFalse)
		m.Sweep(at(step.ms + 2*step.length))
	}
	qt.Check(t, m.Full("b", at(0)), qt.IsFalse)
	m.Accept("a", at(1399))
	qt.Check(t, m.Full("a", at(1399)), qt.IsTrue)
	m.Accept("a", at(1400))
	remaining, _ := m.Reject("a", at(1450))
	qt.Check(t, remaining, qt.Equals, 50*time.Millisecond)
}

// BenchmarkTake measures the decision on a call: the capacity, the credit and the estimate.
func BenchmarkTake(b *testing.B) {
	l, d, list := newLimiter(evenly(0.15, 27, 180)), &slot.Duration{}, servers(3)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		l.Capacity(list)
		l.Take(now)
		d.Record(15 * time.Millisecond)
		l.Work = d.Expected().Seconds()
	}
}

func BenchmarkUpdate(b *testing.B) {
	d := evenly(0.15, 27, 180)
	l, now := newLimiter(d), start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		l.Update(d, now)
	}
}

// Guards against a small deployment that queues its calls because a server has crashed.
func TestCrashDoesNotLimitFewHosts(t *testing.T) {
	servers := []*fleet.Server{{ID: "a", Slots: 4}, {ID: "b", Slots: 4, Suspected: true}}
	for hosts, active := range map[int]bool{6: false, 9: true} {
		l := &slot.Limiter{Work: 0.1}
		l.Capacity(servers)
		l.Update(slot.Demand{Own: 4, Hosts: hosts}, time.Unix(1, 0))
		qt.Check(t, l.Active(), qt.Equals, active, qt.Commentf("%d hosts", hosts))
	}
}
