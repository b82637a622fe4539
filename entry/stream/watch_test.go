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

// engines are engines that answer from memory.
type engines struct {
	// fails holds what a question to an address ends with.
	fails map[string]error
	// born holds when an address started, if not long ago.
	born map[string]time.Time
	// taken holds what becomes of an order for a request, if it is not begun.
	taken map[string]call.OrderResult
	// hold, if set, keeps orders waiting until it is closed.
	hold chan struct{}

	mu       sync.Mutex
	rerouted map[string]router.Chain
	told     chan struct{}
	// waits holds how long each question might take.
	waits []time.Duration
}

func (e *engines) Report(ctx context.Context, address string) (call.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until, bounded := ctx.Deadline(); bounded {
		e.waits = append(e.waits, time.Until(until))
	}
	return call.Report{StartedAt: e.born[address]}, e.fails[address]
}

func (e *engines) Place(context.Context, *fleet.Server, int, int, uint64) (call.OrderResult, error) {
	return call.OrderRejected, nil
}

func (e *engines) Reroute(_ context.Context, id string, c router.Chain) (call.OrderResult, string, error) {
	if e.hold != nil {
		<-e.hold
	}
	e.mu.Lock()
	e.rerouted[id] = c
	e.mu.Unlock()
	e.told <- struct{}{}
	if taken, other := e.taken[id]; other {
		return taken, "", nil
	}
	return call.OrderStarted, "", nil
}

// chat is the route of the streams of these tests.
var chat = &route.Route{Target: 500 * time.Millisecond, MaxGap: 250 * time.Millisecond}

// layers of the model of these tests.
const layers = 12

// fixed decodes servers that a test made.
type fixed map[string]fleet.Server

func (f fixed) Table([]byte) (*route.Table, error) {
	return nil, errors.New("no configuration in this test")
}

func (f fixed) Server(id string, _ []byte) (fleet.Server, error) {
	return f[id], nil
}

// watched returns a watch over a first server, one in the midst of chains, and
// others that hold the same layers as that one.
func watched(e *engines, others int) (*Monitor, fixed) {
	e.rerouted = map[string]router.Chain{}
	e.told = make(chan struct{}, 16)
	servers := fixed{}
	add := func(id string, first, end int) {
		servers[id] = fleet.Server{ID: id, Service: "assist", Address: id, Domain: "a", Accelerator: "card", First: first, End: end, StartedAt: time.Unix(1, 0)}
	}
	add("first", 0, 4)
	add("middle", 4, 12)
	for i := range others {
		add(fmt.Sprintf("other-%d", i), 4, 12)
	}
	m := &mirror.Mirror{Kind: "servers"}
	var items []mirror.Object
	for id := range servers {
		items = append(items, mirror.Object{Name: id, Revision: 1})
	}
	m.Replace(items, 1)
	log := slog.New(slog.DiscardHandler)
	s := &state.Local{Decoder: servers, Log: log, LocalDomain: "a", Servers: m}
	s.ReadServers(time.Now())
	return &Monitor{
		Engine: e, State: s, Ledger: &router.LoadTracker{}, Starts: &router.StartLatency{}, LocalDomain: "a", Log: log, Crashes: &poison.Counter{},
		Broadcast: func() {}, EntryHosts: func() int { return 1 }, DropConns: func(string) {},
	}, servers
}

// stream adds a stream whose last event came some time ago.
func (w *Monitor) stream(servers fixed, id string, silence time.Duration) *live {
	e := &route.Engine{
		Layers: layers, LayerMB: 1, TokenBytes: 1, StepsPerPass: 1, PrefillPerSec: 1000, Step: time.Millisecond,
		Accelerators: map[string]route.Accelerator{"card": {MemoryMB: 100, StepFactor: 1, PrefillFactor: 1}},
	}
	first, middle := servers["first"], servers["middle"]
	chain := router.Chain{{Server: &first, First: 0, End: 4}, {Server: &middle, First: 4, End: 12}}
	j := &call.Job{Request: &call.Request{ID: id, PromptTokens: 10, TokensHint: 5}, Route: chat, Service: &route.Service{Name: "assist", Engine: e}}
	l := w.add(j, chain, func(error) {}, nil)
	l.touch()
	l.last.Store(time.Now().Add(-silence).UnixNano())
	return l
}

// A process in the midst of many chains ends. Each of its streams would have to
// be silent for a while before anybody asked, and the first server's report
// comes later still; every caller would see a pause. One silent stream is
// enough: its servers are asked, one refuses, and all its streams leave.
func TestAllStreamsLeaveAServerThatIsGone(t *testing.T) {
	e := &engines{fails: map[string]error{"middle": syscall.ECONNREFUSED}}
	w, servers := watched(e, 1)
	w.stream(servers, "silent", silentEvent(chat)+time.Millisecond)
	w.stream(servers, "still-comes", 0)
	w.sweep(t.Context(), time.Now())
	<-e.told
	<-e.told
	for _, id := range []string{"silent", "still-comes"} {
		qt.Check(t, e.rerouted[id].String(), qt.Equals, "first=0-4 other-0=4-12")
	}
	qt.Check(t, w.State.View().ByAddress("middle").Suspected, qt.IsTrue)
}

// A server crashes and is back within a heartbeat, under its ID and address. It
// answers every question, but knows nothing of its streams, which would wait
// until their callers leave.
func TestStreamsLeaveAServerThatStartedAnew(t *testing.T) {
	e := &engines{born: map[string]time.Time{"middle": time.Now()}}
	w, servers := watched(e, 1)
	w.stream(servers, "r", silentEvent(chat)+time.Millisecond)
	w.sweep(t.Context(), time.Now())
	<-e.told
	qt.Assert(t, e.rerouted["r"].String(), qt.Equals, "first=0-4 other-0=4-12")
}

// Another entry host tells that a server is dead, and asked here it is. The
// streams that pass through it leave at once; left until they are silent and
// their turn to be asked about comes, they paused for over a second.
func TestStreamsLeaveAServerThatOthersFoundDead(t *testing.T) {
	e := &engines{fails: map[string]error{"middle": syscall.ECONNREFUSED}}
	w, servers := watched(e, 1)
	w.stream(servers, "r", 0)
	w.Probe("middle", "another entry host suspects it")
	<-e.told
	qt.Assert(t, e.rerouted["r"].String(), qt.Equals, "first=0-4 other-0=4-12")
}

// Another entry host tells that a server fell silent. Here it is asked itself; a
// long question alone would take longer than callers bear, and all the while
// requests would go there. Two short ones must do, since one may be lost.
func TestAccusedServerIsAskedTwiceShortly(t *testing.T) {
	e := &engines{fails: map[string]error{"middle": context.DeadlineExceeded}}
	w, servers := watched(e, 1)
	w.stream(servers, "r", silentEvent(chat)+time.Millisecond)
	w.Probe("middle", "another entry host suspects it")
	<-e.told
	qt.Check(t, w.State.View().ByAddress("middle").Suspected, qt.IsTrue)
	e.mu.Lock()
	defer e.mu.Unlock()
	qt.Assert(t, e.waits, qt.HasLen, probe.FailureThreshold)
	for _, wait := range e.waits {
		qt.Check(t, wait <= probe.MinTimeout, qt.IsTrue, qt.Commentf("%v", wait))
	}
}

// An entry host is cut off from a server that its peers still reach. Streams
// through that one go on; led elsewhere, all their tokens would be read again
// for nothing.
func TestStreamsThatComeStayWithAServerOutOfReach(t *testing.T) {
	e := &engines{fails: map[string]error{"middle": context.DeadlineExceeded}}
	w, servers := watched(e, 1)
	w.stream(servers, "silent", silentEvent(chat)+time.Millisecond)
	w.stream(servers, "still-comes", 0)
	w.sweep(t.Context(), time.Now())
	<-e.told
	qt.Check(t, e.rerouted["silent"].String(), qt.Equals, "first=0-4 other-0=4-12")
	qt.Check(t, e.rerouted["still-comes"], qt.IsNil)
}

// A question to a server is lost on its way. Its streams have an event every 80 ms,
// and the last one was 50 ms ago: nothing says that the server does not live, and
// led elsewhere each would have all its tokens read again.
func TestStreamsThatAreNotDueStay(t *testing.T) {
	e := &engines{}
	w, servers := watched(e, 1)
	due, early := w.stream(servers, "due", 90*time.Millisecond), w.stream(servers, "early", 50*time.Millisecond)
	due.usual.Store(int64(80 * time.Millisecond))
	early.usual.Store(int64(80 * time.Millisecond))
	w.leave("middle", probe.Suspected)
	<-e.told
	qt.Check(t, e.rerouted["due"].String(), qt.Equals, "first=0-4 other-0=4-12")
	qt.Check(t, e.rerouted["early"], qt.IsNil)
}

// A server that ends takes no more connections and still serves the streams
// that it has. Begun anew at once they would be cut off by their own entry host.
func TestStreamsThatComeStayWithTheirFirstServer(t *testing.T) {
	e := &engines{}
	w, servers := watched(e, 1)
	comes, silent := w.stream(servers, "comes", 0), w.stream(servers, "silent", silentEvent(chat)+time.Millisecond)
	var ended []string
	comes.cancel = func(error) { ended = append(ended, "comes") }
	silent.cancel = func(error) { ended = append(ended, "silent") }
	w.leave("first", probe.Gone)
	qt.Assert(t, ended, qt.DeepEquals, []string{"silent"})
}

// Many streams leave a dead server within a millisecond. While the first order
// is on its way, nothing shows that its server is about to read a whole prompt;
// if all chose it, the last would wait for all others.
func TestStreamsThatLeaveTogetherSpread(t *testing.T) {
	e := &engines{fails: map[string]error{"middle": syscall.ECONNREFUSED}, hold: make(chan struct{})}
	w, servers := watched(e, 2)
	const streams = 8
	for i := range streams {
		w.stream(servers, fmt.Sprintf("r%d", i), silentEvent(chat)+time.Millisecond)
	}
	w.leave("middle", probe.Gone)
	until(t, func() bool { return w.Ledger.Used("middle").Requests == 0 })
	close(e.hold)
	for range streams {
		<-e.told
	}
	one, two := w.Ledger.Used("other-0").Requests, w.Ledger.Used("other-1").Requests
	qt.Assert(t, one >= 2 && two >= 2, qt.IsTrue, qt.Commentf("%v and %v", one, two))
}

// A server was told to load layers that are missing, and waits for the streams
// that pass through those which it gives up. They are led round it. Streams
// through one that only gives up what others hold as well are left alone: led
// round it, all their tokens would be read again for nothing.
func TestStreamsLeaveOnlyServersThatMove(t *testing.T) {
	e := &engines{}
	w, servers := watched(e, 1)
	w.stream(servers, "r", 0)
	until := time.Now().Add(time.Hour)
	w.State.Assign(state.Assignment{ID: "middle", First: 6, End: 12, Until: until}, time.Now())
	w.drain(time.Now())
	qt.Assert(t, w.drained.IsZero(), qt.IsTrue)
	w.State.Assign(state.Assignment{ID: "middle", First: 0, End: 6, Until: until}, time.Now())
	w.drain(time.Now())
	<-e.told
	qt.Assert(t, e.rerouted["r"].String(), qt.Equals, "first=0-4 other-0=4-12")
}

// A server in the midst of a chain dies, and the next one of it is told to load
// its layers. It waits until the stream has ended that passes through what it
// gives up, and the stream waits for these layers: neither would go on until
// the caller leaves.
func TestStreamThatHoldsUpALoadIsBegunAnew(t *testing.T) {
	e := &engines{fails: map[string]error{"middle": syscall.ECONNREFUSED}}
	w, servers := watched(e, 0)
	next := servers["middle"]
	next.ID, next.Address, next.First, next.End = "next", "next", 8, 12
	servers["next"] = next
	w.State.Servers.Merge(mirror.Batch{After: 1, Cursor: 2, Items: []mirror.Object{{Name: "next", Revision: 2}}})
	w.State.ReadServers(time.Now())
	l := w.stream(servers, "r", silentEvent(chat)+time.Millisecond)
	first, middle := servers["first"], servers["middle"]
	l.chain = router.Chain{{Server: &first, First: 0, End: 4}, {Server: &middle, First: 4, End: 8}, {Server: &next, First: 8, End: 12}}
	ended := make(chan error, 1)
	l.cancel = func(cause error) { ended <- cause }
	w.repair(l, "middle")
	qt.Assert(t, ended, qt.HasLen, 0)
	l.repaired = time.Time{}
	w.State.Assign(state.Assignment{ID: "next", First: 4, End: 10, Until: time.Now().Add(time.Hour)}, time.Now())
	w.repair(l, "middle")
	qt.Assert(t, <-ended, qt.Equals, errNoWay)
}

// Answers break off at servers that go on well, one after the other, and each
// time another one is tried. A route allows two; beyond them the budget of
// repeats that all entry hosts share would be spent on requests that no server
// serves. A server that died does not count.
func TestRunsOfLivingServersCount(t *testing.T) {
	w, servers := watched(&engines{}, 1)
	first, middle := servers["first"], servers["middle"]
	old := middle
	old.ID = "middle-before"
	r := &run{Forwarder: &Forwarder{State: w.State}, ran: []*fleet.Server{&first, &middle, &old}}
	qt.Assert(t, r.runs(r.ran), qt.Equals, 2)
	now := time.Now()
	w.State.Suspect("first", now.Add(time.Hour), now)
	qt.Assert(t, r.runs(r.ran), qt.Equals, 1)
}

// A payment fails at a plain server, which is asked whether it lives. It has no
// report to give and says so. Taken for dead, it would be left out for two
// seconds, and the few others would have to refuse what it could have served.
func TestServerWithoutReportIsNotSuspected(t *testing.T) {
	e := &engines{fails: map[string]error{"middle": &call.NoReportError{Status: 400}}}
	w, _ := watched(e, 1)
	w.Probe("middle", "it failed a payment")
	until(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return !w.healthy["middle"].IsZero()
	})
	qt.Assert(t, w.State.View().ByAddress("middle").Suspected, qt.IsFalse)
}

// until waits for a condition that another goroutine brings about.
func until(t *testing.T, holds func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-t.Context().Done():
			t.Fatal("never")
		case <-tick.C:
		}
	}
}
