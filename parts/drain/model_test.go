package drain_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/drain"
)

// phase is the phase of a request. The phases are the steps of
// view.Publisher.Acquire, separated so that anything can happen in between.
type phase int

const (
	// picked: the server was picked from a snapshot without the stop.
	picked phase = iota
	// counted: the request is counted, but has not checked the latest snapshot
	// yet.
	counted
	// running: the request is on the server.
	running
)

// entryHost is an entry host. A frozen one does nothing.
type entryHost struct {
	name     string
	revision uint64
	cordoned bool
	frozen   bool
	requests []phase
	// pending is a report whose snapshot was read, but for which the requests
	// were not counted yet.
	pending *drain.Report
}

// inFlight returns the number of counted requests.
func (e *entryHost) inFlight() int64 {
	n := int64(0)
	for _, p := range e.requests {
		if p >= counted {
			n++
		}
	}
	return n
}

// model is a server that the operators stop and resume, and entry hosts that
// learn of it late.
type model struct {
	revision   uint64
	stopped    uint64
	entryHosts []*entryHost
	reports    map[string]drain.Report
	joined     int
	// safe reports that the stop was evaluated as safe, so that the server may
	// be removed.
	safe bool
}

// drawEntryHost returns a random entry host that is not frozen.
func (m *model) drawEntryHost(t *rapid.T) *entryHost {
	e := m.entryHosts[rapid.IntRange(0, len(m.entryHosts)-1).Draw(t, "entry")]
	if e.frozen {
		t.Skip("frozen")
	}
	return e
}

// toggleStop stops or resumes the server. The operators resume a server only by
// a command, and remove it only once the stop is safe.
func (m *model) toggleStop(t *rapid.T) {
	if m.safe {
		t.Skip("removed")
	}
	m.revision++
	if m.stopped > 0 {
		m.stopped = 0
		return
	}
	m.stopped = m.revision
}

// updateConfig gives an entry host the latest configuration.
func (m *model) updateConfig(t *rapid.T) {
	e := m.drawEntryHost(t)
	e.revision, e.cordoned = m.revision, m.stopped > 0
}

// startRequest starts a request on an entry host that does not know of a stop.
func (m *model) startRequest(t *rapid.T) {
	e := m.drawEntryHost(t)
	if e.cordoned {
		t.Skip("cordoned")
	}
	e.requests = append(e.requests, picked)
}

// advanceRequest moves one request to its next phase. A running request ends,
// and so does a counted one that finds the server cordoned.
func (m *model) advanceRequest(t *rapid.T) {
	e := m.drawEntryHost(t)
	if len(e.requests) == 0 {
		t.Skip("no request")
	}
	at := rapid.IntRange(0, len(e.requests)-1).Draw(t, "request")
	if e.requests[at] == running || e.requests[at] == counted && e.cordoned {
		e.requests = append(e.requests[:at:at], e.requests[at+1:]...)
		return
	}
	e.requests[at]++
}

// stepReport makes a report in two steps: the first reads the snapshot, the
// second counts the requests.
func (m *model) stepReport(t *rapid.T) {
	e := m.drawEntryHost(t)
	if e.pending == nil {
		e.pending = &drain.Report{Cordoned: e.cordoned, Revision: e.revision}
		return
	}
	e.pending.InFlight = e.inFlight()
	m.reports[e.name] = *e.pending
	e.pending = nil
}

// loseReport drops the report of an entry host.
func (m *model) loseReport(t *rapid.T) {
	delete(m.reports, m.drawEntryHost(t).name)
}

// toggleFreeze freezes or resumes an entry host.
func (m *model) toggleFreeze(t *rapid.T) {
	e := m.entryHosts[rapid.IntRange(0, len(m.entryHosts)-1).Draw(t, "entry")]
	e.frozen = !e.frozen
}

// join adds an entry host, which has the latest configuration before it accepts
// callers.
func (m *model) join(*rapid.T) {
	m.joined++
	m.entryHosts = append(m.entryHosts, &entryHost{
		name: fmt.Sprint("e", m.joined), revision: m.revision, cordoned: m.stopped > 0,
	})
}

// leave removes an entry host without requests.
func (m *model) leave(t *rapid.T) {
	at := rapid.IntRange(0, len(m.entryHosts)-1).Draw(t, "entry")
	if len(m.entryHosts[at].requests) > 0 || len(m.entryHosts) == 1 {
		t.Skip("stays")
	}
	m.entryHosts = append(m.entryHosts[:at:at], m.entryHosts[at+1:]...)
}

// evaluate evaluates the stop in force.
func (m *model) evaluate(t *rapid.T) {
	if m.stopped == 0 {
		t.Skip("no stop")
	}
	var names []string
	for _, e := range m.entryHosts {
		names = append(names, e.name)
	}
	m.safe = m.safe || drain.Evaluate(m.stopped, names, m.reports).Safe
}

// check verifies the invariant after every step.
func (m *model) check(t *rapid.T) {
	for _, e := range m.entryHosts {
		for _, p := range e.requests {
			if m.safe && p == running {
				t.Fatalf("%s has a request on a server that was reported safe to remove", e.name)
			}
		}
	}
}

// Guards against a stop that is reported safe too early, so that the server
// would be removed while it runs a request. Requests start and end on several
// entry hosts, which learn of stops late, freeze, join and leave, while
// reports are made, lost and kept.
func TestStopModel(t *testing.T) {
	for _, set := range [][2]string{{"rapid.seed", "1"}, {"rapid.steps", "120"}} {
		f := flag.Lookup(set[0])
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(set[0], set[1]); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{reports: map[string]drain.Report{}}
		m.join(t)
		m.join(t)
		t.Repeat(map[string]func(*rapid.T){
			"line": m.toggleStop, "learn": m.updateConfig, "begin": m.startRequest, "advance": m.advanceRequest,
			"advance more": m.advanceRequest, "report": m.stepReport, "report more": m.stepReport, "lose": m.loseReport,
			"freeze": m.toggleFreeze, "join": m.join, "leave": m.leave, "judge": m.evaluate, "": m.check,
		})
	})
}
