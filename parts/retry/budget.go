// Package retry decides what follows when a chain fails: whether the request is
// retried on another one, when silence counts as a failure, and how many retries a
// pool allows.
//
// An attempt is one try of a request on a chain. A later attempt resumes the response:
// it gets the tokens that the caller already has and continues after them.
package retry

import "sync/atomic"

// The rates of the retry budget. tokensPerRetry relayed tokens earn one retry, so a
// stream of that length has earned its own resumption. minRetries is what a pool that
// has not relayed any tokens yet can spend.
const (
	tokensPerRetry = 50
	minRetries     = 64
)

// Budget is a retry budget: a token bucket that limits the retries of a pool to a
// share of its successes. Without it a fault that hits every chain would multiply the
// load by the number of attempts just when capacity is lowest, and the fault of one
// server would become an overload of all. Make one with NewBudget.
type Budget struct {
	// credit is the unspent amount of relayed tokens.
	credit atomic.Int64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(minRetries * tokensPerRetry)
	return b
}

// Deposit adds relayed tokens. The bucket holds enough to resume each request in
// flight once, since the loss of a failure domain may hit all of them.
func (b *Budget) Deposit(tokens int, inFlight int64) {
	limit := max(minRetries, inFlight) * tokensPerRetry
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
		if old < tokensPerRetry {
			return false
		}
		if b.credit.CompareAndSwap(old, old-tokensPerRetry) {
			return true
		}
	}
}
