package stream

import (
	"context"
	"slices"
	"sort"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/caller"
	"fuchsiashelf.dev/entry/queue"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/pause"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/share"
)

// chainQuery returns the query for the chain of a new attempt.
func (f *Forwarder) chainQuery(job *call.Job) *router.Query {
	q := f.Monitor.chainQuery(job)
	q.Delay = func(id string) float64 { return f.startDelay(job, id) }
	if f.Subsets != nil {
		q.Subset = f.Subsets.Set(job.Service.Name)
	}
	return q
}

// startDelay returns the cost, in seconds, of the waits and failures to be expected
// if a chain starts at a server.
func (f *Forwarder) startDelay(job *call.Job, id string) float64 {
	return router.StartCost(f.Monitor.StartLatency.Wait(id, time.Now()), firstEventTarget(job.Route)) + f.Failures.ExpectedDelay(id)
}

// chooseChain returns a chain for the next attempt. A request for which there is no
// capacity now is queued, or refused at once if it cannot be served in time.
func (r *request) chooseChain(ctx context.Context) (router.Chain, *fault.Error) {
	if r.headerSent {
		return r.chooseRestartChain(ctx)
	}
	r.ticket.End()
	r.job.Caller.Add(caller.Queued, "")
	var chain router.Chain
	ticket, e := r.Queue.Enter(ctx, r.admission(), func(headroom float64) (bool, *fault.Error) {
		var e *fault.Error
		if chain, e = r.findChain(headroom); chain != nil {
			r.holdLoad(chain)
		}
		return chain != nil, e
	})
	r.ticket = ticket
	r.job.Caller.Add(caller.Unqueued, "")
	return chain, e
}

// admission returns the description of the request for the queue.
func (r *request) admission() queue.Request {
	return queue.Request{
		Class: share.Class{Service: r.job.Service.Name, Team: r.job.Team, Rank: r.job.Priority},
		Key:   r.key, Return: r.returned, Cost: float64(totalTokens(r.job)),
		Restricted: len(r.avoid) > 0, MaxWait: maxQueueWait(r.job), Deadline: r.job.Deadline,
	}
}

// arrive finds out whether the request returns after a refusal.
func (r *request) arrive() {
	j := r.job
	r.key = resv.NewKey(j.Team, j.Method, j.Host, j.Target, j.Body)
	returned := r.Queue.Book.Arrive(r.key, time.Now())
	if j.Service.DistinctClasses {
		r.returned = returned
	}
}

// holdLoad reserves the load of a chain until the attempt reserves it, so that other requests do
// not choose the same capacity meanwhile.
func (r *request) holdLoad(chain router.Chain) {
	r.releaseHeld()
	r.held = r.Load.Reserve(chain, totalTokens(r.job))
}

// releaseHeld ends the reservation of holdLoad.
func (r *request) releaseHeld() {
	if r.held != nil {
		r.held()
		r.held = nil
	}
}

// chooseRestartChain returns a chain for a response that broke off. It polls until
// shortly before the caller gives up, and does not queue behind requests that have
// not started.
func (r *request) chooseRestartChain(ctx context.Context) (router.Chain, *fault.Error) {
	deadline := r.lastEventAt.Add(restartSearchWait(r.job.Route))
	for {
		chain, e := r.findChain(0)
		if chain != nil {
			return chain, nil
		}
		if e == nil {
			e = &fault.Error{Code: fault.Overloaded, Verdict: fault.NotRun, Message: "no server has room", RetryAfter: minRetryAfter}
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

// findChain returns a chain with free capacity beyond the given share of each server. It
// returns neither a chain nor an error if there is none now.
func (r *request) findChain(headroom float64) (router.Chain, *fault.Error) {
	q := r.chainQuery(r.job)
	q.Headroom = headroom
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
	q.Overcommit = false
	// A silent server may answer in a moment, one that is not reached is less likely to.
	for _, allow := range []*bool{&q.AllowSilent, &q.AllowSuspected} {
		*allow = true
		if chain := r.pickWithinLimits(q); chain != nil {
			return chain, nil
		}
	}
	if e := r.pausedOrLimited(q); e != nil {
		return nil, e
	}
	return nil, &fault.Error{Code: fault.NoCover, Verdict: fault.NotRun, Message: "no chain of servers holds all layers", RetryAfter: loadRetryAfter}
}
