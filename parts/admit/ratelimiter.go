package admit

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/quota"
)

// RateLimiter enforces the rate limits of teams on one entry host. The rate
// limit of a quota holds over all entry hosts; each applies a part of it, as
// given by [LocalRate], so that a request needs no message between entry hosts.
// The zero value is ready to use. It is safe for concurrent use.
type RateLimiter struct {
	teams sync.Map // of team to *teamRate
}

// teamRate is the demand of one team and its current rate limit.
type teamRate struct {
	demand demand
	bucket atomic.Pointer[bucket]
}

// bucket is the token bucket of one team, with the quota and the numbers of
// entry hosts that it was made for.
type bucket struct {
	quota         quota.Quota
	listed, alive int
	limiter       *rate.Limiter
}

// Allow admits one request of a team, or returns the error with which it is
// refused.
func (r *RateLimiter) Allow(now time.Time, team string, q quota.Quota, peers Peers) *fault.Error {
	if q.Rate <= 0 {
		return nil
	}
	value, found := r.teams.Load(team)
	if !found {
		value, _ = r.teams.LoadOrStore(team, &teamRate{})
	}
	t := value.(*teamRate)
	t.demand.count.Add(1)
	limiter := t.limiter(now, team, q, peers)
	if limiter.AllowN(now, 1) {
		return nil
	}
	wait := time.Duration((1 - limiter.TokensAt(now)) / float64(limiter.Limit()) * float64(time.Second))
	return &fault.Error{
		Code: fault.OverLimit, Verdict: fault.NotRun, RetryAfter: max(wait, minRetryAfter),
		Message: "team " + team + " sends more requests than its quota allows",
	}
}

// Usage returns the requests per second that each team sends to this entry
// host; negligible rates are left out.
func (r *RateLimiter) Usage(now time.Time) map[string]float64 {
	usage := map[string]float64{}
	r.teams.Range(func(team, value any) bool {
		t := value.(*teamRate)
		t.demand.update(now)
		if rate := t.demand.rate(); rate >= minUsage {
			usage[team.(string)] = rate
		}
		return true
	})
	return usage
}

// minUsage is the lowest rate that is reported, in requests per second.
const minUsage = 0.01

// limiter returns the team's limiter, with its part of the rate limit up to
// date. When the part changes the limiter keeps its tokens: if every change
// filled the bucket, a team could exceed its limit.
func (t *teamRate) limiter(now time.Time, team string, q quota.Quota, peers Peers) *rate.Limiter {
	due := t.demand.update(now)
	for {
		old := t.bucket.Load()
		same := old != nil && old.quota == q && old.listed == peers.Listed && old.alive == peers.Alive
		if same && !due {
			return old.limiter
		}
		limit := t.localRate(team, q, peers)
		burst := max(1, int(float64(q.Burst)*limit/q.Rate))
		next := &bucket{quota: q, listed: peers.Listed, alive: peers.Alive}
		if old == nil {
			next.limiter = rate.NewLimiter(rate.Limit(limit), burst)
		} else {
			next.limiter = old.limiter
		}
		if !t.bucket.CompareAndSwap(old, next) {
			continue
		}
		next.limiter.SetLimitAt(now, rate.Limit(limit))
		next.limiter.SetBurstAt(now, burst)
		return next.limiter
	}
}

// localRate returns the part of the team's rate limit that this entry host
// applies.
func (t *teamRate) localRate(team string, q quota.Quota, peers Peers) float64 {
	others := 0.0
	if peers.Rate != nil {
		others = peers.Rate(team)
	}
	return LocalRate(q.Rate, t.demand.rate(), others, peers.Alive, peers.Listed)
}
