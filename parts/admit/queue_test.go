package admit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/fault"
	_ "fuchsiashelf.dev/parts/seed"
)

var start = time.Unix(1000, 0)

// limits returns limits that the tests do not reach.
func limits() admit.Limits {
	return admit.Limits{MaxWait: time.Hour, MaxRequests: 1000, MaxBytes: 1 << 20}
}

// newRequestWithCost returns a request with a distant deadline.
func newRequestWithCost(team string, cost float64) admit.Request {
	return admit.Request{Team: team, Weight: 1, Cost: cost, Deadline: start.Add(24 * time.Hour)}
}

// Guards against a request that uses a slot in vain because it can't end
// before its deadline; its caller would learn of it only at the deadline.
func TestUnmeetableDeadlineIsRefused(t *testing.T) {
	c := qt.New(t)
	q := &admit.Queue{Limits: limits(), Limit: 1}
	late := newRequestWithCost("a", 10)
	late.Deadline, late.RunTime = start.Add(time.Second), 2*time.Second
	_, e := q.Submit(start, late)
	c.Assert(e.Code, qt.Equals, fault.Deadline)
	c.Assert(e.Verdict, qt.Equals, fault.NotRun)

	// One request ran for 4 s and another one is running: the next waits 4 s.
	first, e := q.Submit(start, newRequestWithCost("a", 10))
	c.Assert(e == nil, qt.IsTrue)
	now := start.Add(4 * time.Second)
	q.Done(now, first)
	_, e = q.Submit(now, newRequestWithCost("a", 10))
	c.Assert(e == nil, qt.IsTrue)
	late.Deadline, late.RunTime = now.Add(3*time.Second), time.Second
	_, e = q.Submit(now, late)
	c.Assert(e.Code, qt.Equals, fault.Deadline)
	c.Assert(e.RetryAfter, qt.Equals, 4*time.Second)
}

// Guards against a flood of waiting requests whose memory would crash the
// entry host, with all its running requests.
func TestQueueLimits(t *testing.T) {
	for _, test := range []struct {
		name    string
		limits  admit.Limits
		message string
	}{
		{"requests", admit.Limits{MaxWait: time.Hour, MaxRequests: 2, MaxBytes: 100}, "too many requests wait"},
		{"bytes", admit.Limits{MaxWait: time.Hour, MaxRequests: 9, MaxBytes: 25}, ".*too much memory"},
		{"none wait", admit.Limits{}, "too many requests wait"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := &admit.Queue{Limits: test.limits, Limit: 1}
			req := newRequestWithCost("a", 1)
			req.Bytes = 10
			var e *fault.Error
			for i := 0; i < 4 && e == nil; i++ {
				_, e = q.Submit(start, req)
			}
			c.Assert(e != nil, qt.IsTrue)
			c.Assert(e.Message, qt.Matches, test.message)
			c.Assert(e.Code, qt.Equals, fault.Overloaded)
			c.Assert(e.Verdict, qt.Equals, fault.NotRun)
			c.Assert(e.RetryAfter > 0, qt.IsTrue)
		})
	}
}

// Guards against a team below its share that has to wait because another team
// sends ten times its share and fills the limit.
func TestHeadroomIsForTeamsBelowTheirShare(t *testing.T) {
	c := qt.New(t)
	lim := limits()
	lim.Headroom, lim.MaxCredit = 0.2, 5
	q := &admit.Queue{Limits: lim, Limit: 10}
	for range 12 {
		_, e := q.Submit(start, newRequestWithCost("loud", 1))
		c.Assert(e == nil, qt.IsTrue)
	}
	c.Assert(q.Running(), qt.Equals, 10)
	entry, e := q.Submit(start, newRequestWithCost("quiet", 1))
	c.Assert(e == nil, qt.IsTrue)
	c.Assert(entry.Running, qt.IsTrue)
	c.Assert(q.Waiting(), qt.Equals, 2)
}

// Guards against delaying the burst of a team that stays within its share on
// average, while another team constantly sends ten times its share. The burst
// runs first, since its team left that much capacity unused before.
func TestBurstsOfTeamsWithCreditRunFirst(t *testing.T) {
	quietStarted := func(credit float64) int {
		c := qt.New(t)
		lim := limits()
		lim.MaxCredit = credit
		q := &admit.Queue{Limits: lim, Limit: 1}
		running, _ := q.Submit(start, newRequestWithCost("loud", 10))
		for range 30 {
			_, e := q.Submit(start, newRequestWithCost("loud", 10))
			c.Assert(e == nil, qt.IsTrue)
		}
		for range 20 {
			running = q.Done(start, running)[0]
		}
		quiet := 0
		for range 6 {
			_, e := q.Submit(start, newRequestWithCost("quiet", 10))
			c.Assert(e == nil, qt.IsTrue)
		}
		for range 6 {
			running = q.Done(start, running)[0]
			if running.Team == "quiet" {
				quiet++
			}
		}
		return quiet
	}
	c := qt.New(t)
	c.Assert(quietStarted(0) <= 4, qt.IsTrue)
	c.Assert(quietStarted(100), qt.Equals, 6)
}

// model drives a queue with random operations and tracks the expected state.
type model struct {
	queue   admit.Queue
	now     time.Time
	running []*admit.Entry
	waiting []*admit.Entry
}

func (m *model) submit(t *rapid.T) {
	team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	req := admit.Request{
		Team: team, Weight: map[string]float64{"a": 1, "b": 2, "c": 5}[team],
		Cost:     float64(rapid.IntRange(1, 9).Draw(t, "cost")),
		Bytes:    rapid.IntRange(0, 20).Draw(t, "bytes"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "left")) * time.Millisecond),
		RunTime:  time.Duration(rapid.IntRange(0, 100).Draw(t, "needs")) * time.Millisecond,
	}
	hasCapacity := float64(m.queue.Running()) < m.queue.Limit && m.queue.Waiting() == 0
	entry, e := m.queue.Submit(m.now, req)
	if e != nil {
		if e.Verdict != fault.NotRun || e.RetryAfter <= 0 {
			t.Fatalf("refused with %v, retry after %v", e.Verdict, e.RetryAfter)
		}
		if hasCapacity && req.RunTime <= req.Deadline.Sub(m.now) {
			t.Fatalf("refused despite free capacity: %v", e)
		}
		return
	}
	if entry.Running {
		m.running = append(m.running, entry)
	} else {
		m.waiting = append(m.waiting, entry)
	}
}

// drawEntry removes a random entry from a list and returns it.
func drawEntry(t *rapid.T, entries *[]*admit.Entry) *admit.Entry {
	if len(*entries) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(*entries)-1).Draw(t, "which")
	entry := (*entries)[i]
	*entries = append((*entries)[:i:i], (*entries)[i+1:]...)
	return entry
}

// moveToRunning moves requests from waiting to running.
func (m *model) moveToRunning(t *rapid.T, next []*admit.Entry) {
	for _, entry := range next {
		found := false
		for i, other := range m.waiting {
			if other == entry {
				m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
				found = true
				break
			}
		}
		if !found || !entry.Running {
			t.Fatalf("started: %+v, was waiting: %v", entry, found)
		}
		m.running = append(m.running, entry)
	}
}

// check verifies the queue against the model after every step.
func (m *model) check(t *rapid.T) {
	if m.queue.Running() != len(m.running) || m.queue.Waiting() != len(m.waiting) {
		t.Fatalf("queue has %d running and %d waiting, model %d and %d",
			m.queue.Running(), m.queue.Waiting(), len(m.running), len(m.waiting))
	}
	if len(m.waiting) > 0 && float64(len(m.running)) < m.queue.Limit {
		t.Fatalf("%d are waiting while %d of %v run", len(m.waiting), len(m.running), m.queue.Limit)
	}
	if float64(len(m.running)) >= m.queue.Limit*(1+m.queue.Limits.Headroom)+1 {
		t.Fatalf("%d of %v run", len(m.running), m.queue.Limit)
	}
}

// After every step no request waits or is refused while there is free
// capacity, none is lost, and the verdict of each refusal is NotRun.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: start}
		m.queue.Limit = float64(rapid.IntRange(1, 5).Draw(t, "limit"))
		m.queue.Limits = admit.Limits{
			MaxWait:     time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond,
			MaxRequests: rapid.IntRange(0, 8).Draw(t, "requests"), MaxBytes: 60,
			Headroom:  rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "reserve"),
			MaxCredit: rapid.SampledFrom([]float64{0, 20}).Draw(t, "credit"),
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.submit,
			"done": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "later")) * time.Millisecond)
				m.moveToRunning(t, m.queue.Done(m.now, drawEntry(t, &m.running)))
			},
			"leave": func(t *rapid.T) {
				if !m.queue.Cancel(drawEntry(t, &m.waiting)) {
					t.Fatalf("a waiting request was not found")
				}
			},
			"": m.check,
		})
	})
}

// Guards against starvation: while all teams have waiting requests, each is
// served in proportion to its weight, to within one request, whatever the
// costs.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]float64{"a": 1, "b": 2, "c": 5}
		const maxCost = 9
		q := &admit.Queue{Limits: limits(), Limit: 1}
		served := map[string]float64{}
		join := func(team string) *admit.Entry {
			req := newRequestWithCost(team, float64(rapid.IntRange(1, maxCost).Draw(t, "cost")))
			req.Weight = weights[team]
			entry, e := q.Submit(start, req)
			if e != nil {
				t.Fatalf("refused: %v", e)
			}
			return entry
		}
		running := join("a")
		for team := range weights {
			for range 3 {
				join(team)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "rounds") {
			next := q.Done(start, running)
			running = next[0]
			served[running.Team] += running.Cost / running.Weight
			join(running.Team)
		}
		for one, got := range served {
			for other := range weights {
				slack := maxCost/weights[one] + maxCost/weights[other]
				if got-served[other] > slack {
					t.Fatalf("%s got %v, %s got %v, for each unit of weight", one, got, other, served[other])
				}
			}
		}
	})
}

// Guards against a team that loses its turn because its callers left before
// their requests ran, while they waited or in the moment when they were started.
func TestRequestsThatDidNotRunAreNotCharged(t *testing.T) {
	c := qt.New(t)
	q := &admit.Queue{Limits: limits(), Limit: 1}
	running, e := q.Submit(start, newRequestWithCost("b", 1))
	c.Assert(e == nil, qt.IsTrue)
	submit := func(team string) *admit.Entry {
		entry, e := q.Submit(start, newRequestWithCost(team, 10))
		c.Assert(e == nil, qt.IsTrue)
		return entry
	}
	started, left := submit("a"), submit("a")
	c.Assert(q.Done(start, running)[0] == started, qt.IsTrue)
	c.Assert(q.Cancel(left), qt.IsTrue)
	second, first := submit("b"), submit("a")
	c.Assert(q.Cancel(started), qt.IsFalse)
	c.Assert(q.Abort(start, started)[0] == first, qt.IsTrue)
	c.Assert(q.Done(start, first)[0] == second, qt.IsTrue)
}

func BenchmarkQueue(b *testing.B) {
	q := &admit.Queue{Limits: limits(), Limit: 100}
	reqs := make([]admit.Request, 400)
	for i := range reqs {
		reqs[i] = newRequestWithCost(fmt.Sprint("team-", i), 16)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		entry, _ := q.Submit(start, reqs[i%len(reqs)])
		q.Done(start, entry)
	}
}

// Guards against memory that is not released when a request stops waiting: the
// queue would in time refuse all requests.
func TestWaitingRequestsReleaseMemory(t *testing.T) {
	c := qt.New(t)
	q := &admit.Queue{Limits: admit.Limits{MaxWait: time.Hour, MaxRequests: 9, MaxBytes: 10}, Limit: 1}
	running, _ := q.Submit(start, newRequestWithCost("a", 1))
	req := newRequestWithCost("a", 1)
	req.Bytes = 10
	for range 3 {
		_, e := q.Submit(start, req)
		c.Assert(e == nil, qt.IsTrue)
		running = q.Done(start, running)[0]
	}
}
