package fair_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/fair"
	_ "fuchsiashelf.dev/parts/seed"
)

// model drives a queue with random operations and tracks who waits.
type model struct {
	queue           fair.Queue
	now             time.Time
	waiting, served []*fair.Waiter
}

// newcomer returns a request that arrives after all others.
func (m *model) newcomer(t *rapid.T) *fair.Waiter {
	m.now = m.now.Add(time.Millisecond)
	return &fair.Waiter{
		Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), Rank: rapid.IntRange(0, 1).Draw(t, "rank"),
		Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight")), Cost: float64(rapid.IntRange(0, 9).Draw(t, "cost")),
		Return: fair.Return(rapid.IntRange(0, 2).Draw(t, "return")), Arrived: m.now,
	}
}

// push adds a request, which must get the place that Ahead tells.
func (m *model) push(t *rapid.T) {
	w := m.newcomer(t)
	ahead := m.queue.Ahead(w)
	m.queue.Push(w)
	m.waiting = append(m.waiting, w)
	if at := slices.Index(m.queue.Head(len(m.waiting)), w); at != ahead {
		t.Fatalf("place %d, told %d", at, ahead)
	}
}

// take removes a random waiter from the model and returns it.
func (m *model) take(t *rapid.T) *fair.Waiter {
	if len(m.waiting) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "which")
	w := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	return w
}

// serve serves a request.
func (m *model) serve(w *fair.Waiter) {
	m.queue.Serve(w)
	m.served = append(m.served, w)
}

// check verifies that all queries tell the same order, of all waiters, and that
// this order follows the rules.
func (m *model) check(t *rapid.T) {
	order := slices.Clone(m.queue.Head(len(m.waiting) + 1))
	if len(order) != len(m.waiting) || m.queue.Len() != len(m.waiting) {
		t.Fatalf("%d in order, %d counted, %d wait", len(order), m.queue.Len(), len(m.waiting))
	}
	if len(order) > 0 && m.queue.Last() != order[len(order)-1] {
		t.Fatalf("last is %+v of %+v", m.queue.Last(), order)
	}
	n := rapid.IntRange(0, len(order)).Draw(t, "n")
	if !slices.Equal(m.queue.Head(n), order[:n]) {
		t.Fatalf("the first %d differ", n)
	}
	for i, w := range order {
		if !slices.Contains(m.waiting, w) || m.queue.Ahead(w) != i {
			t.Fatalf("%+v at %d: %d ahead", w, i, m.queue.Ahead(w))
		}
		for j, other := range order {
			if m.queue.Before(w, other) != (i < j) {
				t.Fatalf("Before of %d and %d differs", i, j)
			}
			if i < j && !m.mayPrecede(order, i, j) {
				t.Fatalf("%+v before %+v", w, other)
			}
		}
	}
}

// precedence is the order of returns.
var precedence = []int{fair.OnTime: 0, fair.New: 1, fair.Early: 2}

// mayPrecede reports whether the rules let the request at i go before that at j.
func (m *model) mayPrecede(order []*fair.Waiter, i, j int) bool {
	a, b := order[i], order[j]
	firstOf := func(at int, team string) bool {
		return !slices.ContainsFunc(order[:at], func(w *fair.Waiter) bool {
			return w.Rank == order[at].Rank && (team == "" || w.Team == team)
		})
	}
	switch {
	case a.Rank > b.Rank: // It is due.
		return firstOf(i, "")
	case a.Rank < b.Rank:
		return true
	case a.Team == b.Team && a.Return == b.Return:
		return a.Arrived.Before(b.Arrived)
	case a.Team == b.Team:
		return precedence[a.Return] < precedence[b.Return]
	case !firstOf(i, a.Team) || !firstOf(j, b.Team):
		return true
	case m.queue.HasCredit(a.Team, a.Rank) != m.queue.HasCredit(b.Team, b.Rank):
		return m.queue.HasCredit(a.Team, a.Rank)
	}
	return precedence[a.Return] <= precedence[b.Return]
}

// Guards against waiters that are lost or served twice, against a caller that is
// told another place than it gets, and against an order that breaks its rules,
// after any sequence of operations.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: start}
		m.queue.MaxCredit = rapid.SampledFrom([]float64{0, 20}).Draw(t, "credit")
		m.queue.MaxDebt = rapid.SampledFrom([]float64{0, 30}).Draw(t, "debt")
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push,
			"next": func(t *rapid.T) {
				if head := m.queue.Head(1); len(head) > 0 {
					m.waiting = slices.DeleteFunc(m.waiting, func(w *fair.Waiter) bool { return w == head[0] })
					m.serve(head[0])
				}
			},
			"other":    func(t *rapid.T) { m.serve(m.take(t)) },
			"newcomer": func(t *rapid.T) { m.serve(m.newcomer(t)) },
			"leave": func(t *rapid.T) {
				if !m.queue.Remove(m.take(t)) {
					t.Fatal("a waiter was not found")
				}
			},
			"refund": func(t *rapid.T) {
				if len(m.served) > 0 {
					m.queue.Refund(rapid.SampledFrom(m.served).Draw(t, "served"))
				}
			},
			"charge": func(t *rapid.T) {
				w := m.newcomer(t)
				m.queue.Charge(w.Team, w.Rank, w.Weight, 5*w.Cost)
			},
			"": m.check,
		})
	})
}

// Guards against starvation: whatever the costs, ranks and returns, a waiter is
// served before the queue has served a bounded amount of other work.
func TestEveryWaiterIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: start}
		m.queue.MaxCredit, m.queue.MaxDebt = 20, 30
		w := m.newcomer(t)
		m.queue.Push(w)
		served := 0
		for m.queue.Ahead(w) > 0 || served == 0 {
			for range 3 {
				other := m.newcomer(t)
				other.Team = fmt.Sprint("other-", other.Team)
				m.queue.Push(other)
			}
			m.queue.Serve(m.queue.Head(1)[0])
			if served++; served > 2000 {
				t.Fatalf("%+v waits after %d", w, served)
			}
		}
	})
}
