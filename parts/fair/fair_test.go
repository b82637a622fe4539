package fair_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fair"
)

var start = time.Unix(1000, 0)

// newWaiter returns a request of a team of weight 1.
func newWaiter(team string, rank int, cost float64) *fair.Waiter {
	return &fair.Waiter{Team: team, Rank: rank, Weight: 1, Cost: cost, Arrived: start}
}

// push adds n requests of cost 1.
func push(q *fair.Queue, team string, rank, n int) {
	for range n {
		q.Push(newWaiter(team, rank, 1))
	}
}

// serve serves the next n requests and counts them by team.
func serve(q *fair.Queue, n int) map[string]int {
	served := map[string]int{}
	for range n {
		w := q.Head(1)[0]
		q.Serve(w)
		served[w.Team]++
	}
	return served
}

// Guards against a team whose few requests wait behind those of a team with ten
// times its demand.
func TestTeamWithATenthOfTheDemandGoesFirst(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 10}
	push(q, "loud", 0, 100)
	serve(q, 50)
	push(q, "quiet", 0, 10)
	c.Assert(q.HasCredit("quiet", 0), quicktest.IsTrue)
	c.Assert(q.HasCredit("loud", 0), quicktest.IsFalse)
	c.Assert(q.Waiting("loud", 0), quicktest.Equals, 50)
	c.Assert(q.Waiting("loud", 1), quicktest.Equals, 0)
	c.Assert(serve(q, 10), quicktest.DeepEquals, map[string]int{"quiet": 10})
}

// Guards against a division by requests: of two teams that both exceed their
// share each gets its weight, and one within it gets all that it asks for.
func TestTeamsShareByMaxMin(t *testing.T) {
	for _, test := range []struct {
		name           string
		demand         int // of team a in each round of 10, team b always waits
		weight, expect float64
	}{
		{"below the share", 3, 1, 300},
		{"both above", 10, 1, 500},
		{"twice the weight", 10, 2, 667},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			q := &fair.Queue{MaxCredit: 10}
			push(q, "b", 0, 1000)
			served := 0
			for range 100 {
				for range test.demand {
					w := newWaiter("a", 0, 1)
					w.Weight = test.weight
					q.Push(w)
				}
				served += serve(q, 10)["a"]
			}
			c.Assert(math.Abs(float64(served)-test.expect) <= 10, quicktest.IsTrue, quicktest.Commentf("%d", served))
		})
	}
}

// Guards against a rank that starves while more urgent requests always wait, and
// against one that takes more than a 17th from them, whatever its costs.
func TestLowerRankGetsASeventeenth(t *testing.T) {
	for _, cost := range []float64{1, 3, 50} {
		c := quicktest.New(t)
		q := &fair.Queue{MaxCredit: 10}
		push(q, "urgent", 0, 4000)
		for range 201 {
			q.Push(newWaiter("late", 2, cost))
		}
		work := map[string]float64{}
		for work["urgent"]+work["late"] < 3400 {
			w := q.Head(1)[0]
			q.Serve(w)
			work[w.Team] += w.Cost
		}
		c.Assert(work["late"] > 200-2*cost && work["late"] <= 200, quicktest.IsTrue, quicktest.Commentf("%v", work))
	}
}

// Guards against a series of less urgent requests: a rank that was due for long
// and found no room has one turn, not all that it missed. Then Ahead, Last and
// Before follow the same order.
func TestDueTurnsDoNotAccumulate(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{}
	push(q, "late", 3, 5)
	for range 100 {
		q.Serve(newWaiter("urgent", 0, 1))
	}
	push(q, "urgent", 0, 2)
	head := append([]*fair.Waiter(nil), q.Head(3)...)
	c.Assert(teams(head), quicktest.DeepEquals, []string{"late", "urgent", "urgent"})
	c.Assert(q.Ahead(head[1]), quicktest.Equals, 1)
	c.Assert(q.Ahead(newWaiter("urgent", 0, 1)), quicktest.Equals, 3)
	c.Assert(q.Before(head[0], head[1]), quicktest.IsTrue)
	c.Assert(serve(q, 1), quicktest.DeepEquals, map[string]int{"late": 1})
	c.Assert(serve(q, 2), quicktest.DeepEquals, map[string]int{"urgent": 2})
}

// Guards against a turn that a rank gets for requests which it did not wait for,
// and against one that it loses for requests that took capacity nobody else
// wanted.
func TestTurnsCountOnlyWhileWaiting(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{}
	pass := func(n int) {
		for range n {
			q.Serve(newWaiter("urgent", 0, 1))
		}
	}
	push(q, "late", 3, 1)
	pass(15)
	serve(q, 1)
	push(q, "late", 3, 20)
	pass(1)
	push(q, "urgent", 0, 2)
	c.Assert(serve(q, 2), quicktest.DeepEquals, map[string]int{"urgent": 2})
	serve(q, 10)
	push(q, "urgent", 0, 1)
	pass(15)
	c.Assert(teams(q.Head(1)), quicktest.DeepEquals, []string{"urgent"})
	pass(1)
	c.Assert(teams(q.Head(1)), quicktest.DeepEquals, []string{"late"})
}

func teams(waiters []*fair.Waiter) []string {
	var teams []string
	for _, w := range waiters {
		teams = append(teams, w.Team)
	}
	return teams
}

// Guards against callers that gain by coming back early, or lose by coming back
// as told; a team with credit precedes them all the same.
func TestReturnedRequests(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 10}
	push(q, "used", 0, 20)
	serve(q, 20)
	for i, kind := range []fair.Return{fair.Early, fair.New, fair.OnTime} {
		w := newWaiter(fmt.Sprint("told-", kind), 0, 1)
		w.Return, w.Arrived = kind, start.Add(time.Duration(i)*time.Second)
		q.Charge(w.Team, 0, 1, 10)
		q.Push(w)
	}
	w := newWaiter("idle", 0, 1)
	w.Return, w.Arrived = fair.Early, start.Add(time.Minute)
	q.Push(w)
	c.Assert(teams(q.Head(4)), quicktest.DeepEquals, []string{"idle", "told-1", "told-0", "told-2"})
	c.Assert(q.Last().Team, quicktest.Equals, "told-2")
}

// Guards against a team that takes all capacity because its callers return on
// time.
func TestReturnedRequestsKeepToTheShare(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 10}
	push(q, "new", 0, 100)
	for range 100 {
		w := newWaiter("returned", 0, 1)
		w.Return = fair.OnTime
		q.Push(w)
	}
	// The start tags of two teams differ by one request at most.
	served := 0
	for range 100 {
		c.Assert(q.Ahead(q.Last()), quicktest.Equals, q.Len()-1)
		served += serve(q, 1)["new"]
	}
	c.Assert(served >= 49 && served <= 51, quicktest.IsTrue, quicktest.Commentf("%d", served))
}

// Guards against a team that takes its whole share at each host, and against one
// that is shut out for ever because it used much elsewhere.
func TestWorkOfOtherHostsIsBoundedDebt(t *testing.T) {
	for _, waitsBefore := range []int{0, 1} {
		c := quicktest.New(t)
		q := &fair.Queue{MaxCredit: 5, MaxDebt: 20}
		push(q, "here", 0, 100*waitsBefore)
		for range 100 {
			q.Charge("elsewhere", 0, 1, 10)
		}
		push(q, "here", 0, 100)
		push(q, "elsewhere", 0, 100)
		c.Assert(serve(q, 25), quicktest.DeepEquals, map[string]int{"here": 25})
		c.Assert(serve(q, 20), quicktest.DeepEquals, map[string]int{"here": 10, "elsewhere": 10})
	}
}

// Guards against a team that gains more than the maximum credit while it is idle:
// it would precede a team that waits longer, and work elsewhere would not count.
func TestIdleTeamsGainMaxCreditOnly(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 10, MaxDebt: 100}
	for i := range 50 {
		q.Charge(fmt.Sprint("idle-", i), 0, 1, 5)
	}
	q.Serve(newWaiter("loud", 0, 1000))
	q.Serve(newWaiter("loud", 0, 1))
	push(q, "new", 0, 1)
	push(q, "idle-7", 0, 1)
	c.Assert(teams(q.Head(2)), quicktest.DeepEquals, []string{"new", "idle-7"})
	for i := range 50 {
		q.Charge(fmt.Sprint("idle-", i), 0, 1, 20)
		c.Assert(q.HasCredit(fmt.Sprint("idle-", i), 0), quicktest.IsFalse)
	}
}

// Guards against two teams that look alike because both used more than MaxDebt
// elsewhere, while one of them used three times as much. The other one goes first
// with the requests that it has here.
func TestHighUsageElsewhereIsCompared(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 100, MaxDebt: 20}
	push(q, "much", 0, 200)
	served := 0
	for range 50 {
		for range 2 {
			q.Charge("much", 0, 1, 100)
			q.Charge("less", 0, 1, 30)
		}
		push(q, "less", 0, 1)
		served += serve(q, 1)["less"]
		serve(q, 1)
	}
	c.Assert(served, quicktest.Equals, 50)
}

// Guards against a team that pays for a request that was never sent, and against
// one that gets more back than it paid.
func TestRefund(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 5}
	sent, unsent := newWaiter("b", 0, 3), newWaiter("b", 0, 3)
	q.Serve(sent)
	q.Serve(unsent)
	q.Refund(unsent)
	q.Refund(unsent)
	push(q, "a", 0, 9)
	push(q, "b", 0, 9)
	c.Assert(serve(q, 11), quicktest.DeepEquals, map[string]int{"a": 7, "b": 4})
}

// Guards against a refund that raises the virtual time, so that the usage of
// other teams is forgotten, and against one that costs its team the place that
// it has waited for.
func TestRefundLeavesOthersInOrder(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 10, MaxDebt: 5}
	q.Serve(newWaiter("used", 0, 9))
	unsent := newWaiter("large", 0, 1)
	q.Serve(unsent)
	q.Serve(newWaiter("large", 0, 100))
	q.Refund(unsent)
	push(q, "used", 0, 1)
	push(q, "idle", 0, 1)
	c.Assert(teams(q.Head(2)), quicktest.DeepEquals, []string{"idle", "used"})

	q = &fair.Queue{MaxCredit: 10, MaxDebt: 5}
	unsent = newWaiter("refunded", 0, 1)
	q.Serve(unsent)
	push(q, "refunded", 0, 1)
	q.Serve(newWaiter("other", 0, 2))
	push(q, "other", 0, 1)
	for range 10 {
		q.Charge("elsewhere", 0, 1, 15)
	}
	c.Assert(teams(q.Head(2)), quicktest.DeepEquals, []string{"refunded", "other"})
	q.Refund(unsent)
	c.Assert(teams(q.Head(2)), quicktest.DeepEquals, []string{"refunded", "other"})
}

// Guards against memory and time that grow with all teams that ever sent a
// request.
func TestStateOfIdleTeamsIsDropped(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 10, MaxDebt: 10}
	for i := range 400 {
		team := fmt.Sprint("team-", i)
		q.Charge(team, 0, 1, 5)
		q.Serve(newWaiter(team, 0, 3))
		left := newWaiter(team, 0, 1)
		q.Push(left)
		c.Assert(q.Remove(left), quicktest.IsTrue)
		c.Assert(q.Remove(left), quicktest.IsFalse)
	}
	for range 400 {
		q.Serve(newWaiter("stays", 0, 1))
	}
	c.Assert(q.Teams(), quicktest.Equals, 1)
	c.Assert(q.Len(), quicktest.Equals, 0)
}

// Guards against a value that makes all tags useless: after it, teams still
// take turns.
func TestInvalidValuesAreBounded(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 10, MaxDebt: 10}
	for _, value := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5, 1e300} {
		q.Charge("a", 0, value, value)
		q.Serve(&fair.Waiter{Team: "a", Weight: value, Cost: value})
	}
	push(q, "a", 0, 100)
	push(q, "b", 0, 100)
	serve(q, 40)
	c.Assert(serve(q, 10), quicktest.DeepEquals, map[string]int{"a": 5, "b": 5})
}

// Guards against invalid ranks that go first or take up memory each, and against
// queries that create state.
func TestRankOutOfRangeIsTheLast(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 10, MaxDebt: 10}
	a, b := newWaiter("a", 4, 1), newWaiter("b", 4, 1)
	b.Return = fair.OnTime
	c.Assert(q.Before(a, b), quicktest.IsFalse)
	c.Assert(q.Before(b, a), quicktest.IsTrue)
	c.Assert(q.Ranks(), quicktest.Equals, 0)
	push(q, "valid", 8, 1)
	for _, rank := range []int{-1, 10, math.MinInt, math.MaxInt} {
		push(q, "invalid", rank, 1)
		q.Charge("invalid", rank, 1, 1)
	}
	push(q, "last", 9, 1)
	c.Assert(q.Ranks(), quicktest.Equals, 2)
	c.Assert(q.Head(1)[0].Team, quicktest.Equals, "valid")
	c.Assert(q.Waiting("invalid", -5), quicktest.Equals, 4)
	c.Assert(q.Last().Team, quicktest.Equals, "invalid")
	c.Assert(q.Remove(q.Last()), quicktest.IsTrue)
}

// Guards against decisions that allocate, which would grow with the teams.
func TestDecisionsDoNotAllocate(t *testing.T) {
	c := quicktest.New(t)
	q := &fair.Queue{MaxCredit: 10, MaxDebt: 10}
	for i := range 400 {
		push(q, fmt.Sprint("team-", i), i%3, 2)
	}
	newcomer := newWaiter("team-5", 1, 1)
	c.Assert(testing.AllocsPerRun(1000, func() {
		w := q.Head(3)[0]
		q.Serve(w)
		q.Push(w)
		q.Charge("team-7", 1, 1, 3)
		q.Ahead(newcomer)
		q.WorkAhead(newcomer)
		q.Before(newcomer, q.Last())
	}), quicktest.Equals, 0.0)
}
