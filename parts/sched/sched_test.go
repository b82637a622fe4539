package sched_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/sched"
)

var start = time.Unix(1_700_000_000, 0)

// after returns a time after start.
func after(d time.Duration) time.Time { return start.Add(d) }

// Guards against a host that is out of processor time and does not notice, or does not notice that
// it has enough again; short delays now and then are neither.
func TestMeter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pending func()
		m := sched.Meter{AfterRound: func(f func()) { pending = f }}
		// probe lets a probe take a time, and reports whether the state has changed then.
		probe := func(took time.Duration) bool {
			m.Probe()
			synctest.Wait()
			time.Sleep(took)
			changed := m.Sample(time.Now())
			pending()
			return changed
		}
		for range 20 {
			qt.Assert(t, probe(time.Millisecond), qt.IsFalse)
			time.Sleep(sched.SampleInterval)
		}
		qt.Assert(t, probe(30*time.Millisecond), qt.IsFalse)
		qt.Assert(t, probe(300*time.Millisecond), qt.IsTrue)
		qt.Assert(t, m.Saturated(), qt.IsTrue)
		time.Sleep(800 * time.Millisecond)
		qt.Assert(t, probe(time.Millisecond), qt.IsFalse)
		time.Sleep(800 * time.Millisecond)
		qt.Assert(t, probe(time.Millisecond), qt.IsTrue)
		qt.Assert(t, m.Saturated(), qt.IsFalse)
		qt.Assert(t, m.Lost(time.Now()), qt.Equals, 0.0)
	})
}

// Guards against a host that takes many times its load at once, and one that takes no more than it
// had although it carries it.
func TestGateFollowsLoad(t *testing.T) {
	var g sched.Gate
	now, inFlight := start, 0
	step := func(arrivals int, lost float64) (accepted int) {
		now = now.Add(sched.SampleInterval)
		g.Sample(inFlight, lost, now)
		for range arrivals {
			if g.Accept(inFlight, false, now) {
				inFlight, accepted = inFlight+1, accepted+1
			}
		}
		return accepted
	}
	qt.Assert(t, step(500, 0), qt.Equals, 200)
	qt.Assert(t, step(500, 0), qt.Equals, 60)
	qt.Assert(t, step(500, 0), qt.Equals, 78)
	qt.Assert(t, step(500, 0.5), qt.Equals, 0)
	qt.Assert(t, g.Limit(), qt.Equals, 253)
	inFlight = 200
	qt.Assert(t, step(500, 0), qt.Equals, 66)
	for range 40 {
		step(0, 0)
	}
	inFlight = 0
	step(0, 0)
	step(0, 0)
	qt.Assert(t, g.Limit(), qt.Equals, 200)
}

// Guards against a process that closes connections as if it lacked processor time, until it has
// measured that for the first time.
func TestGateAcceptsFromItsStart(t *testing.T) {
	var g sched.Gate
	accepted := 0
	for g.Accept(accepted, false, start) && accepted < 500 {
		accepted++
	}
	qt.Assert(t, accepted, qt.Equals, 200)
	qt.Assert(t, g.Admit(200, false), qt.IsTrue)
	qt.Assert(t, g.Admit(201, false), qt.IsFalse)
}

// Guards against closing the connections of all callers where no other host is left, and against
// reading all their requests.
func TestGateTellsSomeCallersWhenAlone(t *testing.T) {
	var g sched.Gate
	g.Sample(0, 0, start)
	g.Accept(0, true, after(2*time.Second))
	read := 0
	for range 500 {
		if g.Accept(200, true, after(2*time.Second)) {
			read++
		}
	}
	qt.Assert(t, read, qt.Equals, 50)
	qt.Assert(t, g.Accept(200, false, after(2*time.Second)), qt.IsFalse)
}

// Guards against a host that takes no new request for as long as those in flight take.
func TestGateNeverStops(t *testing.T) {
	var g sched.Gate
	served := 0
	for n := range 100 {
		now := after(time.Duration(n) * 50 * time.Millisecond)
		g.Sample(1000, 0.9, now)
		if g.Accept(1000, false, now) && g.Admit(1001, false) {
			served++
		}
	}
	qt.Assert(t, served, qt.Equals, 25)
	qt.Assert(t, g.Admit(1001, false), qt.IsFalse)
}

// Guards against preferring new connections to those that callers have kept.
func TestGatePrefersKeptConnections(t *testing.T) {
	var g sched.Gate
	g.Sample(0, 0, start)
	qt.Assert(t, g.Admit(200, false), qt.IsTrue)
	qt.Assert(t, g.Admit(201, false), qt.IsFalse)
	qt.Assert(t, g.Admit(250, true), qt.IsTrue)
	qt.Assert(t, g.Admit(251, true), qt.IsFalse)
}
