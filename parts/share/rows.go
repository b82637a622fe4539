package share

import (
	"cmp"
	"slices"
	"time"
)

// Rows returns the rows for the next message, with the demand of this entry host for the
// contended services: at most 64, the largest. The rest is added up by service and rank
// under team "". The list is never nil, which would be no news.
func (t *Tracker) Rows(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []Row{}
	for _, s := range t.services {
		if !s.isContended(now) {
			continue
		}
		for _, c := range s.classes {
			if v := c.own(now); v.size()+v.served > 0 {
				rows = append(rows, newRow(c.Class, v))
			}
		}
	}
	return bounded(rows)
}

func newRow(c Class, v volume) Row {
	return Row{
		Service: c.Service, Team: c.Team, Rank: c.Rank,
		Running: v.Running, Waiting: v.Waiting, Refused: v.Refused, Served: v.served,
	}
}

// bounded returns at most maxRows rows, the largest first; the rest is added up. It reorders
// the rows.
func bounded(rows []Row) []Row {
	bySize := func(a, b Row) int {
		return cmp.Compare(b.Running+b.Waiting+b.Refused, a.Running+a.Waiting+a.Refused)
	}
	slices.SortFunc(rows, bySize)
	kept, rest := len(rows), map[Class]Row{}
	for kept > 0 && kept+len(rest) > maxRows {
		kept--
		r := rows[kept]
		key := Class{Service: r.Service, Rank: r.Rank}
		sum := rest[key]
		rest[key] = Row{
			Service: r.Service, Rank: r.Rank, Running: sum.Running + r.Running, Waiting: sum.Waiting + r.Waiting,
			Refused: sum.Refused + r.Refused, Served: sum.Served + r.Served,
		}
	}
	rows = rows[:kept:kept]
	for _, sum := range rest {
		rows = append(rows, sum)
	}
	slices.SortFunc(rows, bySize)
	return rows[:min(len(rows), maxRows)]
}
