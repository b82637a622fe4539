package stream

import (
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/owner"
	"fuchsiashelf.dev/parts/pause"
)

// newRelyingMonitor returns a monitor of a host that does not own the server "middle", and the owners
// of the server.
func newRelyingMonitor(e *fakeEngines) (*Monitor, fakeDecoder, []string) {
	m, servers := newMonitor(e, 1)
	hosts := []string{"a", "b", "c", "d", "e"}
	for _, self := range hosts {
		m.Owners.Hosts.Self = self
		if m.Owners.Hosts.Update(hosts); !m.Owners.Hosts.Owns("middle") {
			break
		}
	}
	return m, servers, m.Owners.Hosts.Owners("middle")
}

// probes returns the number of probes that a server got.
func (e *fakeEngines) probes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.timeouts)
}

// Guards against hosts that probe a server for which they can rely on its owners, and against hosts
// that rely on them although they have a reason of their own to probe.
func TestReliesOnOwnersUnlessThereIsAReason(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(m *Monitor, servers fakeDecoder)
		by      string
		probes  bool
	}{
		"no reason":         {func(*Monitor, fakeDecoder) {}, "owner", false},
		"hint":              {func(*Monitor, fakeDecoder) {}, "elsewhere", false},
		"request failed":    {func(m *Monitor, _ fakeDecoder) { m.Owners.RecordRequest("middle", time.Now()) }, "owner", true},
		"stream":            {func(m *Monitor, servers fakeDecoder) { m.addStream(servers, "r", 0) }, "owner", true},
		"requests wait":     {func(m *Monitor, _ fakeDecoder) { m.RecordNeed("assist") }, "owner", false},
		"requests wait too": {func(m *Monitor, _ fakeDecoder) { m.RecordNeed("assist") }, "elsewhere", true},
		"other ones wait":   {func(m *Monitor, _ fakeDecoder) { m.RecordNeed("look") }, "owner", false},
		"new incarnation":   {func(*Monitor, fakeDecoder) {}, "before", false},
		"hint and a stream": {func(m *Monitor, servers fakeDecoder) { m.addStream(servers, "r", 0) }, "elsewhere", true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngines{reportErrors: map[string]error{"middle": dialer.ErrExited}}
				m, servers, owners := newRelyingMonitor(e)
				test.prepare(m, servers)
				r := owner.Result{Server: "middle", By: owners[0], At: time.Now()}
				switch test.by {
				case "elsewhere":
					r.By = test.by
				case "before":
					r.At = time.Unix(0, 0)
				}
				m.TakeResult(r)
				time.Sleep(10 * time.Millisecond)
				qt.Check(t, e.probes() > 0, qt.Equals, test.probes)
				relied := !test.probes && test.by == "owner"
				qt.Check(t, m.State.View().ByAddress("middle").Suspected, qt.Equals, relied || test.probes)
				m.Owners.Forget("middle")
				time.Sleep(suspectProbeInterval)
			})
		})
	}
}

// Guards against a host that learns late that a server is back: when requests begin to wait, when
// the owners say so, or when they say nothing any more.
func TestHostThatReliesLearnsThatServerIsBack(t *testing.T) {
	for name, test := range map[string]struct {
		news   func(m *Monitor, by string)
		within time.Duration
		probes int
	}{
		"requests wait":    {func(m *Monitor, _ string) { m.RecordNeed("assist") }, 2 * sweepInterval, 1},
		"owner":            {func(m *Monitor, by string) { m.TakeAnswer(owner.Result{Server: "middle", By: by, At: time.Now()}) }, 0, 0},
		"another domain":   {func(m *Monitor, _ string) { m.TakeAnswer(owner.Result{Server: "middle", By: "f", At: time.Now()}) }, 2 * suspectSweepInterval, 1},
		"no more results":  {func(*Monitor, string) {}, owner.ResultFor - time.Second, 1},
		"owners have died": {func(m *Monitor, _ string) { m.Owners.Hosts.Update([]string{"x", "y", "z"}) }, 2 * suspectSweepInterval, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngines{}
				m, _, owners := newRelyingMonitor(e)
				go m.Run(t.Context())
				m.TakeResult(owner.Result{Server: "middle", By: owners[0], At: time.Now()})
				time.Sleep(time.Second)
				qt.Assert(t, m.State.View().ByAddress("middle").Suspected, qt.IsTrue)
				qt.Assert(t, e.probes(), qt.Equals, 0)
				test.news(m, owners[1])
				time.Sleep(test.within)
				synctest.Wait()
				qt.Check(t, m.State.View().ByAddress("middle").Suspected, qt.IsFalse)
				qt.Check(t, e.probes(), qt.Equals, test.probes)
			})
		})
	}
}

// Guards against requests that lack capacity or layers while this host relies on others to learn that
// the servers are back.
func TestRequestWithoutChainIsNeed(t *testing.T) {
	for _, suspected := range []bool{false, true} {
		m, servers := newMonitor(&fakeEngines{}, 0)
		job := m.addStream(servers, "r", 0).job
		f := &Forwarder{State: m.State, Monitor: m, Limits: &limit.Tracker{}, Failures: &Failures{}, Servers: &egress.Client{Pauses: &pause.Tracker{}}}
		if suspected {
			m.State.Suspect("middle", time.Now().Add(time.Minute), time.Now())
		}
		chain, e := (&request{Forwarder: f, job: job}).findChain(0)
		qt.Check(t, e == nil, qt.IsTrue)
		qt.Check(t, chain, qt.HasLen, 2)
		qt.Check(t, m.needed("assist", time.Now()), qt.Equals, suspected)
	}
}

// Guards against an owner that does not tell the others that a server which it had reported is back.
func TestOwnerReportsThatServerIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{reportErrors: map[string]error{"middle": dialer.ErrExited}}
		m, _, owners := newRelyingMonitor(e)
		m.Owners.Hosts.Self = owners[0]
		var broadcasts atomic.Int64
		m.Broadcast = func() { broadcasts.Add(1) }
		m.TakeResult(owner.Result{Server: "middle", By: "elsewhere", At: time.Now()})
		time.Sleep(suspectProbeInterval)
		failed, _ := m.Owners.Results(time.Now())
		qt.Check(t, failed, qt.HasLen, 1)
		qt.Check(t, broadcasts.Load(), qt.Equals, int64(1))
		e.mu.Lock()
		e.reportErrors = nil
		e.mu.Unlock()
		time.Sleep(suspectProbeInterval)
		failed, answered := m.Owners.Results(time.Now())
		qt.Check(t, failed, qt.HasLen, 0)
		qt.Check(t, answered, qt.HasLen, 1)
		qt.Check(t, broadcasts.Load(), qt.Equals, int64(2))
	})
}

// Guards against overlooking that a request crashed a server which first only seemed unreachable,
// because this host relies on the owners when the server restarts, or on their news that it answers.
func TestCrashIsRecordedAlthoughOwnersReport(t *testing.T) {
	for _, alive := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { testCrashWithReports(t, alive) })
	}
}

func testCrashWithReports(t *testing.T, alive bool) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": syscall.ECONNREFUSED}}
	m, servers, owners := newRelyingMonitor(e)
	suspectTestCauses(m)
	middle := servers["middle"]
	m.ProbeFor(&call.Job{Request: &call.Request{ID: "r"}, Causes: testCauses}, &middle, true, "no answer")
	for range 6 {
		time.Sleep(suspectProbeInterval)
		m.TakeResult(owner.Result{Server: "middle", By: owners[0], At: time.Now()})
	}
	e.mu.Lock()
	e.reportErrors, e.startedAt = nil, map[string]time.Time{"middle": time.Now()}
	e.mu.Unlock()
	if alive {
		time.Sleep(time.Millisecond)
		m.TakeAnswer(owner.Result{Server: "middle", By: owners[1], At: time.Now()})
	}
	time.Sleep(2 * suspectProbeInterval)
	qt.Check(t, isBlocked(m), qt.IsTrue)
}

// Guards against a broadcast to many hosts by each host that accepts a suspicion or its end.
func TestAcceptedResultIsForwarded(t *testing.T) {
	m, _, owners := newRelyingMonitor(&fakeEngines{})
	var forwards int
	m.Broadcast = func() { t.Error("broadcast") }
	m.Forward = func() { forwards++ }
	m.TakeResult(owner.Result{Server: "middle", By: owners[0], At: time.Now()})
	m.TakeResult(owner.Result{Server: "middle", By: owners[0], At: time.Now().Add(time.Second)})
	qt.Check(t, forwards, qt.Equals, 1)
	m.TakeAnswer(owner.Result{Server: "middle", By: owners[0], At: time.Now().Add(2 * time.Second)})
	qt.Check(t, forwards, qt.Equals, 2)
}

// Guards against an owner that probes a restarted server for each message with a hint, until the entry
// of the server is up to date.
func TestHintsOfRestartedServerCauseFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{startedAt: map[string]time.Time{"middle": time.Now()}}
		m, _, owners := newRelyingMonitor(e)
		m.Owners.Hosts.Self = owners[0]
		go m.Run(t.Context())
		for range 50 {
			m.TakeResult(owner.Result{Server: "middle", At: time.Now()})
			time.Sleep(20 * time.Millisecond)
		}
		qt.Check(t, e.probes() <= 3, qt.IsTrue, qt.Commentf("%d probes in 1 s", e.probes()))
	})
}
