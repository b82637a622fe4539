package fair

// Teams returns how many teams the queue has state of, over all ranks.
func (q *Queue) Teams() int {
	n := 0
	for _, l := range q.levels {
		n += len(l.flows)
	}
	return n
}

// Ranks returns how many ranks the queue has state of.
func (q *Queue) Ranks() int { return len(q.levels) }
