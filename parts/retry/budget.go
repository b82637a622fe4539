// Package retry decides what follows when a chain fails: whether another one is
// tried, when silence counts as a failure, and how many retries a pool can bear.
//
// An attempt is one chain that a request is sent to. A later attempt resumes the
// answer: it gets the tokens that the caller already has and continues after them.
package retry

import "sync/atomic"

// The rates of the retry budget. Each tokensPerAttempt relayed tokens earn one retry,
// so a stream of that length has earned its own resumption. With minAttempts a pool
// can retry that has not relayed any tokens yet.
const (
	tokensPerAttempt = 50
	minAttempts      = 64
)

// Budget is a retry budget: a token bucket that limits the retries of a pool to a
// share of its successes. Without it a fault that hits every chain would multiply the
// load by the number of attempts just when capacity is lowest, and callers would see
// the fault of one server turn into an overload of all. Make one with NewBudget.
type Budget struct {
	// credit is in relayed tokens.
	credit atomic.Int64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(minAttempts * tokensPerAttempt)
	return b
}

// Deposit adds relayed tokens. The bucket holds enough to resume each request in
// flight once, since the loss of a failure domain may hit all of them.
func (b *Budget) Deposit(tokens int, inFlight int64) {
	limit := max(minAttempts, inFlight) * tokensPerAttempt
	for {
		old := b.credit.Load()
		next := min(old+int64(tokens), limit)
		if next <= old || b.credit.CompareAndSwap(old, next) {
			return
		}
	}
}

// Withdraw spends one retry, and reports whether the budget allowed it.
func (b *Budget) Withdraw() bool {
	for {
		old := b.credit.Load()
		if old < tokensPerAttempt {
			return false
		}
		if b.credit.CompareAndSwap(old, old-tokensPerAttempt) {
			return true
		}
	}
}
