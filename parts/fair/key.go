package fair

// key is the place of a request in the order of its rank.
type key struct {
	// lane is the index of the lane of a flow with this first waiter.
	lane   int
	start  float64
	waiter *Waiter
}

// key returns the key of a request, waiting or not.
func (l *level) key(w *Waiter) key {
	start := w.start
	if w.flow == nil {
		start = l.startOf(w)
	}
	return key{lane: l.lane(w.precedence(), start), start: start, waiter: w}
}

// lane returns the index of the lane for a precedence and a start tag.
func (l *level) lane(precedence int, start float64) int {
	if start < l.virtualTime {
		return precedence
	}
	return precedence + lanesByCredit
}

// before reports whether a request goes before another one of the same rank.
func (k key) before(other key) bool {
	switch {
	case k.lane != other.lane:
		return k.lane < other.lane
	case k.start != other.start:
		return k.start < other.start
	}
	return k.waiter.precedes(other.waiter)
}

// startOf returns the start tag that a request would get from Push.
func (l *level) startOf(w *Waiter) float64 {
	f := l.flows[w.Team]
	if f == nil || len(f.waiters) == 0 {
		return l.tag(f)
	}
	return f.startAt(f.index(w))
}
