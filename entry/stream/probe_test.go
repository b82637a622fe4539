package stream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

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
