package fair

// WorkAhead returns the work that is served before w, which waits or not, if all
// capacity serves it. A request of a team above its share waits for those of its
// own team, which get the share of its weight among the teams with waiters; any
// other waits for the requests ahead of it.
func (q *Queue) WorkAhead(w *Waiter) float64 {
	work := 0.0
	for _, l := range q.levels {
		switch {
		case l.rank < w.rank():
			work += l.work()
		case l.rank == w.rank():
			work += l.workAhead(w)
		}
	}
	return work
}

// work returns the cost of all waiters.
func (l *level) work() float64 {
	sum := 0.0
	for f := range l.all {
		sum += totalCost(f.waiters)
	}
	return sum
}

// workAhead is Queue.WorkAhead within a rank.
func (l *level) workAhead(w *Waiter) float64 {
	k := l.key(w)
	if k.start > l.virtualTime {
		return l.ownWorkAhead(w)
	}
	sum := 0.0
	for _, lane := range l.lanesAhead(k) {
		for i := range lane {
			sum += totalCost(lane[i].flow.waiters[:l.ahead(&lane[i], &k)])
		}
	}
	return sum
}

// ownWorkAhead returns the work of the waiters of the same team before a
// request, divided by the share of the team.
func (l *level) ownWorkAhead(w *Waiter) float64 {
	own := l.flows[w.Team]
	if own == nil || len(own.waiters) == 0 {
		return 0
	}
	weight := atLeastOne(w.Weight)
	total := weight
	for f := range l.all {
		if f != own {
			total += f.weight
		}
	}
	return totalCost(own.waiters[:own.index(w)]) * total / weight
}

// totalCost returns the cost of waiters.
func totalCost(waiters []*Waiter) float64 {
	sum := 0.0
	for _, w := range waiters {
		sum += w.cost()
	}
	return sum
}
