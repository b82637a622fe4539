package admit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/fault"
)

var start = time.Unix(1000, 0)

func bounds() admit.Limits {
	return admit.Limits{MaxWait: time.Hour, MaxRequests: 1000, MaxBytes: 1 << 20}
}

func ask(team string, cost float64) admit.Request {
	return admit.Request{Team: team, Weight: 1, Cost: cost, Deadline: start.Add(24 * time.Hour)}
}

// A request that can't be answered before its caller gives up would hold a
// place for nothing, and the caller would learn of it only at the deadline.
func TestRequestsThatCannotMeetTheirDeadlineAreRefused(t *testing.T) {
	c := qt.New(t)
	q := &admit.Queue{Limits: bounds(), Limit: 1}
	late := ask("a", 10)
	late.Deadline, late.RunTime = start.Add(time.Second), 2*time.Second
	_, e := q.Submit(start, late)
	c.Assert(e.Code, qt.Equals, fault.Deadline)
	c.Assert(e.Verdict, qt.Equals, fault.NotRun)

	// One that ran for 4 s and one that runs show that the next waits 4 s.
	first, e := q.Submit(start, ask("a", 10))
	c.Assert(e == nil, qt.IsTrue)
	now := start.Add(4 * time.Second)
	q.Done(now, first)
	_, e = q.Submit(now, ask("a", 10))
	c.Assert(e == nil, qt.IsTrue)
	late.Deadline, late.RunTime = now.Add(3*time.Second), time.Second
	_, e = q.Submit(now, late)
	c.Assert(e.Code, qt.Equals, fault.Deadline)
	c.Assert(e.RetryAfter, qt.Equals, 4*time.Second)
}

// Waiting requests hold memory. Without bounds a flood of them would take the
// host down and with it the requests that run.
func TestQueueIsBounded(t *testing.T) {
	for _, test := range []struct {
		name   string
		bounds admit.Limits
		why    string
	}{
		{"requests", admit.Limits{MaxWait: time.Hour, MaxRequests: 2, MaxBytes: 100}, "too many requests wait"},
		{"bytes", admit.Limits{MaxWait: time.Hour, MaxRequests: 9, MaxBytes: 25}, ".*too much memory"},
		{"none wait", admit.Limits{}, "too many requests wait"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := &admit.Queue{Limits: test.bounds, Limit: 1}
			a := ask("a", 1)
			a.Bytes = 10
			var e *fault.Error
			for i := 0; i < 4 && e == nil; i++ {
				_, e = q.Submit(start, a)
			}
			c.Assert(e != nil, qt.IsTrue)
			c.Assert(e.Message, qt.Matches, test.why)
			c.Assert(e.Code, qt.Equals, fault.Overloaded)
			c.Assert(e.Verdict, qt.Equals, fault.NotRun)
			c.Assert(e.RetryAfter > 0, qt.IsTrue)
		})
	}
}

// One team sends ten times its share and fills the limit. Another, below its
// share, must not wait until one of those comes to its end.
func TestReserveIsForTeamsBelowTheirShare(t *testing.T) {
	c := qt.New(t)
	b := bounds()
	b.Headroom, b.MaxCredit = 0.2, 5
	q := &admit.Queue{Limits: b, Limit: 10}
	for range 12 {
		_, e := q.Submit(start, ask("loud", 1))
		c.Assert(e == nil, qt.IsTrue)
	}
	c.Assert(q.Running(), qt.Equals, 10)
	item, e := q.Submit(start, ask("quiet", 1))
	c.Assert(e == nil, qt.IsTrue)
	c.Assert(item.Running, qt.IsTrue)
	c.Assert(q.Waiting(), qt.Equals, 2)
}

// A team keeps to its share on average, but its requests come in bursts.
// Another sends ten times its share all the time. The burst goes first, since
// its team has left so much unused before.
func TestBurstsOfTeamsWithCreditGoFirst(t *testing.T) {
	first := func(credit float64) int {
		c := qt.New(t)
		b := bounds()
		b.MaxCredit = credit
		q := &admit.Queue{Limits: b, Limit: 1}
		running, _ := q.Submit(start, ask("loud", 10))
		for range 30 {
			_, e := q.Submit(start, ask("loud", 10))
			c.Assert(e == nil, qt.IsTrue)
		}
		for range 20 {
			running = q.Done(start, running)[0]
		}
		quiet := 0
		for range 6 {
			_, e := q.Submit(start, ask("quiet", 10))
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
	c.Assert(first(0) <= 4, qt.IsTrue)
	c.Assert(first(100), qt.Equals, 6)
}

// world drives a queue at random and keeps its own account of it.
type world struct {
	queue   admit.Queue
	now     time.Time
	running []*admit.Item
	waiting []*admit.Item
}

func (w *world) arrive(t *rapid.T) {
	team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	a := admit.Request{
		Team: team, Weight: map[string]float64{"a": 1, "b": 2, "c": 5}[team],
		Cost:     float64(rapid.IntRange(1, 9).Draw(t, "cost")),
		Bytes:    rapid.IntRange(0, 20).Draw(t, "bytes"),
		Deadline: w.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "left")) * time.Millisecond),
		RunTime:  time.Duration(rapid.IntRange(0, 100).Draw(t, "needs")) * time.Millisecond,
	}
	room := float64(w.queue.Running()) < w.queue.Limit && w.queue.Waiting() == 0
	item, e := w.queue.Submit(w.now, a)
	if e != nil {
		if e.Verdict != fault.NotRun || e.RetryAfter <= 0 {
			t.Fatalf("refused with %v, come back after %v", e.Verdict, e.RetryAfter)
		}
		if room && a.RunTime <= a.Deadline.Sub(w.now) {
			t.Fatalf("refused while there was room: %v", e)
		}
		return
	}
	if item.Running {
		w.running = append(w.running, item)
	} else {
		w.waiting = append(w.waiting, item)
	}
}

func take(t *rapid.T, items *[]*admit.Item) *admit.Item {
	if len(*items) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(*items)-1).Draw(t, "which")
	item := (*items)[i]
	*items = append((*items)[:i:i], (*items)[i+1:]...)
	return item
}

// let moves requests from waiting to running.
func (w *world) let(t *rapid.T, next []*admit.Item) {
	for _, item := range next {
		found := false
		for i, other := range w.waiting {
			if other == item {
				w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
				found = true
				break
			}
		}
		if !found || !item.Running {
			t.Fatalf("let run: %+v, waiting: %v", item, found)
		}
		w.running = append(w.running, item)
	}
}

func (w *world) check(t *rapid.T) {
	if w.queue.Running() != len(w.running) || w.queue.Waiting() != len(w.waiting) {
		t.Fatalf("queue has %d and %d, the account %d and %d",
			w.queue.Running(), w.queue.Waiting(), len(w.running), len(w.waiting))
	}
	if len(w.waiting) > 0 && float64(len(w.running)) < w.queue.Limit {
		t.Fatalf("%d wait while %d of %v run", len(w.waiting), len(w.running), w.queue.Limit)
	}
	if float64(len(w.running)) >= w.queue.Limit*(1+w.queue.Limits.Headroom)+1 {
		t.Fatalf("%d of %v run", len(w.running), w.queue.Limit)
	}
}

// At every step: no request waits while there is room, none is refused while
// there is room, none is lost, and a refusal is one that never ran.
func TestQueueAtEveryStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start}
		w.queue.Limit = float64(rapid.IntRange(1, 5).Draw(t, "limit"))
		w.queue.Limits = admit.Limits{
			MaxWait:     time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond,
			MaxRequests: rapid.IntRange(0, 8).Draw(t, "requests"), MaxBytes: 60,
			Headroom:  rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "reserve"),
			MaxCredit: rapid.SampledFrom([]float64{0, 20}).Draw(t, "credit"),
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": w.arrive,
			"done": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "later")) * time.Millisecond)
				w.let(t, w.queue.Done(w.now, take(t, &w.running)))
			},
			"leave": func(t *rapid.T) {
				if !w.queue.Cancel(take(t, &w.waiting)) {
					t.Fatalf("a waiting request was not found")
				}
			},
			"": w.check,
		})
	})
}

// While teams all have requests waiting, each gets work in proportion to its
// weight, to within one request, whatever their costs; so none starves.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]float64{"a": 1, "b": 2, "c": 5}
		const most = 9
		q := &admit.Queue{Limits: bounds(), Limit: 1}
		served := map[string]float64{}
		join := func(team string) *admit.Item {
			a := ask(team, float64(rapid.IntRange(1, most).Draw(t, "cost")))
			a.Weight = weights[team]
			item, e := q.Submit(start, a)
			if e != nil {
				t.Fatalf("refused: %v", e)
			}
			return item
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
				slack := most/weights[one] + most/weights[other]
				if got-served[other] > slack {
					t.Fatalf("%s got %v, %s got %v, for each unit of weight", one, got, other, served[other])
				}
			}
		}
	})
}

func BenchmarkQueue(b *testing.B) {
	q := &admit.Queue{Limits: bounds(), Limit: 100}
	asks := make([]admit.Request, 400)
	for i := range asks {
		asks[i] = ask(fmt.Sprint("team-", i), 16)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		item, _ := q.Submit(start, asks[i%len(asks)])
		q.Done(start, item)
	}
}

// Memory that is not given back when a request stops waiting would in time
// refuse all that come.
func TestWaitingRequestsGiveTheirMemoryBack(t *testing.T) {
	c := qt.New(t)
	q := &admit.Queue{Limits: admit.Limits{MaxWait: time.Hour, MaxRequests: 9, MaxBytes: 10}, Limit: 1}
	running, _ := q.Submit(start, ask("a", 1))
	a := ask("a", 1)
	a.Bytes = 10
	for range 3 {
		_, e := q.Submit(start, a)
		c.Assert(e == nil, qt.IsTrue)
		running = q.Done(start, running)[0]
	}
}
