package poison

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

// A request takes down a server before it got a token, is tried alone, and
// takes down that one too. The caller has to be told at once, and no third
// server may be lost.
func TestSecondDeathConvicts(t *testing.T) {
	c := qt.New(t)
	var b Tracker
	c.Assert(b.Acquire("f", "e1/1", []string{"a1"}, start), qt.Equals, Allowed)
	c.Assert(b.RecordCrash("f", "a1", false, start), qt.Equals, Isolated)
	c.Assert(b.RecordCrash("f", "a1", false, start), qt.Equals, Isolated)
	c.Assert(b.Acquire("f", "e1/1", []string{"b1"}, start), qt.Equals, Isolated)
	c.Assert(b.Acquire("f", "e2/1", []string{"c1"}, start), qt.Equals, Wait)
	c.Assert(b.RecordCrash("f", "b1", false, start), qt.Equals, Blocked)
	b.Clear("f")
	c.Assert(b.Acquire("f", "e2/1", []string{"c1"}, start), qt.Equals, Blocked)
	c.Assert(b.Acquire("f", "e2/1", []string{"c1"}, start.Add(BlockFor)), qt.Equals, Allowed)
}

// Others ran on the server that died. One that had got tokens goes on at
// once; one that had not waits until the suspect's trial is over, and neither
// is blamed for the trial's death.
func TestInnocentsAreNotBlamed(t *testing.T) {
	c := qt.New(t)
	var b Tracker
	b.RecordCrash("bad", "a1", false, start)
	c.Assert(b.RecordCrash("young", "a1", false, start), qt.Equals, Isolated)
	c.Assert(b.RecordCrash("old", "a1", true, start), qt.Equals, Allowed)
	c.Assert(b.Acquire("bad", "e1/1", []string{"b1", "b2"}, start), qt.Equals, Isolated)
	c.Assert(b.Acquire("young", "e2/1", []string{"c1", "b2"}, start), qt.Equals, Wait)
	c.Assert(b.Acquire("old", "e2/2", []string{"b1"}, start), qt.Equals, Allowed)
	c.Assert(b.RecordCrash("old", "b1", false, start), qt.Equals, Allowed)
	c.Assert(b.RecordCrash("bad", "b1", false, start), qt.Equals, Blocked)
	c.Assert(b.RecordCrash("late", "b1", false, start), qt.Equals, Allowed)
	c.Assert(b.Acquire("young", "e2/1", []string{"c1", "b2"}, start), qt.Equals, Isolated)
	b.Clear("young")
	c.Assert(b.Crashes("young"), qt.Equals, 0)
}

// The entry host that holds a trial is gone, or its caller is. The trial must
// not keep the servers for ever.
func TestTrialEnds(t *testing.T) {
	c := qt.New(t)
	var b Tracker
	b.RecordCrash("f", "a1", false, start)
	b.RecordCrash("g", "a1", false, start)
	c.Assert(b.Acquire("f", "e1/1", []string{"b1"}, start), qt.Equals, Isolated)
	c.Assert(b.Acquire("g", "e2/1", []string{"b1"}, start), qt.Equals, Wait)
	c.Assert(b.Acquire("g", "e2/1", []string{"b1"}, start.Add(trialFor)), qt.Equals, Isolated)
	b.Release("g", "e2/1")
	c.Assert(b.Acquire("f", "e1/1", []string{"b1"}, start.Add(trialFor)), qt.Equals, Isolated)
}

// The entry host that kept the book is gone. The next one learns what the
// asker knows, or the request would have two more servers to take down.
func TestNextBookLearns(t *testing.T) {
	c := qt.New(t)
	var b Tracker
	b.Merge("f", []string{"a1"}, start)
	c.Assert(b.RecordCrash("f", "b1", false, start), qt.Equals, Blocked)
	for i := range maxCases + 5 {
		b.Merge(Fingerprint(fmt.Sprint(i)), []string{"x"}, start.Add(time.Duration(i)))
	}
	c.Assert(len(b.cases), qt.Equals, maxCases)
}

func TestFingerprintTellsTeamsApart(t *testing.T) {
	c := qt.New(t)
	c.Assert(NewFingerprint("a", "bc"), qt.Not(qt.Equals), NewFingerprint("ab", "c"))
	c.Assert(NewFingerprint("a", "x", "y"), qt.Equals, NewFingerprint("a", "x", "y"))
}

// world is a model of servers, entry hosts and callers round one book.
type world struct {
	book    Tracker
	now     time.Time
	servers []string
	dead    map[string]bool
	// known holds the entry hosts that know of the conviction.
	known map[int]bool
	runs  []*run
	// reports are deaths that have not reached the book yet.
	reports []report
	// lost counts the servers that the crasher took down, unaware the copies
	// that began where the conviction was not known.
	lost, unaware int
	convicted     bool
	innocentGone  bool
}

// run is one copy of a request on a server.
type run struct {
	mark       Fingerprint
	holder     string
	entry      int
	server     string
	crasher    bool
	progressed bool
	waiting    bool
	dead       []string
}

type report struct {
	run    *run
	server string
}

func (w *world) alive() []string {
	var all []string
	for _, s := range w.servers {
		if !w.dead[s] {
			all = append(all, s)
		}
	}
	return all
}

// admit lets a waiting copy begin on a server if the book says so.
func (w *world) admit(r *run, server string) {
	w.book.Merge(r.mark, r.dead, w.now)
	switch w.book.Acquire(r.mark, r.holder, []string{server}, w.now) {
	case Allowed, Isolated:
		r.server, r.waiting, r.progressed = server, false, false
	case Blocked:
		w.end(r)
	case Wait:
	}
}

func (w *world) end(r *run) {
	for i, other := range w.runs {
		if other == r {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
		}
	}
	if !r.crasher {
		w.innocentGone = true
	}
}

// crash lets the crasher run: its server dies under all that run there.
func (w *world) crash(r *run) {
	server := r.server
	w.dead[server] = true
	w.lost++
	for _, other := range w.runs {
		if other.server == server {
			other.server, other.waiting = "", false
			w.reports = append(w.reports, report{other, server})
		}
	}
}

// deliver brings one report to the book.
func (w *world) deliver(i int) {
	p := w.reports[i]
	w.reports = append(w.reports[:i], w.reports[i+1:]...)
	before := w.book.Crashes(p.run.mark)
	outcome := w.book.RecordCrash(p.run.mark, p.server, p.run.progressed, w.now)
	if w.book.Crashes(p.run.mark) > before {
		p.run.dead = append(p.run.dead, p.server)
	}
	if outcome == Blocked {
		w.convicted = w.convicted || p.run.crasher
		w.end(p.run)
		return
	}
	p.run.waiting = true
}

// One request crashes each server that runs it. Its caller sends it through
// one entry host after the other, some of which the conviction has not
// reached; reports of deaths arrive in any order, while other requests come
// and go. Two servers are lost, and one more for each entry host that had not
// heard. No other request is refused while all have heard.
func TestExploreCrasher(t *testing.T) {
	const entries = 4
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, dead: map[string]bool{}, known: map[int]bool{}}
		for i := range 9 {
			w.servers = append(w.servers, fmt.Sprintf("s%d", i))
		}
		pickServer := func(t *rapid.T) string {
			alive := w.alive()
			if len(alive) == 0 {
				t.Skip("no server")
			}
			return rapid.SampledFrom(alive).Draw(t, "server")
		}
		pickRun := func(t *rapid.T, fits func(*run) bool) *run {
			var found []*run
			for _, r := range w.runs {
				if fits(r) {
					found = append(found, r)
				}
			}
			if len(found) == 0 {
				t.Skip("no run")
			}
			return rapid.SampledFrom(found).Draw(t, "run")
		}
		next := 0
		begin := func(t *rapid.T, mark Fingerprint, entry int, crasher bool) {
			next++
			r := &run{mark: mark, holder: fmt.Sprint(next), entry: entry, crasher: crasher, server: pickServer(t)}
			w.runs = append(w.runs, r)
		}
		t.Repeat(map[string]func(*rapid.T){
			"innocent begins": func(t *rapid.T) {
				begin(t, Fingerprint(fmt.Sprintf("good-%d", next)), 0, false)
			},
			"crasher is sent": func(t *rapid.T) {
				for _, r := range w.runs {
					if r.crasher {
						t.Skip("its caller waits for the answer")
					}
				}
				for _, p := range w.reports {
					if p.run.crasher {
						t.Skip("its caller waits for the answer")
					}
				}
				entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
				if w.known[entry] {
					t.Skip("refused")
				}
				if w.convicted {
					w.unaware++
				}
				w.known[entry] = true
				begin(t, "bad", entry, true)
			},
			"conviction reaches": func(t *rapid.T) {
				if w.convicted {
					w.known[rapid.IntRange(0, entries-1).Draw(t, "entry")] = true
				}
			},
			"crash": func(t *rapid.T) { w.crash(pickRun(t, func(r *run) bool { return r.crasher && r.server != "" })) },
			"report": func(t *rapid.T) {
				if len(w.reports) == 0 {
					t.Skip("no report")
				}
				w.deliver(rapid.IntRange(0, len(w.reports)-1).Draw(t, "report"))
			},
			"try": func(t *rapid.T) {
				r := pickRun(t, func(r *run) bool { return r.waiting })
				w.admit(r, pickServer(t))
			},
			"token": func(t *rapid.T) {
				r := pickRun(t, func(r *run) bool { return !r.crasher && r.server != "" })
				r.progressed, r.dead = true, nil
				w.book.Clear(r.mark)
			},
			"time": func(*rapid.T) { w.now = w.now.Add(100 * time.Millisecond) },
			"": func(t *rapid.T) {
				if w.lost > MaxCrashes+w.unaware {
					t.Fatalf("%d servers lost, %d sent where it was not known", w.lost, w.unaware)
				}
				if w.innocentGone && w.unaware == 0 {
					t.Fatal("an innocent request was convicted")
				}
			},
		})
	})
}
