package fair_test

import (
	"fmt"
	"testing"

	"fuchsiashelf.dev/parts/fair"
)

// BenchmarkQueue measures operations while requests of 400 teams wait in one
// rank. A decision finds the place of a newcomer, adds it and serves the first.
func BenchmarkQueue(b *testing.B) {
	for _, perTeam := range []int{1, 5} {
		q := &fair.Queue{MaxCredit: 100, MaxDebt: 100}
		for i := range 400 * perTeam {
			q.Push(newWaiter(fmt.Sprint("team-", i%400), 0, float64(1+i%7)))
		}
		for _, test := range []struct {
			name      string
			operation func()
		}{
			{"decision", func() {
				w := q.Head(3)[0]
				q.Serve(w)
				q.Ahead(w)
				q.Push(w)
			}},
			{"last", func() { q.Last() }},
			{"charge", func() { q.Charge("team-9", 0, 1, 10) }},
		} {
			b.Run(fmt.Sprint(test.name, "/", perTeam), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					test.operation()
				}
			})
		}
	}
}
