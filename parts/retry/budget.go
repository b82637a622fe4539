// Package retry decides what follows when a chain fails: whether another is
// tried, when silence counts as failure, and how much repeating a pool can
// bear.
//
// An attempt is one chain that a request is sent to. A later attempt resumes:
// it is given the tokens that the caller already has and goes on behind them.
package retry

import "sync/atomic"

// The budget's rates. A relayed token earns a fiftieth of an attempt, so a
// stream of 50 tokens has earned its own resumption. The floor lets a pool
// that has relayed nothing yet try again.
const (
	tokensPerAttempt = 50
	floorAttempts    = 64
)

// Budget bounds the repeated attempts of a pool to a share of its successes
// (a token bucket). Without it a fault that hits every chain would multiply
// the load by the number of attempts just when there is the least room for
// it, and callers would see a fault of one server become an overload of all.
// Make one with NewBudget.
type Budget struct {
	// credit is in relayed tokens.
	credit atomic.Int64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(floorAttempts * tokensPerAttempt)
	return b
}

// Deposit adds relayed tokens. The bucket holds as much as is needed to resume
// each request in flight once, since one failure domain's end may hit all.
func (b *Budget) Deposit(tokens int, inFlight int64) {
	most := max(floorAttempts, inFlight) * tokensPerAttempt
	for {
		old := b.credit.Load()
		next := min(old+int64(tokens), most)
		if next <= old || b.credit.CompareAndSwap(old, next) {
			return
		}
	}
}

// Withdraw spends one attempt, and reports whether there was one.
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
