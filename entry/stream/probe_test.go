package stream

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/poison"
)

// testCauses are those of the request in these tests.
var testCauses = poison.Causes("seven", nil)

// suspectTestCauses records crashes of other servers, one fewer than needed to block the
// request.
func suspectTestCauses(m *Monitor) {
	for i := range poison.MinCrashes - 1 {
		at := time.Now().Add(time.Duration(i-10) * time.Second)
		m.Crashes.RecordCrash(fmt.Sprintf("other-%d", i), []poison.Victim{{Causes: testCauses}}, at, at)
	}
}

// isBlocked reports whether the request is blocked.
func isBlocked(m *Monitor) bool {
	cause, _ := m.Crashes.Blocked(testCauses, time.Now())
	return cause != ""
}

// Guards against laying a later crash to a request that failed on a server that had just
// answered: it would be blocked as one that crashes servers.
func TestFailedRequestIsNotBlamedForLaterCrash(t *testing.T) {
	e := &fakeEngines{}
	m, servers := newMonitor(e, 1)
	suspectTestCauses(m)
	m.markHealthy("middle", "middle", time.Now())
	middle := servers["middle"]
	m.ProbeFor(&call.Job{Request: &call.Request{ID: "r"}, Causes: testCauses}, &middle, true, "no answer")
	waitUntil(func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !m.probing["middle"]
	})
	m.markSuspected("middle", "middle", "another request", dialer.ErrExited, time.Now())
	qt.Assert(t, isBlocked(m), qt.IsFalse)
}

// Guards against laying a refused or reset connection to a request that ran on the server,
// although the link to the server may be cut.
func TestRefusedConnectionIsNoCrash(t *testing.T) {
	for _, err := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET} {
		m, servers := newMonitor(&fakeEngines{}, 1)
		suspectTestCauses(m)
		middle := servers["middle"]
		m.recordFailedRequest(&middle, &call.Job{Request: &call.Request{ID: "r"}, Causes: testCauses}, time.Time{}, true)
		m.markSuspected("middle", "middle", "test", err, time.Now())
		qt.Assert(t, isBlocked(m), qt.IsFalse)
		qt.Assert(t, m.hasExited("middle"), qt.IsFalse)
	}
}

// Guards against overlooking that a request crashed a server that had answered just
// before, or that has restarted at its address before it is probed, and against laying a crash
// to a request that the server did not get or had begun to answer.
func TestCrashIsRecordedAgainstRequest(t *testing.T) {
	for _, mayBeCause := range []bool{true, false} {
		for _, e := range []*fakeEngines{
			{reportErrors: map[string]error{"middle": dialer.ErrExited}},
			{startedAt: map[string]time.Time{"middle": time.Now().Add(time.Hour)}},
		} {
			m, servers := newMonitor(e, 1)
			suspectTestCauses(m)
			m.markHealthy("middle", "middle", time.Now())
			middle := servers["middle"]
			m.ProbeFor(&call.Job{Request: &call.Request{ID: "r"}, Causes: testCauses}, &middle, mayBeCause, "no answer")
			waitUntil(func() bool { return m.State.View().ByAddress("middle").Suspected })
			waitUntil(func() bool { return m.hasExited("middle") || isBlocked(m) })
			waitUntil(func() bool { return isBlocked(m) == mayBeCause })
		}
	}
}

// Guards against overlooking the requests that wait for a first event when a later server of
// their chain crashes, and against blaming those that have got answers.
func TestCrashOfLaterServerIsRecorded(t *testing.T) {
	for _, answered := range []bool{false, true} {
		m, servers := newMonitor(&fakeEngines{}, 1)
		suspectTestCauses(m)
		stream := m.addStream(servers, "r", time.Second)
		stream.job.Causes = testCauses
		stream.answered.Store(answered)
		m.markSuspected("middle", "middle", "no report", dialer.ErrExited, time.Now())
		qt.Assert(t, isBlocked(m), qt.Equals, !answered)
	}
}

// waitUntil waits until a condition holds. The timeout of the test ends a wait in vain.
func waitUntil(condition func() bool) {
	for !condition() {
		tick := time.NewTimer(time.Millisecond)
		<-tick.C
	}
}

// Guards against a paused server that counts as lost on the word of another entry host.
func TestSuspectedServerIsSilentOrLost(t *testing.T) {
	for err, lost := range map[error]bool{
		&conns.NoAnswerError{NewConn: true, Cause: context.DeadlineExceeded}: false,
		&conns.NoAnswerError{Cause: context.DeadlineExceeded}:                true,
		syscall.ECONNREFUSED: true, dialer.ErrExited: true,
	} {
		m, _ := newMonitor(&fakeEngines{reportErrors: map[string]error{"middle": &fault.Error{Cause: err}}}, 1)
		var dropped atomic.Bool
		m.DropConns = func(string) { dropped.Store(true) }
		m.Probe("middle", "suspected by another entry host")
		waitUntil(func() bool { return m.State.View().ByAddress("middle").Suspected })
		qt.Check(t, m.State.View().ByAddress("middle").Lost(), qt.Equals, lost, qt.Commentf("%#v", err))
		qt.Check(t, dropped.Load() || errors.Is(err, dialer.ErrExited), qt.IsTrue)
	}
}

// Guards against every entry host of all failure domains probing each failed server
// twice a second.
func TestRemoteServersAreProbedLessOften(t *testing.T) {
	m, servers := newMonitor(&fakeEngines{}, 0)
	qt.Check(t, m.probeInterval("middle"), qt.Equals, suspectProbeInterval)
	m.LocalDomain = "b"
	qt.Check(t, m.probeInterval("middle"), qt.Equals, remoteProbeInterval)
	stream := m.addStream(servers, "r1", time.Second)
	qt.Check(t, m.probeInterval("middle"), qt.Equals, suspectProbeInterval)
	m.remove(stream)
	qt.Check(t, m.probeInterval("middle"), qt.Equals, remoteProbeInterval)
	// Whether a silent server is lost is decided by a probe.
	m.State.SuspectSilent("middle", time.Now().Add(time.Minute), time.Now())
	qt.Check(t, m.probeInterval("middle") < remoteProbeInterval, qt.IsTrue)
}
