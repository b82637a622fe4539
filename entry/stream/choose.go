package stream

import (
	"context"
	"slices"
	"sort"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/pause"
	"fuchsiashelf.dev/parts/prio"
	"fuchsiashelf.dev/parts/router"
)

// chainQuery returns the query for the chain of a new attempt.
func (f *Forwarder) chainQuery(job *call.Job) *router.Query {
	q := f.Monitor.chainQuery(job)
	q.Delay = func(id string) float64 { return f.startDelay(job, id) }
	return q
}

// startDelay returns the cost, in seconds, of the waits and failures to be expected
// if a chain starts at a server.
func (f *Forwarder) startDelay(job *call.Job, id string) float64 {
	return router.StartCost(f.Monitor.StartLatency.Wait(id, time.Now()), firstEventTarget(job.Route)) + f.Failures.ExpectedDelay(id)
}

// chooseChain returns a chain for the next attempt. A request for which there is no
// capacity now is queued, or refused at once if the queue is full.
func (r *request) chooseChain(ctx context.Context) (router.Chain, *fault.Error) {
	if r.headerSent {
		return r.chooseRestartChain(ctx)
	}
	if !r.Queue.HasWaiters() {
		if chain, e := r.findChain(); chain != nil || e != nil {
			return chain, e
		}
	}
	waiter, retryAfter := r.Queue.Enqueue(r.job.Priority, maxQueueWait(r.job.Route))
	if waiter == nil {
		return r.findOrRefuse(retryAfter)
	}
	chain, e := r.waitForCapacity(ctx, waiter)
	r.Queue.Remove(waiter, chain != nil, time.Now())
	return chain, e
}

// findOrRefuse returns a chain if there is capacity that the queued requests cannot
// use, because they are larger or avoid its servers. Otherwise it refuses the request
// at once.
func (r *request) findOrRefuse(retryAfter time.Duration) (router.Chain, *fault.Error) {
	chain, e := r.findChain()
	if chain == nil && e == nil {
		e = overloaded(retryAfter)
	}
	return chain, e
}

// chooseRestartChain returns a chain for a response that broke off. It polls until
// shortly before the caller gives up, and does not queue behind requests that have
// not started.
func (r *request) chooseRestartChain(ctx context.Context) (router.Chain, *fault.Error) {
	deadline := r.lastEventAt.Add(restartSearchWait(r.job.Route))
	for {
		chain, e := r.findChain()
		if chain != nil {
			return chain, nil
		}
		if e == nil {
			e = overloaded(0)
		}
		if !time.Now().Add(capacityPollInterval).Before(deadline) {
			return nil, e
		}
		select {
		case <-ctx.Done():
			return nil, e
		case <-time.After(capacityPollInterval):
		}
	}
}

// findChain returns a chain with free capacity. It returns neither a chain nor an
// error if there is none now.
func (r *request) findChain() (router.Chain, *fault.Error) {
	q := r.chainQuery(r.job)
	q.Avoid = r.avoid
	if chain := r.pickChain(q); chain != nil {
		return chain, nil
	}
	q.Overcommit = true
	if q.Pick() == nil {
		return r.findSuspectedChain(q)
	}
	return nil, nil
}

// pickChain returns the cheapest chain within the rate limits of servers. The chain
// crosses failure domains only if their link has capacity for the prompt.
func (r *request) pickChain(q *router.Query) router.Chain {
	chain := r.pickWithinLimits(q)
	if chain != nil && !r.Monitor.reserveTransfer(r.job, chain.Crossings()) {
		r.Limits.Return(chain[0].Server.ID)
		q.SingleDomain = true
		chain = r.pickWithinLimits(q)
		q.SingleDomain = false
	}
	return chain
}

// pickWithinLimits returns the cheapest chain whose first server's rate limit allows
// another request now, and counts the request there. The servers whose limits do not
// are added to the query's NoStart.
func (r *request) pickWithinLimits(q *router.Query) router.Chain {
	for {
		chain := q.Pick()
		if chain == nil || r.Limits.Take(chain[0].Server.ID, time.Now()) {
			return chain
		}
		if q.NoStart == nil {
			q.NoStart = map[string]bool{}
		}
		q.NoStart[chain[0].Server.ID] = true
	}
}

// waitForCapacity waits in the queue until there is capacity for the request.
func (r *request) waitForCapacity(ctx context.Context, waiter *prio.Waiter) (router.Chain, *fault.Error) {
	deadline := time.Now().Add(min(maxQueueWait(r.job.Route), r.job.Remaining()/2))
	for time.Now().Add(capacityPollInterval).Before(deadline) {
		if r.Queue.AtHead(waiter) {
			if chain, e := r.findChain(); chain != nil || e != nil {
				return chain, e
			}
		}
		select {
		case <-ctx.Done():
			return nil, &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "ended while it waited for room"}
		case <-time.After(capacityPollInterval):
		}
	}
	return nil, overloaded(0)
}

func overloaded(retryAfter time.Duration) *fault.Error {
	return &fault.Error{Code: fault.Overloaded, Verdict: fault.NotRun, Message: "no server has room", RetryAfter: max(retryAfter, minRetryAfter)}
}

// pausedOrLimited returns the error for a request for which only pauses and rate limits of
// servers leave no chain. It is nil if there is none for another reason.
func (r *request) pausedOrLimited(q *router.Query) *fault.Error {
	wait, found := r.shortestWait(q)
	if !found || wait == 0 {
		return nil
	}
	return &fault.Error{
		Code: fault.Overloaded, Verdict: fault.NotRun, Message: "the servers have requested pauses, or their rate limits are reached",
		RetryAfter: max(pause.RetryAfter(wait), minRetryAfter),
	}
}

// shortestWait returns how long it takes until pauses and rate limits of servers permit a
// chain for another request like this one, if there is one then. It is zero if neither is
// in the way, and loadRetryAfter if layers that are being loaded permit a chain before.
func (r *request) shortestWait(q *router.Query) (wait time.Duration, found bool) {
	b := r.barriers(q.Servers, time.Now())
	if len(b.waits) == 1 {
		return 0, true
	}
	at := sort.Search(len(b.waits), func(i int) bool { return b.permits(*q, b.waits[i]) })
	if at == len(b.waits) {
		return 0, false
	}
	wait = b.waits[at]
	if wait > loadRetryAfter {
		after := *q
		after.Servers = withAssignments(q.Servers, r.State.Assignments())
		if b.permits(after, loadRetryAfter) {
			wait = loadRetryAfter
		}
	}
	return wait, true
}

// barriers holds what keeps servers from getting requests, by their IDs: the remaining
// times of pauses, and the times until limits allow a request.
type barriers struct {
	paused, limited map[string]time.Duration
	// waits holds zero and the times at which that changes, in order.
	waits []time.Duration
}

// barriers returns what keeps servers from getting requests.
func (r *request) barriers(servers []*fleet.Server, now time.Time) barriers {
	b := barriers{paused: map[string]time.Duration{}, limited: map[string]time.Duration{}, waits: []time.Duration{0}}
	for _, s := range servers {
		if p := r.Servers.Paused(s, now); p > 0 {
			b.paused[s.ID] = p
			b.waits = append(b.waits, p)
		}
		if l := r.Limits.Wait([]string{s.ID}, now); l > 0 {
			b.limited[s.ID] = l
			b.waits = append(b.waits, l)
		}
	}
	slices.Sort(b.waits)
	return b
}

// permits reports whether there is a chain after the given time.
func (b *barriers) permits(q router.Query, after time.Duration) bool {
	q.Paused = func(s *fleet.Server) bool { return b.paused[s.ID] > after }
	q.NoStart = map[string]bool{}
	for id, l := range b.limited {
		q.NoStart[id] = l > after
	}
	q.Avoid, q.Overcommit, q.AllowSuspected = nil, true, true
	return q.Pick() != nil
}

// withAssignments returns the servers as they are once they hold the layers that are
// assigned to them.
func withAssignments(servers []*fleet.Server, assignments []state.Assignment) []*fleet.Server {
	list := slices.Clone(servers)
	for i, s := range list {
		for _, a := range assignments {
			if a.ID == s.ID {
				loaded := *s
				loaded.First, loaded.End = a.First, a.End
				list[i] = &loaded
			}
		}
	}
	return list
}

// refusalRetryAfter returns when the caller of a request that a server refused should
// retry.
func (r *request) refusalRetryAfter() time.Duration {
	wait, _ := r.shortestWait(r.chainQuery(r.job))
	return max(pause.RetryAfter(wait), minRetryAfter)
}

// findSuspectedChain returns a chain that may contain suspected servers. It is used
// if no other chain holds all layers, because a suspicion may be wrong.
func (r *request) findSuspectedChain(q *router.Query) (router.Chain, *fault.Error) {
	q.AllowSuspected, q.Overcommit = true, false
	if chain := r.pickWithinLimits(q); chain != nil {
		return chain, nil
	}
	if e := r.pausedOrLimited(q); e != nil {
		return nil, e
	}
	return nil, &fault.Error{Code: fault.NoCover, Verdict: fault.NotRun, Message: "no chain of servers holds all layers", RetryAfter: loadRetryAfter}
}
