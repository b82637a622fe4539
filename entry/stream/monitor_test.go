package stream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// fakeEngines are fakeEngines that answer from memory.
type fakeEngines struct {
	// reportErrors holds what a question to an address ends with.
	reportErrors map[string]error
	// startedAt holds when an address started, if not long ago.
	startedAt map[string]time.Time
	// results holds what becomes of an order for a request, if it is not begun.
	results map[string]call.OrderResult
	// block, if set, keeps orders waiting until it is closed.
	block chan struct{}

	mu       sync.Mutex
	rerouted map[string]router.Chain
	ordered  chan struct{}
	// timeouts holds how long each question might take.
	timeouts []time.Duration
}

func (e *fakeEngines) Report(ctx context.Context, address string) (call.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok {
		e.timeouts = append(e.timeouts, time.Until(deadline))
	}
	return call.Report{StartedAt: e.startedAt[address]}, e.reportErrors[address]
}

func (e *fakeEngines) Place(context.Context, *fleet.Server, int, int, uint64) (call.OrderResult, error) {
	return call.OrderRejected, nil
}

func (e *fakeEngines) Reroute(_ context.Context, id string, c router.Chain) (call.OrderResult, string, error) {
	if e.block != nil {
		<-e.block
	}
	e.mu.Lock()
	e.rerouted[id] = c
	e.mu.Unlock()
	e.ordered <- struct{}{}
	if result, ok := e.results[id]; ok {
		return result, "", nil
	}
	return call.OrderStarted, "", nil
}

// testRoute is the route of the streams of these tests.
var testRoute = &route.Route{Target: 500 * time.Millisecond, MaxGap: 250 * time.Millisecond}

// testLayers of the model of these tests.
const testLayers = 12

// fakeDecoder decodes servers that a test made.
type fakeDecoder map[string]fleet.Server

func (d fakeDecoder) Table([]byte) (*route.Table, error) {
	return nil, errors.New("no configuration in this test")
}

func (d fakeDecoder) Server(id string, _ []byte) (fleet.Server, error) {
	return d[id], nil
}

// newMonitor returns a watch over a first server, one in the midst of chains, and
// others that hold the same layers as that one.
func newMonitor(engines *fakeEngines, others int) (*Monitor, fakeDecoder) {
	engines.rerouted = map[string]router.Chain{}
	engines.ordered = make(chan struct{}, 16)
	servers := fakeDecoder{}
	add := func(id string, first, end int) {
		servers[id] = fleet.Server{ID: id, Service: "assist", Address: id, Domain: "a", Accelerator: "card", First: first, End: end, StartedAt: time.Unix(1, 0)}
	}
	add("first", 0, 4)
	add("middle", 4, 12)
	for i := range others {
		add(fmt.Sprintf("other-%d", i), 4, 12)
	}
	serverMirror := &mirror.Mirror{Kind: "servers"}
	var items []mirror.Object
	for id := range servers {
		items = append(items, mirror.Object{Name: id, Revision: 1})
	}
	serverMirror.Replace(items, 1)
	log := slog.New(slog.DiscardHandler)
	s := &state.Local{Decoder: servers, Log: log, LocalDomain: "a", Servers: serverMirror}
	s.ReadServers(time.Now())
	return &Monitor{
		Engine: engines, State: s, Ledger: &router.LoadTracker{}, Starts: &router.StartLatency{}, LocalDomain: "a", Log: log, Crashes: &poison.Counter{},
		Broadcast: func() {}, EntryHosts: func() int { return 1 }, DropConns: func(string) {},
	}, servers
}

// addStream adds a addStream whose last event came some time ago.
func (m *Monitor) addStream(servers fakeDecoder, id string, silence time.Duration) *activeStream {
	engine := &route.Engine{
		Layers: testLayers, LayerMB: 1, TokenBytes: 1, StepsPerPass: 1, PrefillPerSec: 1000, Step: time.Millisecond,
		Accelerators: map[string]route.Accelerator{"card": {MemoryMB: 100, StepFactor: 1, PrefillFactor: 1}},
	}
	first, middle := servers["first"], servers["middle"]
	chain := router.Chain{{Server: &first, First: 0, End: 4}, {Server: &middle, First: 4, End: 12}}
	job := &call.Job{Request: &call.Request{ID: id, PromptTokens: 10, TokensHint: 5}, Route: testRoute, Service: &route.Service{Name: "assist", Engine: engine}}
	stream := m.add(job, chain, func(error) {}, nil)
	stream.recordEvent()
	stream.lastActivity.Store(time.Now().Add(-silence).UnixNano())
	return stream
}

// A process in the midst of many chains ends. Each of its streams would have to
// be silent for a while before anybody asked, and the first server's report
// comes later still; every caller would see a pause. One silent stream is
// enough: its servers are asked, one refuses, and all its streams leave.
func TestAllStreamsAreReroutedAroundGoneServer(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": syscall.ECONNREFUSED}}
	m, servers := newMonitor(e, 1)
	m.addStream(servers, "silent", silentTimeout(testRoute)+time.Millisecond)
	m.addStream(servers, "still-comes", 0)
	m.sweep(t.Context(), time.Now())
	<-e.ordered
	<-e.ordered
	for _, id := range []string{"silent", "still-comes"} {
		qt.Check(t, e.rerouted[id].String(), qt.Equals, "first=0-4 other-0=4-12")
	}
	qt.Check(t, m.State.View().ByAddress("middle").Suspected, qt.IsTrue)
}

// A server crashes and is back within a heartbeat, under its ID and address. It
// answers every question, but knows nothing of its streams, which would wait
// until their callers leave.
func TestStreamsAreReroutedAroundRestartedServer(t *testing.T) {
	e := &fakeEngines{startedAt: map[string]time.Time{"middle": time.Now()}}
	m, servers := newMonitor(e, 1)
	m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
	m.sweep(t.Context(), time.Now())
	<-e.ordered
	qt.Assert(t, e.rerouted["r"].String(), qt.Equals, "first=0-4 other-0=4-12")
}

// Another entry host tells that a server is dead, and asked here it is. The
// streams that pass through it leave at once; left until they are silent and
// their turn to be asked about comes, they paused for over a second.
func TestStreamsAreReroutedWhenPeerFindsServerDead(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": syscall.ECONNREFUSED}}
	m, servers := newMonitor(e, 1)
	m.addStream(servers, "r", 0)
	m.Probe("middle", "another entry host suspects it")
	<-e.ordered
	qt.Assert(t, e.rerouted["r"].String(), qt.Equals, "first=0-4 other-0=4-12")
}

// Another entry host tells that a server fell silent. Here it is asked itself; a
// long question alone would take longer than callers bear, and all the while
// requests would go there. Two short ones must do, since one may be lost.
func TestSuspectReportedByPeerGetsShortProbes(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": context.DeadlineExceeded}}
	m, servers := newMonitor(e, 1)
	m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
	m.Probe("middle", "another entry host suspects it")
	<-e.ordered
	qt.Check(t, m.State.View().ByAddress("middle").Suspected, qt.IsTrue)
	e.mu.Lock()
	defer e.mu.Unlock()
	qt.Assert(t, e.timeouts, qt.HasLen, probe.FailureThreshold)
	for _, wait := range e.timeouts {
		qt.Check(t, wait <= probe.MinTimeout, qt.IsTrue, qt.Commentf("%v", wait))
	}
}

// An entry host is cut off from a server that its peers still reach. Streams
// through that one go on; led elsewhere, all their tokens would be read again
// for nothing.
func TestActiveStreamsStayOnUnreachableServer(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": context.DeadlineExceeded}}
	m, servers := newMonitor(e, 1)
	m.addStream(servers, "silent", silentTimeout(testRoute)+time.Millisecond)
	m.addStream(servers, "still-comes", 0)
	m.sweep(t.Context(), time.Now())
	<-e.ordered
	qt.Check(t, e.rerouted["silent"].String(), qt.Equals, "first=0-4 other-0=4-12")
	qt.Check(t, e.rerouted["still-comes"], qt.IsNil)
}

// A question to a server is lost on its way. Its streams have an event every 80 ms,
// and the last one was 50 ms ago: nothing says that the server does not live, and
// led elsewhere each would have all its tokens read again.
func TestStreamsWithinMeanIntervalStay(t *testing.T) {
	e := &fakeEngines{}
	m, servers := newMonitor(e, 1)
	due, early := m.addStream(servers, "due", 90*time.Millisecond), m.addStream(servers, "early", 50*time.Millisecond)
	due.meanInterval.Store(int64(80 * time.Millisecond))
	early.meanInterval.Store(int64(80 * time.Millisecond))
	m.evacuate("middle", probe.Suspected)
	<-e.ordered
	qt.Check(t, e.rerouted["due"].String(), qt.Equals, "first=0-4 other-0=4-12")
	qt.Check(t, e.rerouted["early"], qt.IsNil)
}

// A server that ends takes no more connections and still serves the streams
// that it has. Begun anew at once they would be cut off by their own entry host.
func TestActiveStreamsStayOnEndingFirstServer(t *testing.T) {
	e := &fakeEngines{}
	m, servers := newMonitor(e, 1)
	active, silent := m.addStream(servers, "comes", 0), m.addStream(servers, "silent", silentTimeout(testRoute)+time.Millisecond)
	var ended []string
	active.cancel = func(error) { ended = append(ended, "comes") }
	silent.cancel = func(error) { ended = append(ended, "silent") }
	m.evacuate("first", probe.Gone)
	qt.Assert(t, ended, qt.DeepEquals, []string{"silent"})
}

// Many streams leave a dead server within a millisecond. While the first order
// is on its way, nothing shows that its server is about to read a whole prompt;
// if all chose it, the last would wait for all others.
func TestReroutedStreamsSpreadOverServers(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": syscall.ECONNREFUSED}, block: make(chan struct{})}
	m, servers := newMonitor(e, 2)
	const streams = 8
	for i := range streams {
		m.addStream(servers, fmt.Sprintf("r%d", i), silentTimeout(testRoute)+time.Millisecond)
	}
	m.evacuate("middle", probe.Gone)
	waitFor(t, func() bool { return m.Ledger.Used("middle").Requests == 0 })
	close(e.block)
	for range streams {
		<-e.ordered
	}
	first, second := m.Ledger.Used("other-0").Requests, m.Ledger.Used("other-1").Requests
	qt.Assert(t, first >= 2 && second >= 2, qt.IsTrue, qt.Commentf("%v and %v", first, second))
}

// A server was told to load layers that are missing, and waits for the streams
// that pass through those which it gives up. They are led round it. Streams
// through one that only gives up what others hold as well are left alone: led
// round it, all their tokens would be read again for nothing.
func TestStreamsAreDrainedOnlyForMissingLayers(t *testing.T) {
	e := &fakeEngines{}
	m, servers := newMonitor(e, 1)
	m.addStream(servers, "r", 0)
	expiry := time.Now().Add(time.Hour)
	m.State.Assign(state.Assignment{ID: "middle", First: 6, End: 12, Until: expiry}, time.Now())
	m.drainStreams(time.Now())
	qt.Assert(t, m.lastDrain.IsZero(), qt.IsTrue)
	m.State.Assign(state.Assignment{ID: "middle", First: 0, End: 6, Until: expiry}, time.Now())
	m.drainStreams(time.Now())
	<-e.ordered
	qt.Assert(t, e.rerouted["r"].String(), qt.Equals, "first=0-4 other-0=4-12")
}

// A server in the midst of a chain dies, and the next one of it is told to load
// its layers. It waits until the stream has ended that passes through what it
// gives up, and the stream waits for these layers: neither would go on until
// the caller leaves.
func TestStreamBlockingALoadRestarts(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": syscall.ECONNREFUSED}}
	m, servers := newMonitor(e, 0)
	next := servers["middle"]
	next.ID, next.Address, next.First, next.End = "next", "next", 8, 12
	servers["next"] = next
	m.State.Servers.Merge(mirror.Batch{After: 1, Cursor: 2, Items: []mirror.Object{{Name: "next", Revision: 2}}})
	m.State.ReadServers(time.Now())
	stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
	first, middle := servers["first"], servers["middle"]
	stream.chain = router.Chain{{Server: &first, First: 0, End: 4}, {Server: &middle, First: 4, End: 8}, {Server: &next, First: 8, End: 12}}
	ended := make(chan error, 1)
	stream.cancel = func(cause error) { ended <- cause }
	m.rerouteStream(stream, "middle")
	qt.Assert(t, ended, qt.HasLen, 0)
	stream.lastReroute = time.Time{}
	m.State.Assign(state.Assignment{ID: "next", First: 4, End: 10, Until: time.Now().Add(time.Hour)}, time.Now())
	m.rerouteStream(stream, "middle")
	qt.Assert(t, <-ended, qt.Equals, errNoChain)
}

// Answers break off at servers that go on well, one after the other, and each
// time another one is tried. A route allows two; beyond them the budget of
// repeats that all entry hosts share would be spent on requests that no server
// serves. A server that died does not count.
func TestOnlyLiveServersCountAsAttempts(t *testing.T) {
	m, servers := newMonitor(&fakeEngines{}, 1)
	first, middle := servers["first"], servers["middle"]
	old := middle
	old.ID = "middle-before"
	r := &request{Forwarder: &Forwarder{State: m.State}, mayHaveRun: []*fleet.Server{&first, &middle, &old}}
	qt.Assert(t, r.countAttempts(r.mayHaveRun), qt.Equals, 2)
	now := time.Now()
	m.State.Suspect("first", now.Add(time.Hour), now)
	qt.Assert(t, r.countAttempts(r.mayHaveRun), qt.Equals, 1)
}

// A payment fails at a plain server, which is asked whether it lives. It has no
// report to give and says so. Taken for dead, it would be left out for two
// seconds, and the few others would have to refuse what it could have served.
func TestServerWithoutReportIsNotSuspected(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": &call.NoReportError{Status: 400}}}
	m, _ := newMonitor(e, 1)
	m.Probe("middle", "it failed a payment")
	waitFor(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return !m.lastAnswer["middle"].IsZero()
	})
	qt.Assert(t, m.State.View().ByAddress("middle").Suspected, qt.IsFalse)
}

// waitFor waits for a condition that another goroutine brings about.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatal("never")
		case <-ticker.C:
		}
	}
}
