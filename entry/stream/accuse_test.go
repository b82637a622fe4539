package stream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against every entry host of all failure domains asking each dead server
// twice a second.
func TestDistantServersAreAskedLessOften(t *testing.T) {
	w, servers := watched(&engines{}, 0)
	qt.Check(t, w.recheckEvery("middle"), qt.Equals, probeEvery)
	w.LocalDomain = "b"
	qt.Check(t, w.recheckEvery("middle"), qt.Equals, probeAway)
	l := w.stream(servers, "r1", time.Second)
	qt.Check(t, w.recheckEvery("middle"), qt.Equals, probeEvery)
	w.remove(l)
	qt.Check(t, w.recheckEvery("middle"), qt.Equals, probeAway)
}
