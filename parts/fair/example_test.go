package fair_test

import (
	"fmt"

	"fuchsiashelf.dev/parts/fair"
)

// A team that has used much waits behind one that has not, and an urgent request
// goes before both.
func Example() {
	q := &fair.Queue{MaxCredit: 10}
	newWaiter := func(team string, rank int) *fair.Waiter {
		return &fair.Waiter{Team: team, Rank: rank, Weight: 1, Cost: 1}
	}
	for range 20 {
		q.Serve(newWaiter("batch", 1))
	}
	for _, w := range []*fair.Waiter{newWaiter("batch", 1), newWaiter("chat", 1), newWaiter("alarm", 0)} {
		q.Push(w)
	}
	for _, w := range q.Head(3) {
		fmt.Println(w.Team, q.HasCredit(w.Team, w.Rank))
	}
	// Output:
	// alarm true
	// chat true
	// batch false
}
