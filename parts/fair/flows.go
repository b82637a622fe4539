package fair

// detach takes the flow of a team out of the order, so that it can be changed.
func (l *level) detach(team string) *flow {
	f := l.flows[team]
	switch {
	case f == nil:
		f = &flow{team: team, tag: l.floor()}
		l.flows[team] = f
	case len(f.waiters) > 0:
		l.lanes[f.lane].remove(f)
	default:
		l.removeIdle(f)
	}
	return f
}

// attach puts a flow in order again.
func (l *level) attach(f *flow) {
	if len(f.waiters) > 0 {
		k := l.key(f.waiters[0])
		f.lane = k.lane
		l.lanes[k.lane].insert(f, k)
		return
	}
	f.idle = len(l.idle)
	l.idle = append(l.idle, f)
	l.expire(f)
}

// expire drops an idle flow whose tag no longer affects the order.
func (l *level) expire(f *flow) {
	if f.tag <= l.floor() {
		l.removeIdle(f)
		delete(l.flows, f.team)
	}
}

// removeIdle removes a flow from the list of idle flows.
func (l *level) removeIdle(f *flow) {
	last := len(l.idle) - 1
	moved := l.idle[last]
	l.idle[f.idle], moved.idle = moved, f.idle
	l.idle[last] = nil
	l.idle = l.idle[:last]
}
