package fair

// maxPassed is how many times the cost of its first waiter a rank lets requests
// of more urgent ranks pass. Each rank costs those at most one part in 17.
const maxPassed = 16

// turns decides when a rank with waiters is due.
type turns struct {
	// passed is the cost of the requests of more urgent ranks that were served
	// while the rank waited. It is negative after a turn that cost more than
	// its first waiter did when the rank became due.
	passed float64
	// due reports that the first waiter goes before all other ranks, until a
	// request of the rank is served. Meanwhile nothing is added to passed, so
	// that waiters that find no room do not accumulate turns.
	due bool
}

// pass counts a request of a more urgent rank that was served.
func (t *turns) pass(cost, firstCost float64) {
	if !t.due {
		t.passed += cost
		t.due = t.passed >= maxPassed*firstCost
	}
}

// use counts a request of the rank that was served; firstCost is the cost of the
// first waiter afterwards. Requests that were served without a turn cost the
// others nothing.
func (t *turns) use(cost, firstCost float64) {
	left := t.passed - maxPassed*cost
	if !t.due {
		left = max(left, min(t.passed, 0))
	}
	t.passed = left
	t.due = left >= maxPassed*firstCost
}
