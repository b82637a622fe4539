package stream

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// addServer adds a server to the state of a monitor.
func addServer(m *Monitor, servers fakeDecoder, s fleet.Server) {
	servers[s.ID] = s
	m.State.Servers.Merge(mirror.Batch{After: 1, Cursor: 2, Items: []mirror.Object{{Name: s.ID, Revision: 2}}})
	m.State.ReadServers(time.Now())
}

// newMonitorWithoutReplica returns a monitor over a failure domain in which only the
// middle server holds its layers, and another domain that holds all layers and is
// unreachable from the first.
func newMonitorWithoutReplica(engines *fakeEngines) (*Monitor, fakeDecoder) {
	m, servers := newMonitor(engines, 0)
	addServer(m, servers, fleet.Server{ID: "away", Service: "assist", Address: "away", Domain: "b", Accelerator: "card", First: 0, End: testLayers, StartedAt: time.Unix(1, 0)})
	m.State.MarkUnreachable("a", "b", time.Now())
	return m, servers
}

// Guards against a stream that waits a second or longer for layers to be loaded
// although another attempt could go on in another failure domain at once, and against ending
// an attempt because a server behind the first one is silent for a moment.
func TestStreamWithoutOtherWaySeeksAttempt(t *testing.T) {
	for _, started := range []bool{true, false} {
		m, servers := newMonitorWithoutReplica(&fakeEngines{})
		stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
		stream.started.Store(started)
		stream.cancel = func(error) { t.Error("the attempt was ended") }
		sought := make(chan replacement, 1)
		stream.replace = func(r replacement) bool { sought <- r; return true }
		m.rerouteStream(stream, "middle")
		r := <-sought
		qt.Check(t, r.cause, qt.Equals, errNoChain)
		qt.Check(t, r.avoid["middle"], qt.IsTrue)
		qt.Check(t, r.singleDomain, qt.Equals, started)
	}
}

// Guards against three orders in a row, each with a timeout of half a second, to a
// first server that answers none of them.
func TestUnresponsiveFirstServerIsOrderedOnce(t *testing.T) {
	for _, result := range []call.OrderResult{call.OrderUnknown, call.OrderNotFound, call.OrderConflict} {
		e := &fakeEngines{results: map[string]call.OrderResult{"r": result}}
		m, servers := newMonitor(e, 1)
		stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
		m.rerouteStream(stream, "middle")
		qt.Check(t, e.ordered, qt.HasLen, 1, qt.Commentf("%v", result))
	}
}

// Guards against attempts beyond those that the route and the retry budget allow.
func TestReservationHonorsLimits(t *testing.T) {
	m, servers := newMonitor(&fakeEngines{}, 1)
	first, other := servers["first"], servers["other-0"]
	chain := router.Chain{{Server: &first, First: 0, End: 4}, {Server: &other, First: 4, End: testLayers}}
	for _, test := range []struct {
		name       string
		route      route.Route
		mayHaveRun []*fleet.Server
		sends      int
		minRetries float64
		reason     string
	}{
		{"first of two attempts", route.Route{Kind: route.Stream, Resumable: true, Attempts: 2}, nil, 0, 1, ""},
		{"retry budget used up", route.Route{Kind: route.Stream, Resumable: true, Attempts: 2}, nil, 0, 0, reasonBudget},
		{"both attempts used", route.Route{Kind: route.Stream, Resumable: true, Attempts: 2}, []*fleet.Server{&other}, 1, 1, reasonAttempts},
		{"not resumable", route.Route{Kind: route.Stream, Attempts: 2}, nil, 0, 1, reasonRoute},
		{"sent too often", route.Route{Kind: route.Stream, Resumable: true, Attempts: 9}, nil, maxResends, 1, reasonAttempts},
	} {
		budget := &retry.WindowBudget{MinRetries: func() float64 { return test.minRetries }, Window: time.Second}
		job := &call.Job{Request: &call.Request{}, Route: &test.route, Service: &route.Service{Engine: &route.Engine{}}}
		r := &request{Forwarder: &Forwarder{State: m.State, Load: m.Load, Monitor: m}, job: job, ctx: t.Context(), mayHaveRun: test.mayHaveRun, budget: budget}
		a := r.begin(chain)
		r.out.Sends = test.sends + 1
		qt.Check(t, a.reserve(), qt.Equals, test.reason, qt.Commentf(test.name))
	}
}

// Guards against refusing a request because the queue is full although there is
// capacity that the queued requests cannot use.
func TestFullQueueDoesNotRefuseUsableCapacity(t *testing.T) {
	m, servers := newMonitor(&fakeEngines{}, 1)
	job := m.addStream(servers, "other", 0).job
	f := &Forwarder{State: m.State, Load: m.Load, Monitor: m, Queue: fullQueue(t), Failures: &Failures{}, Limits: &limit.Tracker{}, LocalDomain: "a"}
	job.Deadline = time.Now().Add(time.Minute)
	r := &request{Forwarder: f, job: job}
	chain, e := r.chooseChain(t.Context())
	qt.Assert(t, e == nil, qt.IsTrue, qt.Commentf("%v", e))
	qt.Assert(t, chain.Complete(testLayers), qt.IsTrue)
	m.Load.SetRemote("full", map[string]router.Usage{"middle": {TokenLayers: 1e12, Requests: 1}, "other-0": {TokenLayers: 1e12, Requests: 1}})
	_, e = r.chooseChain(t.Context())
	qt.Assert(t, e, qt.IsNotNil)
	qt.Assert(t, e.Code, qt.Equals, fault.Overloaded)
}

// Guards against orders to servers, and searches for other attempts, on behalf of requests whose callers
// have left.
func TestNoOrderForEndedAttempt(t *testing.T) {
	e := &fakeEngines{}
	m, servers := newMonitor(e, 1)
	stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	stream.ctx = ended
	stream.replace = func(replacement) bool { t.Error("another attempt was sought"); return true }
	m.rerouteStream(stream, "middle")
	qt.Assert(t, e.ordered, qt.HasLen, 0)
}

// Guards against an order that goes on after its request has ended.
func TestOrderEndsWithAttempt(t *testing.T) {
	e := &fakeEngines{}
	m, servers := newMonitor(e, 1)
	stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
	var cancel context.CancelFunc
	stream.ctx, cancel = context.WithCancel(t.Context())
	orders := make(chan context.Context, 1)
	m.Engine = &waitingEngines{fakeEngines: e, orders: orders}
	go m.rerouteStream(stream, "middle")
	order := <-orders
	cancel()
	<-order.Done()
	qt.Assert(t, order.Err(), qt.Equals, context.Canceled)
}

// waitingEngines answer no order.
type waitingEngines struct {
	*fakeEngines
	orders chan context.Context
}

func (e *waitingEngines) Reroute(ctx context.Context, _ string, _ router.Chain) (call.OrderResult, string, error) {
	e.orders <- ctx
	<-ctx.Done()
	return call.OrderUnknown, "", ctx.Err()
}
