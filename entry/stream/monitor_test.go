package stream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// fakeEngines is an engine client that answers from memory.
type fakeEngines struct {
	// reportErrors holds the errors of Report, by address.
	reportErrors map[string]error
	// startedAt holds the start times in the reports, by address.
	startedAt map[string]time.Time
	// results holds the results of Reroute, by request. The default is OrderStarted.
	results map[string]call.OrderResult
	// block, if set, blocks Reroute until it is closed.
	block chan struct{}

	mu sync.Mutex
	// rerouted holds the last chain passed to Reroute, by request.
	rerouted map[string]router.Chain
	// ordered receives a value for each call of Reroute.
	ordered chan struct{}
	// timeouts holds the timeout of each call of Report that fails.
	timeouts []time.Duration
}

func (e *fakeEngines) Report(ctx context.Context, address string) (call.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if deadline, ok := ctx.Deadline(); ok && e.reportErrors[address] != nil {
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

// testRoute is the route of the streams in these tests.
var testRoute = &route.Route{Target: 500 * time.Millisecond, MaxGap: 250 * time.Millisecond}

// testLayers is the number of layers of the model in these tests.
const testLayers = 12

// fakeDecoder holds the servers of a test by ID.
type fakeDecoder map[string]fleet.Server

func (d fakeDecoder) Table([]byte) (*route.Table, error) {
	return nil, errors.New("no configuration in this test")
}

func (d fakeDecoder) Server(id string, _ []byte) (fleet.Server, error) {
	return d[id], nil
}

// newMonitor returns a monitor whose state holds a first server, a middle server, and
// the given number of others that hold the same layers as the middle one.
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
	serverMirror.Replace(items, mirror.Position{Revision: 1})
	log := slog.New(slog.DiscardHandler)
	s := &state.Local{Decoder: servers, Log: log, LocalDomain: "a", Servers: serverMirror}
	s.ReadServers(time.Now())
	return &Monitor{
		Engine: engines, State: s, Load: &router.LoadTracker{}, StartLatency: &router.StartLatency{}, LocalDomain: "a", Log: log, Crashes: &poison.Detector{Log: slog.New(slog.DiscardHandler)},
		Broadcast: func() {}, EntryHosts: func() int { return 1 }, DropConns: func(string) {},
	}, servers
}

// addStream adds a stream whose last event came the given time ago.
func (m *Monitor) addStream(servers fakeDecoder, id string, silence time.Duration) *activeStream {
	engine := &route.Engine{
		Layers: testLayers, LayerMB: 1, TokenBytes: 1, StepsPerPass: 1, PrefillPerSec: 1000, Step: time.Millisecond,
		Accelerators: map[string]route.Accelerator{"card": {MemoryMB: 100, StepFactor: 1, PrefillFactor: 1}},
	}
	first, middle := servers["first"], servers["middle"]
	chain := router.Chain{{Server: &first, First: 0, End: 4}, {Server: &middle, First: 4, End: 12}}
	job := &call.Job{Request: &call.Request{ID: id, PromptTokens: 10, TokensHint: 5}, Route: testRoute, Service: &route.Service{Name: "assist", Engine: engine}}
	stream := m.add(context.Background(), job, chain, func(error) {}, func(replacement) bool { return true })
	stream.recordEvent()
	stream.lastActivity.Store(time.Now().Add(-silence).UnixNano())
	return stream
}

// Guards against cutting off a stream that cannot be restarted, because its first server
// does not answer probes for a moment.
func TestStreamWithoutRestartStaysOnUnreachableServer(t *testing.T) {
	for _, test := range []struct {
		outcome  probe.State
		replaced bool
		ended    error
	}{{probe.Suspected, false, nil}, {probe.Unreachable, true, nil}, {probe.Exited, false, errExited}} {
		m, servers := newMonitor(&fakeEngines{}, 1)
		stream := m.addStream(servers, "silent", silentTimeout(testRoute)+time.Millisecond)
		var ended error
		replaced := make(chan replacement, 1)
		stream.cancel = func(cause error) { ended = cause }
		stream.replace = func(r replacement) bool { replaced <- r; return true }
		m.evacuate("first", test.outcome)
		if test.replaced {
			qt.Check(t, (<-replaced).cause, qt.Equals, errFirstServerDead)
		}
		qt.Check(t, replaced, qt.HasLen, 0)
		qt.Check(t, ended, qt.Equals, test.ended, qt.Commentf("%v", test.outcome))
	}
}

// Guards against streams that wait for their own silence timeout, or even for the
// report of the first server, after a server of their chains has crashed. One silent
// stream is enough: its servers are probed, one refuses the connection, and all
// streams are rerouted around it.
func TestAllStreamsAreReroutedAroundExitedServer(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": dialer.ErrExited}}
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

// Guards against streams that wait until their callers leave for a server that
// crashed and restarted within a heartbeat, under its ID and address. It answers
// every probe, but has lost its streams.
func TestStreamsAreReroutedAroundRestartedServer(t *testing.T) {
	e := &fakeEngines{startedAt: map[string]time.Time{"middle": time.Now()}}
	m, servers := newMonitor(e, 1)
	m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
	m.sweep(t.Context(), time.Now())
	<-e.ordered
	qt.Assert(t, e.rerouted["r"].String(), qt.Equals, "first=0-4 other-0=4-12")
}

// Guards against a gap of over a second after another entry host suspects a server.
// Once a probe from here confirms the suspicion, the streams that use the server must
// be rerouted without waiting for their silence timeout and the next probe.
func TestStreamsAreReroutedWhenPeerSuspectsServer(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": dialer.ErrExited}}
	m, servers := newMonitor(e, 1)
	m.addStream(servers, "r", 0)
	m.Probe("middle", "another entry host suspects it")
	<-e.ordered
	qt.Assert(t, e.rerouted["r"].String(), qt.Equals, "first=0-4 other-0=4-12")
}

// Guards against one long probe of a server that another entry host suspects. It
// would take longer than callers wait, and requests would be sent to the server
// meanwhile. Two short probes are enough; one may be lost.
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
	for _, timeout := range e.timeouts {
		qt.Check(t, timeout <= probe.MinTimeout, qt.IsTrue, qt.Commentf("%v", timeout))
	}
}

// Guards against rerouting streams that still get events through a server that this
// entry host cannot reach but its peers can: all their tokens would be read again
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

// Guards against rerouting streams because of one lost probe. A stream with an event
// every 80 ms, whose last event came 50 ms ago, is not due yet: nothing shows that
// the server has failed, and after a reroute all tokens would be read again.
func TestStreamsWithinMeanGapStay(t *testing.T) {
	e := &fakeEngines{}
	m, servers := newMonitor(e, 1)
	due, early := m.addStream(servers, "due", 90*time.Millisecond), m.addStream(servers, "early", 50*time.Millisecond)
	due.meanGap.Store(int64(80 * time.Millisecond))
	early.meanGap.Store(int64(80 * time.Millisecond))
	m.evacuate("middle", probe.Suspected)
	<-e.ordered
	qt.Check(t, e.rerouted["due"].String(), qt.Equals, "first=0-4 other-0=4-12")
	qt.Check(t, e.rerouted["early"], qt.IsNil)
}

// Guards against ending streams on a first server that is shutting down: it accepts
// no more connections but still serves the streams that it has.
func TestActiveStreamsStayOnFirstServerThatShutsDown(t *testing.T) {
	e := &fakeEngines{}
	m, servers := newMonitor(e, 1)
	active, silent := m.addStream(servers, "comes", 0), m.addStream(servers, "silent", silentTimeout(testRoute)+time.Millisecond)
	var ended []string
	active.cancel = func(error) { ended = append(ended, "comes") }
	silent.cancel = func(error) { ended = append(ended, "silent") }
	m.evacuate("first", probe.Exited)
	qt.Assert(t, ended, qt.DeepEquals, []string{"silent"})
}

// Guards against many streams moving from a failed server to the same alternative.
// They choose within a millisecond, before the load of that server shows that the
// first stream makes it read a whole prompt; the last one would wait for all others.
func TestReroutedStreamsSpreadOverServers(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": dialer.ErrExited}, block: make(chan struct{})}
	m, servers := newMonitor(e, 2)
	const streams = 8
	for i := range streams {
		m.addStream(servers, fmt.Sprintf("r%d", i), silentTimeout(testRoute)+time.Millisecond)
	}
	m.evacuate("middle", probe.Exited)
	waitFor(t, func() bool { return m.Load.Used("middle").Requests == 0 })
	close(e.block)
	for range streams {
		<-e.ordered
	}
	first, second := m.Load.Used("other-0").Requests, m.Load.Used("other-1").Requests
	qt.Assert(t, first >= 2 && second >= 2, qt.IsTrue, qt.Commentf("%v and %v", first, second))
}

// Guards against streams that block the load of missing layers: a server that is to
// load them waits for the streams that use the layers it gives up. Streams on a
// server that only gives up replicated layers must stay, because all their tokens
// would be read again for nothing.
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

// Guards against a deadlock after a server of a chain has crashed: the next server of
// the chain is ordered to load the missing layers and waits for a stream that uses
// the layers it gives up, while the stream waits for the missing layers.
func TestStreamBlockingALoadRestarts(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"middle": dialer.ErrExited}}
	m, servers := newMonitor(e, 0)
	next := servers["middle"]
	next.ID, next.Address, next.First, next.End = "next", "next", 8, 12
	servers["next"] = next
	m.State.Servers.Merge(mirror.Batch{After: 1, Cursor: 2, Items: []mirror.Object{{Name: "next", Revision: 2}}})
	m.State.ReadServers(time.Now())
	stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
	first, middle := servers["first"], servers["middle"]
	stream.chain = router.Chain{{Server: &first, First: 0, End: 4}, {Server: &middle, First: 4, End: 8}, {Server: &next, First: 8, End: 12}}
	ended, replaced := make(chan error, 1), make(chan replacement, 1)
	stream.cancel = func(cause error) { ended <- cause }
	stream.replace = func(r replacement) bool { replaced <- r; return true }
	m.setExited("middle", true, time.Now())
	m.rerouteStream(stream, "middle")
	qt.Assert(t, ended, qt.HasLen, 0)
	qt.Assert(t, (<-replaced).cause, qt.Equals, errNoChain)
	m.State.Assign(state.Assignment{ID: "next", First: 4, End: 10, Until: time.Now().Add(time.Hour)}, time.Now())
	for _, exited := range []bool{false, true} {
		m.setExited("middle", exited, time.Now())
		stream.lastSearch = time.Time{}
		m.rerouteStream(stream, "middle")
		qt.Check(t, ended, qt.HasLen, map[bool]int{false: 0, true: 1}[exited], qt.Commentf("exited: %v", exited))
	}
	qt.Assert(t, <-ended, qt.Equals, errNoChain)
}

// Guards against retries that use up the retry budget shared by all entry hosts on a
// request that no server completes, and against a third server for a route that allows
// two, because a live one is suspected or has no entry any more. Only an attempt on a process
// that has ended does not count.
func TestOnlyLiveServersCountAsAttempts(t *testing.T) {
	m, servers := newMonitor(&fakeEngines{}, 1)
	first, middle := servers["first"], servers["middle"]
	old := middle
	old.ID = "middle-before"
	r := &request{Forwarder: &Forwarder{State: m.State, Monitor: m}, mayHaveRun: []*fleet.Server{&first, &middle, &old}}
	qt.Assert(t, r.countAttempts(r.mayHaveRun), qt.Equals, 2)
	m.markSuspected("first", "first", "test", context.DeadlineExceeded, time.Now())
	qt.Assert(t, m.State.View().ByID("first").Suspected, qt.IsTrue)
	qt.Assert(t, r.countAttempts(r.mayHaveRun), qt.Equals, 2)
	m.markSuspected("first", "first", "test", dialer.ErrExited, time.Now())
	qt.Assert(t, r.countAttempts(r.mayHaveRun), qt.Equals, 1)
	m.markHealthy("first", "first", time.Now())
	qt.Assert(t, r.countAttempts(r.mayHaveRun), qt.Equals, 2)
	before := middle
	before.StartedAt = middle.StartedAt.Add(-time.Second)
	qt.Assert(t, r.countAttempts([]*fleet.Server{&before}), qt.Equals, 0)
	m.State.Servers.Merge(mirror.Batch{After: 1, Cursor: 2, Items: []mirror.Object{{Name: "first", Revision: 2, Deleted: true}}})
	m.State.ReadServers(time.Now())
	qt.Assert(t, m.State.View().ByID("first"), qt.IsNil)
	qt.Assert(t, r.countAttempts(r.mayHaveRun), qt.Equals, 2)
}

// Guards against suspecting a server of a plain service because it responds to a
// probe without a report. It would be avoided for two seconds, and the few others
// would refuse requests that it could have served.
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

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatal("the condition was not met before the test ended")
		case <-ticker.C:
		}
	}
}

// Guards against streams that wait for what does not arrive, because only this host's link to
// their first server is cut, and against seeking another attempt for one with each sweep.
func TestStreamOnCutConnectionIsRestartedOnce(t *testing.T) {
	for _, test := range []struct {
		name           string
		direct, silent bool
		replaced       int64
	}{
		{"silent on a direct connection", true, true, 1},
		{"silent on a connection through another host", false, true, 0},
		{"not silent", true, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			m, servers := newMonitor(&fakeEngines{}, 1)
			addServer(m, servers, fleet.Server{ID: "spare", Service: "assist", Address: "spare", Domain: "a", Accelerator: "card", First: 0, End: testLayers, StartedAt: time.Unix(1, 0)})
			m.Direct = func(string) bool { return false }
			silence := time.Duration(0)
			if test.silent {
				silence = silentTimeout(testRoute) + time.Millisecond
			}
			stream := m.addStream(servers, "r", silence)
			stream.direct.Store(test.direct)
			var replaced atomic.Int64
			stream.replace = func(replacement) bool { replaced.Add(1); return true }
			now := time.Now()
			for i := range 5 {
				m.sweep(t.Context(), now.Add(time.Duration(i)*sweepInterval))
			}
			if test.replaced > 0 {
				waitUntil(func() bool { return replaced.Load() > 0 })
			}
			time.Sleep(sweepInterval)
			qt.Assert(t, replaced.Load(), qt.Equals, test.replaced)
		})
	}
}
