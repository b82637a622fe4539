package stream

import (
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
// although it could restart in another failure domain at once.
func TestStreamRestartsInAnotherDomain(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		m, servers := newMonitorWithoutReplica(&fakeEngines{})
		stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
		ended := make(chan error, 1)
		stream.cancel = func(cause error) { ended <- cause }
		stream.reserveRestart = func() bool { return allowed }
		m.rerouteStream(stream, "middle")
		qt.Check(t, len(ended) == 1, qt.Equals, allowed)
	}
}

// Guards against ending the last attempt because a server behind the first one is
// silent for a moment: the stream would have begun when that server went on.
func TestLastAttemptWaitsForSilentServer(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		m, servers := newMonitor(&fakeEngines{}, 0)
		stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
		stream.started.Store(false)
		ended := make(chan error, 1)
		stream.cancel = func(cause error) { ended <- cause }
		stream.reserveRestart = func() bool { return allowed }
		m.rerouteStream(stream, "middle")
		qt.Check(t, len(ended) == 1, qt.Equals, allowed)
	}
}

// Guards against ending an attempt although there is no chain for another one: the
// stream could have continued later.
func TestStreamStaysWithoutAlternativeChain(t *testing.T) {
	m, servers := newMonitor(&fakeEngines{}, 0)
	stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
	stream.cancel = func(error) { t.Error("the attempt was ended") }
	stream.reserveRestart = func() bool { t.Error("an attempt was reserved"); return true }
	m.rerouteStream(stream, "middle")
}

// Guards against three orders in a row, each with a timeout of half a second, to a
// first server that answers none of them.
func TestUnresponsiveFirstServerIsOrderedOnce(t *testing.T) {
	for _, result := range []call.OrderResult{call.OrderUnknown, call.OrderNotFound, call.OrderConflict} {
		e := &fakeEngines{results: map[string]call.OrderResult{"r": result}}
		m, servers := newMonitor(e, 1)
		stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
		ended := make(chan error, 1)
		stream.cancel = func(cause error) { ended <- cause }
		stream.reserveRestart = func() bool { return true }
		m.rerouteStream(stream, "middle")
		qt.Check(t, e.ordered, qt.HasLen, 1, qt.Commentf("%v", result))
	}
}

// Guards against attempts beyond those that the route and the retry budget allow,
// and against ending an attempt for a restart that is then refused.
func TestRestartReservationHonorsLimits(t *testing.T) {
	m, servers := newMonitor(&fakeEngines{}, 1)
	first, other := servers["first"], servers["other-0"]
	chain := router.Chain{{Server: &first, First: 0, End: 4}, {Server: &other, First: 4, End: testLayers}}
	for _, test := range []struct {
		name       string
		route      route.Route
		mayHaveRun []*fleet.Server
		sends      int
		minRetries float64
		allowed    bool
	}{
		{"first of two attempts", route.Route{Kind: route.Stream, Resumable: true, Attempts: 2}, nil, 0, 1, true},
		{"retry budget used up", route.Route{Kind: route.Stream, Resumable: true, Attempts: 2}, nil, 0, 0, false},
		{"both attempts used", route.Route{Kind: route.Stream, Resumable: true, Attempts: 2}, []*fleet.Server{&other}, 1, 1, false},
		{"not resumable", route.Route{Kind: route.Stream, Attempts: 2}, nil, 0, 1, false},
		{"sent too often", route.Route{Kind: route.Stream, Resumable: true, Attempts: 9}, nil, maxResends, 1, false},
	} {
		budget := &retry.WindowBudget{MinRetries: func() float64 { return test.minRetries }, Window: time.Second}
		r := &request{Forwarder: &Forwarder{State: m.State, Monitor: m}, job: &call.Job{Request: &call.Request{}, Route: &test.route}, mayHaveRun: test.mayHaveRun, budget: budget}
		r.out.Sends = test.sends
		qt.Check(t, r.restartReservation(chain[0].Server)(), qt.Equals, test.allowed, qt.Commentf(test.name))
		qt.Check(t, r.restartReserved.Load(), qt.Equals, test.allowed, qt.Commentf(test.name))
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
