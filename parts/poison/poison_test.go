package poison

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "fuchsiashelf.dev/parts/seed"
)

var start = time.UnixMilli(1_800_000_000_000)

// Guards against the loss of a third server to a request that crashes one
// before its first token, is retried alone and crashes that one too. Its
// caller must be refused at once.
func TestSecondCrashBlocks(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	c.Assert(tracker.Acquire("f", "e1/1", []string{"a1"}, start), qt.Equals, Allowed)
	c.Assert(tracker.RecordCrash("f", "a1", false, start), qt.Equals, Isolated)
	c.Assert(tracker.RecordCrash("f", "a1", false, start), qt.Equals, Isolated)
	c.Assert(tracker.Acquire("f", "e1/1", []string{"b1"}, start), qt.Equals, Isolated)
	c.Assert(tracker.Acquire("f", "e2/1", []string{"c1"}, start), qt.Equals, Wait)
	c.Assert(tracker.RecordCrash("f", "b1", false, start), qt.Equals, Blocked)
	tracker.Clear("f")
	c.Assert(tracker.Acquire("f", "e2/1", []string{"c1"}, start), qt.Equals, Blocked)
	c.Assert(tracker.Acquire("f", "e2/1", []string{"c1"}, start.Add(BlockFor)), qt.Equals, Allowed)
}

// Guards against blocking other requests that ran on the crashed server. One
// that had received tokens continues at once; one that had not waits until the
// isolated run of the suspected request is over. Neither is blocked for the
// crash in that run.
func TestHarmlessRequestsAreNotBlocked(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	tracker.RecordCrash("bad", "a1", false, start)
	c.Assert(tracker.RecordCrash("young", "a1", false, start), qt.Equals, Isolated)
	c.Assert(tracker.RecordCrash("old", "a1", true, start), qt.Equals, Allowed)
	c.Assert(tracker.Acquire("bad", "e1/1", []string{"b1", "b2"}, start), qt.Equals, Isolated)
	c.Assert(tracker.Acquire("young", "e2/1", []string{"c1", "b2"}, start), qt.Equals, Wait)
	c.Assert(tracker.Acquire("old", "e2/2", []string{"b1"}, start), qt.Equals, Allowed)
	c.Assert(tracker.RecordCrash("old", "b1", false, start), qt.Equals, Allowed)
	c.Assert(tracker.RecordCrash("bad", "b1", false, start), qt.Equals, Blocked)
	c.Assert(tracker.RecordCrash("late", "b1", false, start), qt.Equals, Allowed)
	c.Assert(tracker.Acquire("young", "e2/1", []string{"c1", "b2"}, start), qt.Equals, Isolated)
	tracker.Clear("young")
	c.Assert(tracker.Crashes("young"), qt.Equals, 0)
}

// Guards against an isolated run that reserves its servers for ever because
// its entry host or its caller is gone.
func TestIsolatedRunEnds(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	tracker.RecordCrash("f", "a1", false, start)
	tracker.RecordCrash("g", "a1", false, start)
	c.Assert(tracker.Acquire("f", "e1/1", []string{"b1"}, start), qt.Equals, Isolated)
	c.Assert(tracker.Acquire("g", "e2/1", []string{"b1"}, start), qt.Equals, Wait)
	c.Assert(tracker.Acquire("g", "e2/1", []string{"b1"}, start.Add(isolatedRunTimeout)), qt.Equals, Isolated)
	tracker.Release("g", "e2/1")
	c.Assert(tracker.Acquire("f", "e1/1", []string{"b1"}, start.Add(isolatedRunTimeout)), qt.Equals, Isolated)
}

// Guards against crashes that are forgotten when the entry host with the
// tracker is gone: unless the new tracker merges what the requesting entry
// host knows, the request could crash two more servers.
func TestNewTrackerMergesCrashes(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	tracker.Merge("f", []string{"a1"}, start)
	c.Assert(tracker.RecordCrash("f", "b1", false, start), qt.Equals, Blocked)
	for i := range maxRequests + 5 {
		tracker.Merge(Fingerprint(fmt.Sprint(i)), []string{"x"}, start.Add(time.Duration(i)))
	}
	c.Assert(len(tracker.requests), qt.Equals, maxRequests)
}

func TestFingerprintDependsOnTeam(t *testing.T) {
	c := qt.New(t)
	c.Assert(NewFingerprint("a", "bc"), qt.Not(qt.Equals), NewFingerprint("ab", "c"))
	c.Assert(NewFingerprint("a", "x", "y"), qt.Equals, NewFingerprint("a", "x", "y"))
}

// model is a model of servers, entry hosts and callers around one tracker.
type model struct {
	tracker Tracker
	now     time.Time
	servers []string
	crashed map[string]bool
	// informed holds the entry hosts that know that the poisoned request is
	// blocked.
	informed map[int]bool
	runs     []*run
	// reports are crashes that the tracker does not know of yet.
	reports []report
	// lost is the number of servers that the poisoned request crashed.
	// uninformed is the number of its copies that were sent through an entry
	// host that did not know of the block.
	lost, uninformed int
	blocked          bool
	harmlessBlocked  bool
}

// run is one copy of a request.
type run struct {
	fingerprint Fingerprint
	holder      string
	entry       int
	server      string
	poisoned    bool
	progressed  bool
	waiting     bool
	crashes     []string
}

// report is the crash of a server under a run.
type report struct {
	run    *run
	server string
}

func (m *model) alive() []string {
	var all []string
	for _, s := range m.servers {
		if !m.crashed[s] {
			all = append(all, s)
		}
	}
	return all
}

// admit starts a waiting copy on a server if the tracker allows it.
func (m *model) admit(r *run, server string) {
	m.tracker.Merge(r.fingerprint, r.crashes, m.now)
	switch m.tracker.Acquire(r.fingerprint, r.holder, []string{server}, m.now) {
	case Allowed, Isolated:
		r.server, r.waiting, r.progressed = server, false, false
	case Blocked:
		m.end(r)
	case Wait:
	}
}

func (m *model) end(r *run) {
	for i, other := range m.runs {
		if other == r {
			m.runs = append(m.runs[:i], m.runs[i+1:]...)
		}
	}
	if !r.poisoned {
		m.harmlessBlocked = true
	}
}

// crash lets the poisoned request crash its server, under all requests that
// run there.
func (m *model) crash(r *run) {
	server := r.server
	m.crashed[server] = true
	m.lost++
	for _, other := range m.runs {
		if other.server == server {
			other.server, other.waiting = "", false
			m.reports = append(m.reports, report{other, server})
		}
	}
}

// deliver delivers one report to the tracker.
func (m *model) deliver(i int) {
	rep := m.reports[i]
	m.reports = append(m.reports[:i], m.reports[i+1:]...)
	before := m.tracker.Crashes(rep.run.fingerprint)
	outcome := m.tracker.RecordCrash(rep.run.fingerprint, rep.server, rep.run.progressed, m.now)
	if m.tracker.Crashes(rep.run.fingerprint) > before {
		rep.run.crashes = append(rep.run.crashes, rep.server)
	}
	if outcome == Blocked {
		m.blocked = m.blocked || rep.run.poisoned
		m.end(rep.run)
		return
	}
	rep.run.waiting = true
}

// Guards against losing more servers to a poisoned request than two, plus one
// for each copy sent through an entry host that does not know of the block
// yet, and against blocking a harmless request while all entry hosts know of
// it. The caller sends the poisoned request through one entry host after
// another; reports of crashes arrive in any order, while other requests come
// and go.
func TestPoisonedRequestModel(t *testing.T) {
	const entries = 4
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: start, crashed: map[string]bool{}, informed: map[int]bool{}}
		for i := range 9 {
			m.servers = append(m.servers, fmt.Sprintf("s%d", i))
		}
		pickServer := func(t *rapid.T) string {
			alive := m.alive()
			if len(alive) == 0 {
				t.Skip("no server")
			}
			return rapid.SampledFrom(alive).Draw(t, "server")
		}
		pickRun := func(t *rapid.T, match func(*run) bool) *run {
			var found []*run
			for _, r := range m.runs {
				if match(r) {
					found = append(found, r)
				}
			}
			if len(found) == 0 {
				t.Skip("no run")
			}
			return rapid.SampledFrom(found).Draw(t, "run")
		}
		next := 0
		begin := func(t *rapid.T, fingerprint Fingerprint, entry int, poisoned bool) {
			next++
			r := &run{fingerprint: fingerprint, holder: fmt.Sprint(next), entry: entry, poisoned: poisoned, server: pickServer(t)}
			m.runs = append(m.runs, r)
		}
		t.Repeat(map[string]func(*rapid.T){
			"regular starts": func(t *rapid.T) {
				begin(t, Fingerprint(fmt.Sprintf("good-%d", next)), 0, false)
			},
			"poisoned starts": func(t *rapid.T) {
				for _, r := range m.runs {
					if r.poisoned {
						t.Skip("its caller waits for the response")
					}
				}
				for _, rep := range m.reports {
					if rep.run.poisoned {
						t.Skip("its caller waits for the response")
					}
				}
				entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
				if m.informed[entry] {
					t.Skip("refused")
				}
				if m.blocked {
					m.uninformed++
				}
				m.informed[entry] = true
				begin(t, "bad", entry, true)
			},
			"block reaches": func(t *rapid.T) {
				if m.blocked {
					m.informed[rapid.IntRange(0, entries-1).Draw(t, "entry")] = true
				}
			},
			"crash": func(t *rapid.T) { m.crash(pickRun(t, func(r *run) bool { return r.poisoned && r.server != "" })) },
			"report": func(t *rapid.T) {
				if len(m.reports) == 0 {
					t.Skip("no report")
				}
				m.deliver(rapid.IntRange(0, len(m.reports)-1).Draw(t, "report"))
			},
			"try": func(t *rapid.T) {
				r := pickRun(t, func(r *run) bool { return r.waiting })
				m.admit(r, pickServer(t))
			},
			"token": func(t *rapid.T) {
				r := pickRun(t, func(r *run) bool { return !r.poisoned && r.server != "" })
				r.progressed, r.crashes = true, nil
				m.tracker.Clear(r.fingerprint)
			},
			"time": func(*rapid.T) { m.now = m.now.Add(100 * time.Millisecond) },
			"": func(t *rapid.T) {
				if m.lost > MaxCrashes+m.uninformed {
					t.Fatalf("%d servers lost, %d copies sent through uninformed entry hosts", m.lost, m.uninformed)
				}
				if m.harmlessBlocked && m.uninformed == 0 {
					t.Fatal("a harmless request was blocked")
				}
			},
		})
	})
}
