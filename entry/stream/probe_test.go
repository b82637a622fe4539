package stream

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/parts/poison"
)

// testFingerprint is that of the request in these tests.
var testFingerprint = poison.Fingerprint("seven")

// Guards against laying a later crash to a request that failed on a server that had just
// answered: it would be blocked as one that crashes servers.
func TestFailedRequestIsNotBlamedForLaterCrash(t *testing.T) {
	e := &fakeEngines{}
	m, _ := newMonitor(e, 1)
	m.Crashes.RecordCrash(testFingerprint, "other-0", time.Now())
	m.markHealthy("middle", "middle", time.Now())
	job := &call.Job{Request: &call.Request{ID: "r"}, Fingerprint: testFingerprint}
	m.ProbeFor(job, "middle", "no answer")
	waitUntil(func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !m.probing["middle"]
	})
	m.markSuspected("middle", "middle", "another request", dialer.ErrExited, time.Now())
	qt.Assert(t, m.Crashes.Suspects(time.Now()), qt.HasLen, 0)
}

// Guards against laying a refused or reset connection to a request that ran on the server,
// although the link to the server may be cut.
func TestRefusedConnectionIsNoCrash(t *testing.T) {
	for _, err := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET} {
		m, _ := newMonitor(&fakeEngines{}, 1)
		m.Crashes.RecordCrash(testFingerprint, "other-0", time.Now())
		m.recordFailedRequest("middle", &call.Job{Request: &call.Request{ID: "r"}, Fingerprint: testFingerprint})
		m.markSuspected("middle", "middle", "test", err, time.Now())
		qt.Assert(t, m.Crashes.Suspects(time.Now()), qt.HasLen, 0)
		qt.Assert(t, m.hasExited("middle"), qt.IsFalse)
	}
}

// Guards against overlooking that a request crashed a server that had answered just
// before, or that has restarted at its address before it is probed.
func TestCrashIsRecordedAgainstRequest(t *testing.T) {
	for _, e := range []*fakeEngines{
		{reportErrors: map[string]error{"middle": dialer.ErrExited}},
		{startedAt: map[string]time.Time{"middle": time.Now().Add(time.Hour)}},
	} {
		m, _ := newMonitor(e, 1)
		m.Crashes.RecordCrash(testFingerprint, "other-0", time.Now())
		m.markHealthy("middle", "middle", time.Now())
		m.ProbeFor(&call.Job{Request: &call.Request{ID: "r"}, Fingerprint: testFingerprint}, "middle", "no answer")
		waitUntil(func() bool { return len(m.Crashes.Suspects(time.Now())) == 1 })
		waitUntil(func() bool { return m.State.View().ByAddress("middle").Suspected })
	}
}

// waitUntil waits until a condition holds. The timeout of the test ends a wait in vain.
func waitUntil(condition func() bool) {
	for !condition() {
		tick := time.NewTimer(time.Millisecond)
		<-tick.C
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
}
