package drain_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/drain"
)

// phase is how far a request has come. The phases are those of view.Enter,
// taken apart so that anything can happen in between.
type phase int

const (
	// chosen: it chose the server from a snapshot without the stop.
	chosen phase = iota
	// counted: it is counted, and has not looked at the newest snapshot yet.
	counted
	// running: it is on the server.
	running
)

// entry is an entry host. One that is frozen does nothing.
type entry struct {
	name     string
	revision uint64
	out      bool
	frozen   bool
	requests []phase
	// begun is a report whose snapshot was read and whose count was not.
	begun *drain.Report
}

func (e *entry) inFlight() int64 {
	n := int64(0)
	for _, p := range e.requests {
		if p >= counted {
			n++
		}
	}
	return n
}

// world is a server that the operators stop and resume, and entry hosts that
// learn of it late.
type world struct {
	revision uint64
	stopped  uint64
	entries  []*entry
	reports  map[string]drain.Report
	joined   int
	// safe says that the stop in force was called safe.
	safe bool
}

func (w *world) pick(t *rapid.T) *entry {
	e := w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")]
	if e.frozen {
		t.Skip("frozen")
	}
	return e
}

// line changes the stop. The operators resume a server only by a line, and
// take it away only after safe.
func (w *world) line(t *rapid.T) {
	if w.safe {
		t.Skip("taken away")
	}
	w.revision++
	if w.stopped > 0 {
		w.stopped = 0
		return
	}
	w.stopped = w.revision
}

func (w *world) learn(t *rapid.T) {
	e := w.pick(t)
	e.revision, e.out = w.revision, w.stopped > 0
}

// choose begins a request on an entry host that does not know of a stop.
func (w *world) choose(t *rapid.T) {
	e := w.pick(t)
	if e.out {
		t.Skip("out")
	}
	e.requests = append(e.requests, chosen)
}

// advance takes one request a phase further.
func (w *world) advance(t *rapid.T) {
	e := w.pick(t)
	if len(e.requests) == 0 {
		t.Skip("no request")
	}
	at := rapid.IntRange(0, len(e.requests)-1).Draw(t, "request")
	if e.requests[at] == running || e.requests[at] == counted && e.out {
		e.requests = append(e.requests[:at:at], e.requests[at+1:]...)
		return
	}
	e.requests[at]++
}

// report reads the snapshot first and the count in a later step.
func (w *world) report(t *rapid.T) {
	e := w.pick(t)
	if e.begun == nil {
		e.begun = &drain.Report{Cordoned: e.out, Revision: e.revision}
		return
	}
	e.begun.InFlight = e.inFlight()
	w.reports[e.name] = *e.begun
	e.begun = nil
}

func (w *world) lose(t *rapid.T) {
	delete(w.reports, w.pick(t).name)
}

func (w *world) freeze(t *rapid.T) {
	e := w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")]
	e.frozen = !e.frozen
}

// join adds an entry host, which has the newest configuration before it takes
// callers.
func (w *world) join(*rapid.T) {
	w.joined++
	w.entries = append(w.entries, &entry{
		name: fmt.Sprint("e", w.joined), revision: w.revision, out: w.stopped > 0,
	})
}

// leave removes an entry host that has finished its requests.
func (w *world) leave(t *rapid.T) {
	at := rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")
	if len(w.entries[at].requests) > 0 || len(w.entries) == 1 {
		t.Skip("stays")
	}
	w.entries = append(w.entries[:at:at], w.entries[at+1:]...)
}

func (w *world) judge(t *rapid.T) {
	if w.stopped == 0 {
		t.Skip("no stop")
	}
	var names []string
	for _, e := range w.entries {
		names = append(names, e.name)
	}
	w.safe = w.safe || drain.Evaluate(w.stopped, names, w.reports).Safe
}

// check holds after every step.
func (w *world) check(t *rapid.T) {
	for _, e := range w.entries {
		for _, p := range e.requests {
			if w.safe && p == running {
				t.Fatalf("%s has a request on a server that was called safe to take away", e.name)
			}
		}
	}
}

// Requests begin and end on several entry hosts, which learn of stops late,
// freeze, join and leave, while reports are made, lost and kept. Were a stop
// called safe too early, its server would be taken away under a request.
func TestExploreStops(t *testing.T) {
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
		w := &world{reports: map[string]drain.Report{}}
		w.join(t)
		w.join(t)
		t.Repeat(map[string]func(*rapid.T){
			"line": w.line, "learn": w.learn, "choose": w.choose, "advance": w.advance,
			"advance more": w.advance, "report": w.report, "report more": w.report, "lose": w.lose,
			"freeze": w.freeze, "join": w.join, "leave": w.leave, "judge": w.judge, "": w.check,
		})
	})
}
