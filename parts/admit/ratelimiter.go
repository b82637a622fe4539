package admit

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/quota"
)

// RateLimiter keeps the rate limits of teams on one entry host. A quota's limit
// holds over all entry hosts; each lets a part of it through, as [LocalRate] says,
// so that no message is needed for a request. The zero value is ready.
type RateLimiter struct {
	teams sync.Map // of team to *account
}

// account is what is kept of one team.
type account struct {
	demand demand
	bucket atomic.Pointer[bucket]
}

// bucket is the rate limit of one team by one quota and size of the fleet.
type bucket struct {
	deal            quota.Quota
	listed, reached int
	limiter         *rate.Limiter
}

// Allow takes one request of a team, or refuses it.
func (r *RateLimiter) Allow(now time.Time, team string, d quota.Quota, fleet Peers) *fault.Error {
	if d.Rate <= 0 {
		return nil
	}
	held, found := r.teams.Load(team)
	if !found {
		held, _ = r.teams.LoadOrStore(team, &account{})
	}
	a := held.(*account)
	a.demand.count.Add(1)
	limiter := a.limiter(now, team, d, fleet)
	if limiter.AllowN(now, 1) {
		return nil
	}
	next := time.Duration((1 - limiter.TokensAt(now)) / float64(limiter.Limit()) * float64(time.Second))
	return &fault.Error{
		Code: fault.OverLimit, Verdict: fault.NotRun, RetryAfter: max(next, retryFloor),
		Message: "team " + team + " sends more requests than its quota allows",
	}
}

// Usage returns the rate at which each team's requests come here, in requests
// per second; a team that sends next to nothing is left out.
func (r *RateLimiter) Usage(now time.Time) map[string]float64 {
	usage := map[string]float64{}
	r.teams.Range(func(team, held any) bool {
		a := held.(*account)
		a.demand.fold(now)
		if rate := a.demand.rate(); rate >= leastUsage {
			usage[team.(string)] = rate
		}
		return true
	})
	return usage
}

// leastUsage is the lowest rate that is worth telling, in requests per second.
const leastUsage = 0.01

// limiter returns the team's limiter, with its part of the limit up to date.
// When the part changes the limiter keeps what it had left: a full one would
// let a team through anew at every change.
func (a *account) limiter(now time.Time, team string, d quota.Quota, fleet Peers) *rate.Limiter {
	due := a.demand.fold(now)
	for {
		old := a.bucket.Load()
		same := old != nil && old.deal == d && old.listed == fleet.Listed && old.reached == fleet.Alive
		if same && !due {
			return old.limiter
		}
		part := a.part(team, d, fleet)
		burst := max(1, int(float64(d.Burst)*part/d.Rate))
		next := &bucket{deal: d, listed: fleet.Listed, reached: fleet.Alive}
		if old == nil {
			next.limiter = rate.NewLimiter(rate.Limit(part), burst)
		} else {
			next.limiter = old.limiter
		}
		if !a.bucket.CompareAndSwap(old, next) {
			continue
		}
		next.limiter.SetLimitAt(now, rate.Limit(part))
		next.limiter.SetBurstAt(now, burst)
		return next.limiter
	}
}

func (a *account) part(team string, d quota.Quota, fleet Peers) float64 {
	others := 0.0
	if fleet.Rate != nil {
		others = fleet.Rate(team)
	}
	return LocalRate(d.Rate, a.demand.rate(), others, fleet.Alive, fleet.Listed)
}
