package stream

import (
	"context"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/prio"
	"fuchsiashelf.dev/parts/router"
)

// query describes the choice of a chain for a new run of a job.
func (f *Forwarder) query(j *call.Job) *router.Query {
	q := f.Monitor.query(j)
	q.Delay = func(id string) float64 { return f.delay(j, id) }
	return q
}

// delay returns the cost, in seconds, of starting a chain for a job at a server
// where requests wait or fail.
func (f *Forwarder) delay(j *call.Job, id string) float64 {
	return router.StartCost(f.Monitor.Starts.Wait(id, time.Now()), firstTarget(j.Route)) + f.Failures.ExpectedDelay(id)
}

// choose finds a chain. A request for which there is no room now is queued, or
// refused at once if the queue is full.
func (r *run) choose(ctx context.Context) (router.Chain, *fault.Error) {
	if r.began {
		return r.reroute(ctx)
	}
	if !r.Queue.HasWaiters() {
		if chain, e := r.look(); chain != nil || e != nil {
			return chain, e
		}
	}
	place, after := r.Queue.Enqueue(r.job.Priority, longestWait(r.job.Route))
	if place == nil {
		return r.lookOrRefuse(after)
	}
	chain, e := r.wait(ctx, place)
	r.Queue.Remove(place, chain != nil, time.Now())
	return chain, e
}

// lookOrRefuse takes room that the queued requests cannot use, because they are
// larger or have tried its servers, and otherwise refuses the request at once.
func (r *run) lookOrRefuse(after time.Duration) (router.Chain, *fault.Error) {
	chain, e := r.look()
	if chain == nil && e == nil {
		e = full(after)
	}
	return chain, e
}

// reroute finds a chain for an answer that broke off midway. It polls until shortly
// before the caller gives up, and goes before requests that have not begun.
func (r *run) reroute(ctx context.Context) (router.Chain, *fault.Error) {
	until := r.passed.Add(rerouteWait(r.job.Route))
	for {
		chain, e := r.look()
		if chain != nil {
			return chain, nil
		}
		if e == nil {
			e = full(0)
		}
		if !time.Now().Add(waitStep).Before(until) {
			return nil, e
		}
		select {
		case <-ctx.Done():
			return nil, e
		case <-time.After(waitStep):
		}
	}
}

// look finds a chain with room. Neither a chain nor an error means that there
// is none now.
func (r *run) look() (router.Chain, *fault.Error) {
	q := r.query(r.job)
	q.Avoid = r.avoid
	if chain := r.pick(q); chain != nil {
		return chain, nil
	}
	q.Overcommit = true
	if q.Pick() == nil {
		return r.lastResort(q)
	}
	return nil, nil
}

// pick finds a chain that crosses failure domains only if their link has room
// for the prompt.
func (r *run) pick(q *router.Query) router.Chain {
	chain := q.Pick()
	if chain != nil && !r.Monitor.mayCross(r.job, chain.Crossings()) {
		q.SingleDomain = true
		chain = q.Pick()
		q.SingleDomain = false
	}
	return chain
}

// wait waits in the queue for room.
func (r *run) wait(ctx context.Context, place *prio.Waiter) (router.Chain, *fault.Error) {
	until := time.Now().Add(min(longestWait(r.job.Route), r.job.Remaining()/2))
	for time.Now().Add(waitStep).Before(until) {
		if r.Queue.AtHead(place) {
			if chain, e := r.look(); chain != nil || e != nil {
				return chain, e
			}
		}
		select {
		case <-ctx.Done():
			return nil, &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "ended while it waited for room"}
		case <-time.After(waitStep):
		}
	}
	return nil, full(0)
}

func full(after time.Duration) *fault.Error {
	return &fault.Error{Code: fault.Overloaded, Verdict: fault.NotRun, Message: "no server has room", RetryAfter: max(after, comeBack)}
}

// lastResort finds a chain through servers that are suspected, where no other
// holds all layers: a suspicion may be wrong.
func (r *run) lastResort(q *router.Query) (router.Chain, *fault.Error) {
	q.AllowSuspected, q.Overcommit = true, false
	if chain := q.Pick(); chain != nil {
		return chain, nil
	}
	return nil, &fault.Error{Code: fault.NoCover, Verdict: fault.NotRun, Message: "no chain of servers holds all layers", RetryAfter: healTime}
}
