package share

import (
	"cmp"
	"slices"
	"time"
)

// Rows returns the rows for the next message, with the demand of this entry host for the
// contended and the watched services: at most 64, the largest. The rest is added up by service and rank
// under team "". The list is never nil, which would be no news.
func (t *Tracker) Rows(now time.Time) []Row {
	list := bounded(t.reportedDemand(now))
	rows := make([]Row, 0, len(list))
	for _, e := range list {
		rows = append(rows, Row{
			Service: e.Service, Team: e.Team, Rank: e.Rank,
			Running: e.Running, Waiting: e.Waiting, Refused: e.Refused, Served: e.served,
		})
	}
	return rows
}

// reportedDemand returns the demand of this entry host for the services that messages hold.
func (t *Tracker) reportedDemand(now time.Time) (list []sized) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if _, watched := t.watched[s.name]; !watched && !s.isContended(now) {
			continue
		}
		for _, c := range s.classes {
			if v := c.own(now); v.size()+v.served > 0 {
				list = append(list, sized{c.Class, v})
			}
		}
	}
	return list
}

// sized is the demand of a class.
type sized struct {
	Class
	volume
}

// bounded returns the largest classes, at most maxRows, of which the last ones may be sums.
// It reorders the list.
func bounded(list []sized) []sized {
	bySize := func(a, b sized) int {
		if c := cmp.Compare(b.size(), a.size()); c != 0 {
			return c
		}
		return a.compare(b.Class)
	}
	slices.SortFunc(list, bySize)
	kept, rest := len(list), map[Class]*volume{}
	for kept > 0 && kept+len(rest) > maxRows {
		kept--
		key := Class{Service: list[kept].Service, Rank: list[kept].Rank}
		if rest[key] == nil {
			rest[key] = &volume{}
		}
		rest[key].add(list[kept].volume, 1)
	}
	sums := make([]sized, 0, len(rest))
	for key, v := range rest {
		sums = append(sums, sized{key, *v})
	}
	slices.SortFunc(sums, bySize)
	return append(list[:kept], sums[:min(len(sums), maxRows-kept)]...)
}
