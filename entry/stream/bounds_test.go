package stream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/route"
)

// An operator bears longer pauses on one route than on another. Waits that were
// set for the first would give answers up while callers of the second still
// wait, or let requests wait for room beyond the time in which the first event
// counts.
func TestWaitsFollowTheRoute(t *testing.T) {
	quick := &route.Route{Target: 200 * time.Millisecond, MaxGap: 100 * time.Millisecond, CallerTimeout: 2 * time.Second}
	slow := &route.Route{Target: 2 * time.Second, MaxGap: time.Second, CallerTimeout: 8 * time.Second}
	for _, r := range []*route.Route{quick, slow, chat, {}} {
		target, gap, bears := r.Target, r.MaxGap, r.CallerTimeout
		if target == 0 {
			target, gap = defaultTarget, defaultGap
		}
		if bears == 0 {
			bears = defaultSilence
		}
		qt.Check(t, longestWait(r) < target, qt.IsTrue)
		qt.Check(t, silentStart(r) < target, qt.IsTrue)
		qt.Check(t, silentEvent(r)+probe.MinTimeout < gap, qt.IsTrue)
		qt.Check(t, linkWait(r) < gap, qt.IsTrue)
		qt.Check(t, restartWait(r) < rerouteWait(r) && rerouteWait(r) < bears, qt.IsTrue)
	}
	qt.Check(t, longestWait(slow) == 10*longestWait(quick), qt.IsTrue)
}
