package stream

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// Guards against a stalled stream that keeps a server from loading layers for as long as its caller waits,
// because the machine of a server of its chain is gone without a reset, or the server has restarted under its ID.
func TestStreamBehindLostServerReleasesLoad(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(m *Monitor, servers fakeDecoder)
	}{
		{"the process has ended", func(m *Monitor, _ fakeDecoder) { m.setExited("middle", true, time.Now()) }},
		{"the machine is gone and its entry has expired", func(m *Monitor, _ fakeDecoder) {
			m.State.Servers.Merge(mirror.Batch{After: 2, Cursor: 3, Items: []mirror.Object{{Name: "middle", Revision: 3, Deleted: true}}})
			m.State.ReadServers(time.Now())
		}},
		{"the machine is gone and the server counts as lost", func(m *Monitor, _ fakeDecoder) {
			m.State.Suspect("middle", time.Now().Add(time.Hour), time.Now())
		}},
		{"the server has restarted under its ID", func(m *Monitor, servers fakeDecoder) {
			s := servers["middle"]
			s.StartedAt = time.Now()
			s.First, s.End = 0, 0
			servers["middle"] = s
			m.State.Servers.Merge(mirror.Batch{After: 2, Cursor: 3, Items: []mirror.Object{{Name: "middle", Revision: 3}}})
			m.State.ReadServers(time.Now())
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			m, servers := newMonitor(&fakeEngines{}, 0)
			next := fleet.Server{ID: "next", Service: "assist", Address: "next", Domain: "a", Accelerator: "card", First: 8, End: 12, StartedAt: time.Unix(1, 0)}
			addServer(m, servers, next)
			stream := m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
			first, middle := servers["first"], servers["middle"]
			stream.chain = router.Chain{{Server: &first, First: 0, End: 4}, {Server: &middle, First: 4, End: 8}, {Server: &next, First: 8, End: 12}}
			ended := make(chan error, 1)
			stream.cancel = func(cause error) { ended <- cause }
			m.State.Assign(state.Assignment{ID: "next", First: 4, End: 10, Until: time.Now().Add(time.Hour)}, time.Now())
			test.lose(m, servers)
			m.rerouteStream(stream, "middle")
			qt.Assert(t, ended, qt.HasLen, 1)
		})
	}
}

// pausedEngines answers no report: probes wait for their timeout on connections that were idle before, unless these were closed.
type pausedEngines struct {
	fakeEngines
	mu   sync.Mutex
	idle int
}

func (e *pausedEngines) Report(ctx context.Context, _ string) (call.Report, error) {
	e.mu.Lock()
	fresh := e.idle == 0
	if !fresh {
		e.idle--
	}
	e.mu.Unlock()
	<-ctx.Done()
	return call.Report{}, &conns.NoAnswerError{NewConn: fresh, Cause: context.DeadlineExceeded}
}

// Guards against a paused server that counts as lost because a probe before another attempt and one of a silent
// stream are in flight at the same time, both on connections that were idle.
func TestProbesAtTheSameTimeAreOneMiss(t *testing.T) {
	e := &pausedEngines{idle: 2}
	m, servers := newMonitor(&e.fakeEngines, 0)
	m.Engine = e
	m.DropConns = func(string) { e.mu.Lock(); e.idle = 0; e.mu.Unlock() }
	middle := servers["middle"]
	var probes sync.WaitGroup
	probes.Go(func() { m.probeSilent(t.Context(), "middle") })
	probes.Go(func() { m.findSilent([]router.Stage{{Server: &middle, First: 4, End: 12}}) })
	probes.Wait()
	s := m.State.View().ByAddress("middle")
	t.Logf("suspected %v, silent %v, lost %v", s.Suspected, s.Silent, s.Lost())
	qt.Assert(t, s.Lost(), qt.IsFalse)
}

// Guards against silent chains that use up the link between failure domains, so that streams which could move
// over it do not.
func TestSilentChainsUseNoLink(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"spare": context.DeadlineExceeded, "far": context.DeadlineExceeded}}
	m, servers := newMonitor(e, 0)
	addServer(m, servers, fleet.Server{ID: "far", Service: "assist", Address: "far", Domain: "b", Accelerator: "card", First: 4, End: testLayers, StartedAt: time.Unix(1, 0)})
	servers["near"] = fleet.Server{ID: "near", Service: "assist", Address: "near", Domain: "a", Accelerator: "card", First: 0, End: 4, StartedAt: time.Unix(1, 0)}
	m.State.Servers.Merge(mirror.Batch{After: 2, Cursor: 3, Items: []mirror.Object{{Name: "near", Revision: 3}}})
	m.State.ReadServers(time.Now())
	job := m.addStream(servers, "r", 0).job
	job.PromptTokens, job.Deadline = 100, time.Now().Add(time.Minute)
	job.Route = &route.Route{Kind: route.Stream, Resumable: true, Attempts: 2, Target: time.Second, MaxGap: 250 * time.Millisecond}
	job.Service.Engine.HopBytes, job.Service.Engine.InterDomainMbps = 10000, 1000
	log := slog.New(slog.DiscardHandler)
	f := &Forwarder{State: m.State, Load: m.Load, Monitor: m, Failures: &Failures{}, Limits: &limit.Tracker{Hosts: func() ([]string, bool) { return nil, true }, Log: log}, LocalDomain: "a", Log: log}
	r := &request{Forwarder: f, job: job, ctx: t.Context(), avoid: map[string]bool{}, budget: &retry.WindowBudget{MinRetries: func() float64 { return 100 }, Window: time.Minute}}
	first, middle := servers["first"], servers["middle"]
	a := r.begin(router.Chain{{Server: &first, First: 0, End: 4}, {Server: &middle, First: 4, End: testLayers}})
	for i := range 40 {
		_, _, reason := a.findReplacement(replacement{cause: errSilent, avoid: map[string]bool{"middle": true}})
		if i%10 == 0 {
			t.Log(reason)
		}
	}
	qt.Assert(t, m.reserveTransfer(job, 1), qt.IsTrue)
}

// Guards against an answer that is cut off by the planned stop of a server in the middle of its chain,
// because the attempt that is to take its place is ended by the next event of the first one.
func TestStreamLeavesDrainingServer(t *testing.T) {
	twice := route.Route{Kind: route.Stream, Resumable: true, Attempts: 2, Target: time.Second, MaxGap: time.Second}
	ready := make(chan struct{})
	r := newReplaceTest(t, twice, 5, func(w http.ResponseWriter, r *http.Request) {
		<-ready
		sendEventsAfter(w, r, streamEvents)
	})
	r.mu.Lock()
	first := r.inFlight[0]
	r.mu.Unlock()
	qt.Assert(t, first.tryReplace(replacement{cause: errNoChain, takeOver: true}), qt.Equals, "")
	<-r.asked
	r.first.then = 2
	close(r.first.resume)
	waitFor(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.delivered.count == 2 })
	close(ready)
	<-r.first.left
	qt.Assert(t, <-r.ended == nil, qt.IsTrue)
	qt.Assert(t, strings.Count(r.body.Body.String(), "id:"), qt.Equals, streamEvents)
}

// Guards against misses of a server that only searches for other chains probe, and that do not add up to a suspicion.
func TestMissesOfSearchesAddUp(t *testing.T) {
	e := &fakeEngines{reportErrors: map[string]error{"other-0": &conns.NoAnswerError{NewConn: true, Cause: context.DeadlineExceeded}}}
	m, servers := newMonitor(e, 1)
	m.addStream(servers, "r", silentTimeout(testRoute)+time.Millisecond)
	other := servers["other-0"]
	for range 4 {
		m.findSilent([]router.Stage{{Server: &other, First: 4, End: 12}})
		m.sweep(t.Context(), time.Now())
		time.Sleep(aliveFor + 10*time.Millisecond)
	}
	qt.Assert(t, m.State.View().ByAddress("other-0").Suspected, qt.IsTrue)
}
