package queue_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/queue"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/share"
)

// longWait is the longest wait of requests in tests that are not about it, and patience the time
// that their callers have left.
const (
	longWait = time.Minute
	patience = 10 * time.Minute
	// arrivalGap is the time between two requests.
	arrivalGap = time.Microsecond
)

// newAdmission returns an admission at a host that hears from no other.
func newAdmission() *queue.Admission {
	log := slog.New(slog.DiscardHandler)
	alive := func() map[domain.Name]int { return map[domain.Name]int{"a": 1} }
	return &queue.Admission{Shares: &share.Tracker{Self: "host", Domain: "a", Alive: alive, Log: log}, Book: &resv.Book{Log: log}, Log: log}
}

// room is capacity for a number of requests.
type room struct{ free atomic.Int64 }

func (r *room) find(float64) (bool, *fault.Error) {
	if r.free.Add(-1) < 0 {
		r.free.Add(1)
		return false, nil
	}
	return true, nil
}

// request returns a request of a team and rank for the service of these tests.
func request(team string, rank int) queue.Request {
	return queue.Request{
		Class: share.Class{Service: "assist", Team: team, Rank: rank}, Cost: 100,
		MaxWait: longWait, Deadline: time.Now().Add(patience),
	}
}

// entered is a call of Enter.
type entered struct {
	cancel context.CancelFunc
	result atomic.Pointer[outcome]
}

// outcome is the result of Enter, and how long the call lasted.
type outcome struct {
	ticket queue.Ticket
	err    *fault.Error
	took   time.Duration
}

// enter calls Enter, and returns when the request waits or the call has ended. Each request arrives
// a little later than the one before.
func enter(t *testing.T, a *queue.Admission, r queue.Request, find queue.Find) *entered {
	pass(arrivalGap)
	ctx, cancel := context.WithCancel(t.Context())
	e := &entered{cancel: cancel}
	go func() {
		start := time.Now()
		ticket, err := a.Enter(ctx, r, find)
		e.result.Store(&outcome{ticket, err, time.Since(start)})
	}()
	synctest.Wait()
	return e
}

// pass waits until the goroutines of the bubble have done all that they do in the given time.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// done reports whether the call has ended.
func (e *entered) done() bool { return e.result.Load() != nil }

// served reports whether the call has ended with a ticket.
func (e *entered) served() bool { return e.done() && e.result.Load().err == nil }

// err returns the error of a call that has ended.
func (e *entered) err() *fault.Error { return e.result.Load().err }

// checkRefused checks that a request was refused at once in a way that its caller can act on.
func checkRefused(t *testing.T, e *entered) {
	t.Helper()
	qt.Assert(t, e.done(), qt.IsTrue)
	qt.Assert(t, e.err(), qt.IsNotNil)
	qt.Check(t, e.err().Code, qt.Equals, fault.Overloaded)
	qt.Check(t, e.err().Verdict, qt.Equals, fault.NotRun)
	qt.Check(t, e.err().RetryAfter > 0, qt.IsTrue)
}

// fill makes n requests that wait, and returns them.
func fill(t *testing.T, a *queue.Admission, r queue.Request, find queue.Find, n int) (list []*entered) {
	for range n {
		list = append(list, enter(t, a, r, find))
	}
	qt.Assert(t, a.Stats().Waiting, qt.Equals, n)
	return list
}

// leaveAll ends the requests that wait, and with them the goroutines of the bubble.
func leaveAll(lists ...[]*entered) {
	for _, list := range lists {
		for _, e := range list {
			e.cancel()
		}
	}
	synctest.Wait()
	// The rounds end at the next interval.
	pass(time.Second)
}

// Guards against an urgent request that is refused because the queue is full, and against a
// displaced one that hears of it only when its wait ends.
func TestUrgentNewcomerDisplacesLeastUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, none := newAdmission(), &room{}
		waiting := fill(t, a, request("crowd", 2), none.find, 3)
		checkRefused(t, enter(t, a, request("crowd", 2), none.find))
		start := time.Now()
		urgent := enter(t, a, request("few", 0), none.find)
		qt.Check(t, urgent.done(), qt.IsFalse)
		checkRefused(t, waiting[2])
		qt.Check(t, time.Since(start), qt.Equals, arrivalGap)
		qt.Check(t, waiting[0].done() || waiting[1].done(), qt.IsFalse)
		stats := a.Stats()
		qt.Check(t, stats.Waiting, qt.Equals, 3)
		qt.Check(t, stats.Displaced, qt.Equals, int64(1))
		qt.Check(t, stats.Full, qt.Equals, int64(1))
		qt.Check(t, stats.Ranks[2].Refused, qt.Equals, int64(2))
		leaveAll(waiting, []*entered{urgent})
	})
}

// Guards against refusing a more urgent request where a less urgent one waits.
func TestMoreUrgentRequestIsNotRefusedWhereOthersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, none := newAdmission(), &room{}
		var all []*entered
		for rank := 9; rank >= 0; rank-- {
			e := enter(t, a, request("team", rank), none.find)
			qt.Check(t, e.done(), qt.IsFalse, qt.Commentf("rank %d", rank))
			all = append(all, e)
		}
		qt.Check(t, a.Stats().Waiting, qt.Equals, 3)
		for i, e := range all {
			qt.Check(t, e.done(), qt.Equals, i < 7, qt.Commentf("rank %d", 9-i))
		}
		leaveAll(all)
	})
}

// Guards against a queue that grows beyond what is served within the longest wait.
func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := newAdmission(), &room{}
		const interval, wait = 50 * time.Millisecond, time.Second
		longest := 0
		var all []*entered
		for n := range 2000 {
			q := request("team", 1)
			q.MaxWait = wait
			all = append(all, enter(t, a, q, r.find))
			longest = max(longest, a.Stats().Waiting)
			pass(interval / 5)
			if n%5 == 4 {
				r.free.Store(1)
			}
		}
		qt.Check(t, longest <= int(wait/interval)+2, qt.IsTrue, qt.Commentf("%d waited", longest))
		qt.Check(t, longest >= int(wait/interval)/2, qt.IsTrue, qt.Commentf("%d waited", longest))
		leaveAll(all)
		for _, e := range all {
			qt.Assert(t, e.done(), qt.IsTrue)
		}
		qt.Check(t, a.Stats().Waiting, qt.Equals, 0)
	})
}

// Guards against a caller that has left and keeps its place, or takes capacity that the next one
// could use.
func TestCallerThatLeavesGivesUpItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := newAdmission(), &room{}
		waiting := fill(t, a, request("team", 1), r.find, 2)
		waiting[0].cancel()
		synctest.Wait()
		qt.Assert(t, waiting[0].done(), qt.IsTrue)
		qt.Check(t, waiting[0].err().Code, qt.Equals, fault.Cancelled)
		qt.Check(t, waiting[0].err().Verdict, qt.Equals, fault.NotRun)
		qt.Check(t, a.Stats().Waiting, qt.Equals, 1)
		r.free.Store(1)
		pass(time.Second)
		qt.Check(t, waiting[1].served(), qt.IsTrue)
	})
}

// Guards against waiting for a caller that leaves while the line looks on its behalf, and against
// losing what was found for it then.
func TestCallerLeavesDuringLook(t *testing.T) {
	for _, found := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			a := newAdmission()
			looks, proceed := 0, make(chan struct{})
			e := enter(t, a, request("team", 1), func(float64) (bool, *fault.Error) {
				if looks++; looks == 1 {
					return false, nil
				}
				<-proceed
				return found, nil
			})
			pass(100 * time.Millisecond)
			qt.Assert(t, looks, qt.Equals, 2)
			e.cancel()
			synctest.Wait()
			qt.Check(t, e.done(), qt.IsFalse)
			close(proceed)
			synctest.Wait()
			qt.Assert(t, e.done(), qt.IsTrue)
			qt.Check(t, e.served(), qt.Equals, found)
			qt.Check(t, a.Stats().Waiting, qt.Equals, 0)
			leaveAll()
		})
	}
}

// Guards against capacity that stays unused until the next interval when a request of this host
// ends, and against giving it to another than the first in order.
func TestEndOfRequestServesNextAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := newAdmission(), &room{}
		r.free.Store(1)
		running := enter(t, a, request("team", 1), r.find)
		qt.Assert(t, running.served(), qt.IsTrue)
		later := enter(t, a, request("team", 2), r.find)
		first := enter(t, a, request("team", 1), r.find)
		// Between two intervals.
		pass(5 * time.Millisecond)
		r.free.Store(1)
		running.result.Load().ticket.End()
		synctest.Wait()
		qt.Check(t, first.served(), qt.IsTrue)
		qt.Check(t, later.done(), qt.IsFalse)
		leaveAll([]*entered{later})
	})
}

// Guards against a refused caller that gains by ignoring its Retry-After, and against one that
// gains nothing by keeping it.
func TestReturnsAreOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := newAdmission(), &room{}
		var served []fair.Return
		find := func(kind fair.Return) queue.Find {
			return func(float64) (bool, *fault.Error) {
				found, _ := r.find(0)
				if found {
					served = append(served, kind)
				}
				return found, nil
			}
		}
		for _, kind := range []fair.Return{fair.Early, fair.New, fair.OnTime} {
			q := request("team", 1)
			q.Return = kind
			enter(t, a, q, find(kind))
		}
		for range 3 {
			r.free.Store(1)
			pass(time.Second)
		}
		qt.Check(t, served, qt.DeepEquals, []fair.Return{fair.OnTime, fair.New, fair.Early})
	})
}

// Guards against refusals that make no promise, without which a caller that returns cannot be
// recognized.
func TestRefusedCallerIsRecognized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, none := newAdmission(), &room{}
		waiting := fill(t, a, request("team", 1), none.find, 3)
		q := request("team", 1)
		q.Key = 7
		refused := enter(t, a, q, none.find)
		checkRefused(t, refused)
		qt.Check(t, a.Book.Arrive(q.Key, time.Now()), qt.Equals, fair.Early)
		pass(refused.err().RetryAfter)
		qt.Check(t, a.Book.Arrive(q.Key, time.Now()), qt.Equals, fair.OnTime)
		leaveAll(waiting)
	})
}

// Guards against a host that waits for news of others, or keeps capacity free for nobody, while it
// hears from none.
func TestHostWithoutNewsServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmission()
		free := 5
		find := func(headroom float64) (bool, *fault.Error) {
			qt.Check(t, headroom, qt.Equals, 0.0)
			if free == 0 {
				return false, nil
			}
			free--
			return true, nil
		}
		for n := range 8 {
			e := enter(t, a, request("", 1), find)
			qt.Check(t, e.served(), qt.Equals, n < 5)
			pass(100 * time.Millisecond)
			a.Shares.Sweep(time.Now())
			a.Sweep(time.Now())
			defer e.cancel()
		}
		qt.Check(t, a.Stats().Waiting, qt.Equals, 3)
		pass(longWait)
	})
}

// Guards against capacity that stays idle because the first waiters must leave it free for others,
// while one that need not waits behind them.
func TestReservedCapacityIsUsedByWaitersBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := newAdmission(), &room{}
		a.Shares.Alive = func() map[domain.Name]int { return map[domain.Name]int{"a": 2} }
		// With a known interval more requests may wait than look for capacity.
		fill(t, a, request("other", 1), r.find, 3)
		for range 3 {
			r.free.Store(1)
			pass(100 * time.Millisecond)
		}
		find := func(headroom float64) (bool, *fault.Error) {
			if headroom > 0 {
				return false, nil
			}
			return r.find(headroom)
		}
		rows := []share.Row{
			{Service: "assist", Team: "crowd", Rank: 1, Running: 10_000, Waiting: 10_000, Served: 5000},
			{Service: "assist", Team: "few", Rank: 1, Running: 500, Waiting: 1000, Served: 5000},
		}
		for range 10 {
			pass(100 * time.Millisecond)
			a.Shares.Merge("other", "a", rows, time.Now())
			a.Shares.Sweep(time.Now())
		}
		qt.Assert(t, a.Shares.Headroom(request("crowd", 1).Class) > 0, qt.IsTrue)
		qt.Assert(t, a.Shares.Headroom(request("few", 1).Class), qt.Equals, 0.0)
		a.Sweep(time.Now())
		onTime := request("crowd", 1)
		onTime.Return = fair.OnTime
		ahead := fill(t, a, onTime, find, 3)
		behind := enter(t, a, request("few", 1), find)
		qt.Assert(t, a.Stats().Waiting, qt.Equals, 4)
		r.free.Store(1)
		pass(100 * time.Millisecond)
		qt.Check(t, behind.served(), qt.IsTrue)
		leaveAll(ahead, []*entered{behind})
	})
}

// Guards against a refused newcomer that takes what became free a moment ago from the waiters, and
// against refusing one that can use what they cannot.
func TestNewcomerTakesOnlyWhatWaitersCannotUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := newAdmission(), &room{}
		small := request("team", 1)
		small.Cost = 10
		find := func(float64) (bool, *fault.Error) { return false, nil }
		waiting := fill(t, a, request("team", 1), find, 3)
		r.free.Store(10)
		checkRefused(t, enter(t, a, request("team", 1), r.find))
		qt.Check(t, enter(t, a, small, r.find).served(), qt.IsTrue)
		leaveAll(waiting)
		restricted := request("team", 1)
		restricted.Restricted = true
		waiting = fill(t, a, restricted, find, 3)
		qt.Check(t, enter(t, a, request("team", 1), r.find).served(), qt.IsTrue)
		leaveAll(waiting)
	})
}

// Guards against a request that waits although nothing can serve it.
func TestRequestThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmission()
		lost := &fault.Error{Code: fault.NoCover, Verdict: fault.NotRun, Message: "no chain"}
		e := enter(t, a, request("team", 1), func(float64) (bool, *fault.Error) { return false, lost })
		qt.Assert(t, e.done(), qt.IsTrue)
		qt.Check(t, e.err(), qt.Equals, lost)
		q := request("team", 1)
		q.Deadline = time.Now().Add(10 * time.Millisecond)
		checkRefused(t, enter(t, a, q, (&room{}).find))
	})
}

// Guards against charging a team for requests that no server has run.
func TestRefundedRequestIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := newAdmission(), &room{}
		r.free.Store(10)
		for range 5 {
			enter(t, a, request("refused", 1), r.find).result.Load().ticket.Refund()
			enter(t, a, request("served", 1), r.find).result.Load().ticket.End()
		}
		qt.Assert(t, r.free.Load(), qt.Equals, int64(0))
		last := enter(t, a, request("served", 1), r.find)
		first := enter(t, a, request("refused", 1), r.find)
		r.free.Store(1)
		pass(time.Second)
		qt.Check(t, first.served(), qt.IsTrue)
		qt.Check(t, last.done(), qt.IsFalse)
		leaveAll([]*entered{last})
	})
}

// Guards against the order of teams and ranks where a configuration has neither.
func TestOneClassIsServedInOrderOfArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := newAdmission(), &room{}
		waiting := fill(t, a, request("", 1), r.find, 3)
		for n := range waiting {
			r.free.Store(1)
			pass(100 * time.Millisecond)
			for i, e := range waiting {
				qt.Check(t, e.done(), qt.Equals, i <= n)
			}
		}
	})
}

// Guards against counts that lose the requests of teams which are not named.
func TestStatsNameTheTeamsWithTheMostRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := newAdmission(), &room{}
		const teams = 30
		total := 0
		for i := range teams {
			for range i + 1 {
				r.free.Store(1)
				enter(t, a, request(fmt.Sprint("team-", i), i%12), r.find)
				total++
			}
		}
		stats := a.Stats()
		qt.Assert(t, stats.Teams, qt.HasLen, 17)
		qt.Check(t, stats.Teams[0], qt.Equals, queue.TeamCount{Team: "team-29", Count: queue.Count{Served: 30}})
		qt.Check(t, stats.Teams[16].Team, qt.Equals, "other")
		sum, byRank := int64(0), int64(0)
		for _, count := range stats.Teams {
			sum += count.Served
		}
		for _, count := range stats.Ranks {
			byRank += count.Served
		}
		qt.Check(t, sum, qt.Equals, int64(total))
		qt.Check(t, byRank, qt.Equals, int64(total))
	})
}
