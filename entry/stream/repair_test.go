package stream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/prio"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// addServer adds a server to those that a watch knows.
func addServer(w *Monitor, servers fixed, s fleet.Server) {
	servers[s.ID] = s
	w.State.Servers.Merge(mirror.Batch{After: 1, Cursor: 2, Items: []mirror.Object{{Name: s.ID, Revision: 2}}})
	w.State.ReadServers(time.Now())
}

// lacking returns a watch over a failure domain in which nobody else holds what
// the server in the midst of chains does, beside a domain that holds all layers
// and that the servers of the first one do not reach.
func lacking(e *engines) (*Monitor, fixed) {
	w, servers := watched(e, 0)
	addServer(w, servers, fleet.Server{ID: "away", Service: "assist", Address: "away", Domain: "b", Accelerator: "card", First: 0, End: layers, StartedAt: time.Unix(1, 0)})
	w.State.MarkUnreachable("a", "b", time.Now())
	return w, servers
}

// Guards against a stream that waits for layers to be loaded, for a second or
// longer, while another failure domain could go on with it at once.
func TestStreamGoesOnInAnotherDomain(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		w, servers := lacking(&engines{})
		l := w.stream(servers, "r", silentEvent(chat)+time.Millisecond)
		ended := make(chan error, 1)
		l.cancel = func(cause error) { ended <- cause }
		l.restart = func() bool { return allowed }
		w.repair(l, "middle")
		qt.Check(t, len(ended) == 1, qt.Equals, allowed)
	}
}

// Guards against an answer that is broken off for another run when there is no
// chain for one: it might have gone on.
func TestStreamStaysWhereNobodyHasRoom(t *testing.T) {
	w, servers := watched(&engines{}, 0)
	l := w.stream(servers, "r", silentEvent(chat)+time.Millisecond)
	l.cancel = func(error) { t.Error("ended") }
	l.restart = func() bool { t.Error("a run is reserved"); return true }
	w.repair(l, "middle")
}

// Guards against three orders in turn, of half a second each, to a first server
// that does not answer any.
func TestSilentFirstServerIsOrderedOnce(t *testing.T) {
	for _, taken := range []call.OrderResult{call.OrderUnknown, call.OrderNotFound, call.OrderConflict} {
		e := &engines{taken: map[string]call.OrderResult{"r": taken}}
		w, servers := watched(e, 1)
		l := w.stream(servers, "r", silentEvent(chat)+time.Millisecond)
		ended := make(chan error, 1)
		l.cancel = func(cause error) { ended <- cause }
		l.restart = func() bool { return true }
		w.repair(l, "middle")
		qt.Check(t, e.told, qt.HasLen, 1, qt.Commentf("%v", taken))
	}
}

// Guards against runs beyond those that the route and the budget of repeats
// allow, and against an answer that is ended for a run which is then refused.
func TestReservedRunIsCertain(t *testing.T) {
	w, servers := watched(&engines{}, 1)
	first, other := servers["first"], servers["other-0"]
	chain := router.Chain{{Server: &first, First: 0, End: 4}, {Server: &other, First: 4, End: layers}}
	for _, test := range []struct {
		name    string
		route   route.Route
		ran     []*fleet.Server
		sends   int
		slack   float64
		allowed bool
	}{
		{"one run of two", route.Route{Kind: route.Stream, Resumable: true, Attempts: 2}, nil, 0, 1, true},
		{"no budget", route.Route{Kind: route.Stream, Resumable: true, Attempts: 2}, nil, 0, 0, false},
		{"two runs of two", route.Route{Kind: route.Stream, Resumable: true, Attempts: 2}, []*fleet.Server{&other}, 1, 1, false},
		{"not resumable", route.Route{Kind: route.Stream, Attempts: 2}, nil, 0, 1, false},
		{"sent too often", route.Route{Kind: route.Stream, Resumable: true, Attempts: 9}, nil, maxSends, 1, false},
	} {
		budget := &retry.WindowBudget{MinRetries: func() float64 { return test.slack }, Window: time.Second}
		r := &run{Forwarder: &Forwarder{State: w.State}, job: &call.Job{Request: &call.Request{}, Route: &test.route}, ran: test.ran, budget: budget}
		r.out.Sends = test.sends
		qt.Check(t, r.reserve(chain[0].Server)(), qt.Equals, test.allowed, qt.Commentf(test.name))
		qt.Check(t, r.reserved.Load(), qt.Equals, test.allowed, qt.Commentf(test.name))
	}
}

// Guards against callers that are refused beside room which those who wait cannot
// use.
func TestNobodyIsRefusedBesideRoom(t *testing.T) {
	w, servers := watched(&engines{}, 1)
	j := w.stream(servers, "other", 0).job
	f := &Forwarder{State: w.State, Ledger: w.Ledger, Monitor: w, Queue: &prio.Queue{}, Failures: &Failures{}, LocalDomain: "a"}
	for {
		if place, _ := f.Queue.Enqueue(0, time.Second); place == nil {
			break
		}
	}
	r := &run{Forwarder: f, job: j}
	chain, e := r.choose(t.Context())
	qt.Assert(t, e == nil, qt.IsTrue, qt.Commentf("%v", e))
	qt.Assert(t, chain.Complete(layers), qt.IsTrue)
	w.Ledger.SetRemote("full", map[string]router.Usage{"middle": {TokenLayers: 1e12, Requests: 1}, "other-0": {TokenLayers: 1e12, Requests: 1}})
	_, e = r.choose(t.Context())
	qt.Assert(t, e, qt.IsNotNil)
	qt.Assert(t, e.Code, qt.Equals, fault.Overloaded)
}
