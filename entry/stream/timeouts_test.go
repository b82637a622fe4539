package stream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/route"
)

// Guards against timeouts that do not depend on the route. Timeouts for a route with
// short gaps would end responses of a slower route whose callers still wait; timeouts
// for a slow route would keep requests queued beyond the target for the first event.
func TestTimeoutsFollowRouteObjectives(t *testing.T) {
	quick := &route.Route{Target: 200 * time.Millisecond, MaxGap: 100 * time.Millisecond, CallerTimeout: 2 * time.Second}
	slow := &route.Route{Target: 2 * time.Second, MaxGap: time.Second, CallerTimeout: 8 * time.Second}
	for _, r := range []*route.Route{quick, slow, testRoute, {}} {
		target, gap, callerTimeout := r.Target, r.MaxGap, r.CallerTimeout
		if target == 0 {
			target, gap = defaultTarget, defaultMaxGap
		}
		if callerTimeout == 0 {
			callerTimeout = defaultCallerTimeout
		}
		qt.Check(t, maxQueueWait(r) < target, qt.IsTrue)
		qt.Check(t, silentStartTimeout(r) < target, qt.IsTrue)
		qt.Check(t, silentTimeout(r)+probe.MinTimeout < gap, qt.IsTrue)
		qt.Check(t, maxLinkWait(r) < gap, qt.IsTrue)
		qt.Check(t, restartTimeout(r) < restartSearchWait(r) && restartSearchWait(r) < callerTimeout, qt.IsTrue)
	}
	qt.Check(t, maxQueueWait(slow) == 10*maxQueueWait(quick), qt.IsTrue)
}
