package admit

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"fuchsiashelf.dev/parts/deal"
	"fuchsiashelf.dev/parts/fault"
)

// Rates keeps the rate limits of teams on one entry host. A deal's limit
// holds over all entry hosts; each lets an equal part of it through, so that
// no message is needed for a request and hosts that can't reach each other
// stay within the limit together. The zero value is ready.
type Rates struct {
	teams sync.Map
}

// bucket is the rate limit of one team at one deal and number of hosts.
type bucket struct {
	deal    deal.Deal
	entries int
	limiter *rate.Limiter
}

// Take takes one request of a team, or refuses it. Entries is the number of
// entry hosts that the platform lists, this one included: a host that is
// listed and can't be reached may still let its part through.
func (r *Rates) Take(now time.Time, team string, d deal.Deal, entries int) *fault.Error {
	if d.Rate <= 0 {
		return nil
	}
	b := r.bucket(now, team, d, max(entries, 1))
	if b.limiter.AllowN(now, 1) {
		return nil
	}
	next := time.Duration((1 - b.limiter.TokensAt(now)) / float64(b.limiter.Limit()) * float64(time.Second))
	return &fault.Error{
		Code: fault.OverLimit, Verdict: fault.NotRun, RetryAfter: max(next, retryFloor),
		Message: "team " + team + " sends more requests than its deal allows",
	}
}

// bucket returns the team's bucket. When the deal or the number of hosts has
// changed the limiter is set anew and keeps what it had left: a full one would
// let a team through anew at every change.
func (r *Rates) bucket(now time.Time, team string, d deal.Deal, entries int) *bucket {
	held, _ := r.teams.LoadOrStore(team, &atomic.Pointer[bucket]{})
	pointer := held.(*atomic.Pointer[bucket])
	for {
		old := pointer.Load()
		if old != nil && old.deal == d && old.entries == entries {
			return old
		}
		next := &bucket{deal: d, entries: entries}
		part, burst := rate.Limit(d.Rate/float64(entries)), max(1, d.Burst/entries)
		if old == nil {
			next.limiter = rate.NewLimiter(part, burst)
		} else {
			next.limiter = old.limiter
		}
		if !pointer.CompareAndSwap(old, next) {
			continue
		}
		next.limiter.SetLimitAt(now, part)
		next.limiter.SetBurstAt(now, burst)
		return next
	}
}
