package unary

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/caller"
	"fuchsiashelf.dev/entry/queue"
	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/share"
)

const (
	// queueWaitShare is the longest wait for capacity of a service with few slots, as a fraction
	// of the route's target. The rest is enough for the queue of a server and the call.
	queueWaitShare = 0.4
	// defaultTarget is the target of routes without one.
	defaultTarget = 500 * time.Millisecond
)

// admission is the state of a request to a service with few slots.
type admission struct {
	// grant is that of the next attempt.
	grant
	// key identifies what the caller asks for, and returned says whether it has returned after a
	// refusal. They are set if arrived is.
	key      uint64
	returned fair.Return
	arrived  bool
	// waited is the time that the request has waited for capacity, before all attempts together.
	waited time.Duration
}

// grant is the capacity of a service with few slots that an attempt takes. The zero value is that of
// an attempt that is not limited.
type grant struct {
	// service limits the attempt; nil if that is not limited.
	service *smallService
	ticket  queue.Ticket
	// charged says that the attempt has taken credit of service.
	charged bool
}

// returnCredit gives back the credit of an attempt that did not run.
func (g *grant) returnCredit() {
	if g.charged {
		g.charged = false
		g.service.giveBack()
	}
}

// refund gives back all that was taken for an attempt that did not run.
func (g *grant) refund() {
	g.returnCredit()
	g.ticket.Refund()
}

// settle gives back the capacity that an attempt did not use, and records what its outcome says
// of the server.
func (g *grant) settle(server *fleet.Server, a attempt) {
	if g.service == nil {
		return
	}
	if a.err != nil && a.err.Verdict == fault.NotRun {
		g.refund()
	}
	switch {
	case a.refused() && !a.reply.Misdirected && !a.reply.Leaving:
		g.service.reject(server.ID)
	case a.err == nil && !a.failed():
		g.service.accept(server.ID, a.sentAt)
	}
}

// choose returns the server for the next attempt. If the service has fewer slots than there
// are entry hosts, the request waits until this host may send it.
func (r *request) choose(ctx context.Context) (*fleet.Server, *fault.Error) {
	r.admission.ticket.End()
	r.admission.grant = grant{service: r.Slots.service(r.job.Service.Name)}
	if r.admission.service == nil {
		return r.pick(r.tried)
	}
	return r.wait(ctx)
}

// wait waits for capacity of a service with few slots, and returns the server that has it.
func (r *request) wait(ctx context.Context) (*fleet.Server, *fault.Error) {
	var server *fleet.Server
	start := time.Now()
	r.job.Caller.Add(caller.Queued, "")
	ticket, e := r.Slots.Queue.Enter(ctx, r.queueRequest(), func(float64) (bool, *fault.Error) {
		var e *fault.Error
		server, e = r.find()
		return server != nil, e
	})
	r.job.Caller.Add(caller.Unqueued, "")
	r.admission.ticket = ticket
	r.admission.waited += time.Since(start)
	r.Slots.count(ticket, e)
	if e == nil && ticket.Waited() && r.blockedMeanwhile() {
		r.admission.refund()
		r.Limits.Return(server.ID)
		return nil, call.BlockedError(r.Crashes, r.job, fault.NotRun)
	}
	return server, e
}

// blockedMeanwhile reports whether a request has been blocked since it was admitted.
func (r *request) blockedMeanwhile() bool {
	cause, _ := r.Crashes.Blocked(r.job.Causes, time.Now())
	return cause != "" && !r.job.Trial
}

// queueRequest returns the description of the request for the queue.
func (r *request) queueRequest() queue.Request {
	j, a := r.job, &r.admission
	if !a.arrived {
		a.arrived, a.key = true, resv.NewKey(j.Team, j.Method, j.Host, j.Target, j.Body)
		returned := r.Slots.Queue.Book.Arrive(a.key, time.Now())
		if j.Service.DistinctClasses {
			a.returned = returned
		}
	}
	longest := time.Duration(queueWaitShare * float64(cmp.Or(j.Route.Target, defaultTarget)))
	return queue.Request{
		Class: share.Class{Service: j.Service.Name, Team: j.Team, Rank: j.Priority},
		Key:   a.key, Return: a.returned, Cost: 1,
		Restricted: len(r.tried) > 0, MaxWait: longest - a.waited, Deadline: j.Deadline,
	}
}

// find returns a server that has not rejected calls lately, if this host may send a call now.
// It returns neither a server nor an error if the request has to wait.
func (r *request) find() (*fleet.Server, *fault.Error) {
	r.retrySkipped()
	if !r.anyUsable() {
		// Credit would be of no use.
		return r.pick(maps.Clone(r.tried))
	}
	ok, charged := r.admission.service.take()
	if !ok {
		return nil, nil
	}
	r.admission.charged = charged
	avoid, full := r.avoidFull()
	server, e := r.pick(avoid)
	if server != nil {
		return server, nil
	}
	r.admission.returnCredit()
	if full {
		return nil, nil
	}
	return nil, e
}

// retrySkipped lets the request be sent to servers that were skipped earlier and may get requests
// now. It asks for the wait instead of taking from the rate limit, which counts as demand.
func (r *request) retrySkipped() {
	now := time.Now()
	r.skipped = slices.DeleteFunc(r.skipped, func(s *fleet.Server) bool {
		usable := r.Servers.Paused(s, now) == 0 && r.Limits.Wait([]string{s.ID}, now) == 0
		if usable {
			delete(r.tried, s.Address)
		}
		return usable
	})
}

// anyUsable reports whether there is a server that was neither tried nor skipped and is not paused.
func (r *request) anyUsable() bool {
	now := time.Now()
	return slices.ContainsFunc(r.State.View().Service(r.job.Service.Name), func(s *fleet.Server) bool {
		return !s.Leaving && !r.tried[s.Address] && r.Servers.Paused(s, now) == 0
	})
}

// avoidFull returns the addresses of the servers to avoid: those that were tried and those that
// are full. full says that there are healthy servers of the latter kind that are not paused;
// suspected ones are avoided then as well.
func (r *request) avoidFull() (avoid map[string]bool, full bool) {
	now := time.Now()
	servers := r.State.View().Service(r.job.Service.Name)
	avoid = maps.Clone(r.tried)
	for _, s := range servers {
		if !s.Leaving && !s.Suspected && !r.tried[s.Address] && r.Servers.Paused(s, now) == 0 && r.admission.service.full(s.ID) {
			avoid[s.Address], full = true, true
		}
	}
	if full {
		for _, s := range servers {
			avoid[s.Address] = avoid[s.Address] || s.Suspected
		}
	}
	return avoid, full
}

// pick returns the server that is expected to respond soonest, except those to avoid. It skips
// servers that are paused or whose rate limits do not allow the request.
func (r *request) pick(avoid map[string]bool) (*fleet.Server, *fault.Error) {
	for {
		server := r.Stats.Pick(r.State.View().Service(r.job.Service.Name), r.LocalDomain, avoid)
		if server == nil {
			return nil, r.noServer(r.skipped, r.refused)
		}
		r.tried[server.Address], avoid[server.Address] = true, true
		if r.Servers.Paused(server, time.Now()) == 0 && r.Limits.Take(server.ID, time.Now()) {
			return server, nil
		}
		r.skipped = append(r.skipped, server)
	}
}

// chooseBeside returns a server for an attempt beside those in flight, or nil if there is none now.
// It does not wait: the attempts in flight hold capacity that those who wait may need, and requests
// without an attempt go first.
func (r *request) chooseBeside() *fleet.Server {
	service := r.Slots.service(r.job.Service.Name)
	r.admission.grant = grant{service: service}
	if service == nil {
		return r.pickBeside(maps.Clone(r.tried))
	}
	var server *fleet.Server
	r.admission.ticket, _ = r.Slots.Queue.TryEnter(r.queueRequest(), func(float64) (bool, *fault.Error) {
		ok, charged := service.take()
		if !ok {
			return false, nil
		}
		r.admission.charged = charged
		avoid, _ := r.avoidFull()
		server = r.pickBeside(avoid)
		if server == nil {
			r.admission.returnCredit()
		}
		return server != nil, nil
	})
	return server
}

// pickBeside is pick for an attempt beside those in flight. It leaves out servers that are suspected
// or silent themselves: an attempt there would add load, but hardly answer sooner.
func (r *request) pickBeside(avoid map[string]bool) *fleet.Server {
	now := time.Now()
	servers := r.State.View().Service(r.job.Service.Name)
	for _, s := range servers {
		if s.Suspected || r.Servers.Paused(s, now) > 0 || r.Limits.Wait([]string{s.ID}, now) > 0 || r.Stats.Silent(s.ID, r.silenceTimeout(), now) {
			avoid[s.Address] = true
		}
	}
	for {
		server := r.Stats.Pick(servers, r.LocalDomain, avoid)
		if server == nil {
			return nil
		}
		avoid[server.Address] = true
		if r.Limits.Take(server.ID, now) {
			r.tried[server.Address] = true
			return server
		}
	}
}
