package stream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
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
		qt.Check(t, maxQueueWait(onlyRoute(r)) < target, qt.IsTrue)
		qt.Check(t, silentStartTimeout(r) < target, qt.IsTrue)
		qt.Check(t, silentTimeout(r)+probe.MinTimeout < gap, qt.IsTrue)
		qt.Check(t, maxLinkWait(r) < gap, qt.IsTrue)
		qt.Check(t, restartTimeout(r) < restartSearchWait(r) && restartSearchWait(r) < callerTimeout, qt.IsTrue)
	}
	qt.Check(t, maxQueueWait(onlyRoute(slow)) == 10*maxQueueWait(onlyRoute(quick)), qt.IsTrue)
}

// onlyRoute returns a request of the only route to a service.
func onlyRoute(r *route.Route) *call.Job {
	return jobsOf(r)[0]
}

// jobsOf returns a request of each of the routes to a service.
func jobsOf(routes ...*route.Route) []*call.Job {
	t := &route.Table{Services: map[string]route.Service{"assist": {Name: "assist"}}}
	for _, r := range routes {
		added := *r
		added.Shares = []route.Share{{Service: "assist", Weight: 1}}
		t.Routes = append(t.Routes, added)
	}
	t.Index()
	service := t.Services["assist"]
	jobs := make([]*call.Job, len(routes))
	for i := range jobs {
		jobs[i] = &call.Job{Request: &call.Request{}, Route: &t.Routes[i], Service: &service, Priority: t.Routes[i].PriorityFor(nil)}
	}
	return jobs
}

// Guards against refusing a more urgent request where a less urgent one would wait because the
// target of its route is longer.
func TestUrgentRequestsWaitAsLongAsOthers(t *testing.T) {
	jobs := jobsOf(
		&route.Route{Target: 200 * time.Millisecond, Priority: 0}, &route.Route{Target: 2 * time.Second, Priority: 1},
		&route.Route{Target: time.Second, Priority: 2}, &route.Route{Priority: 3},
	)
	for i, target := range []time.Duration{2 * time.Second, 2 * time.Second, time.Second, defaultTarget} {
		qt.Check(t, maxQueueWait(jobs[i]), qt.Equals, time.Duration(queueWaitFraction*float64(target)))
	}
}
