package stream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/route"
)

// Guards against timeouts that do not follow the route. Set for a route with short
// gaps, they would end responses while callers of a slower route still wait; set for
// a slow route, they would keep requests queued beyond the target of the first
// event.
func TestTimeoutsFollowRouteObjectives(t *testing.T) {
	quick := &route.Route{Target: 200 * time.Millisecond, MaxGap: 100 * time.Millisecond, CallerTimeout: 2 * time.Second}
	slow := &route.Route{Target: 2 * time.Second, MaxGap: time.Second, CallerTimeout: 8 * time.Second}
	for _, r := range []*route.Route{quick, slow, testRoute, {}} {
		target, gap, callerTimeout := r.Target, r.MaxGap, r.CallerTimeout
		if target == 0 {
			target, gap = defaultTarget, defaultGap
		}
		if callerTimeout == 0 {
			callerTimeout = defaultSilence
		}
		qt.Check(t, maxQueueWait(r) < target, qt.IsTrue)
		qt.Check(t, silentStartTimeout(r) < target, qt.IsTrue)
		qt.Check(t, silentTimeout(r)+probe.MinTimeout < gap, qt.IsTrue)
		qt.Check(t, maxLinkWait(r) < gap, qt.IsTrue)
		qt.Check(t, restartTimeout(r) < restartSearchWait(r) && restartSearchWait(r) < callerTimeout, qt.IsTrue)
	}
	qt.Check(t, maxQueueWait(slow) == 10*maxQueueWait(quick), qt.IsTrue)
}
