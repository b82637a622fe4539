package stream

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/router"
)

// aliveFor is how long an answer or an event shows that a server is alive.
const aliveFor = 100 * time.Millisecond

// replacement describes the attempt that is to replace one whose servers are silent.
type replacement struct {
	// cause is why the attempt is replaced.
	cause error
	// avoid holds the addresses of servers that the new chain must not contain.
	avoid map[string]bool
	// singleDomain keeps the new chain within one failure domain.
	singleDomain bool
}

// Reasons why no attempt is begun beside another one.
const (
	reasonEnded    = "the attempt has ended"
	reasonInFlight = "another attempt is in flight"
	reasonRoute    = "the route allows no repeats"
	reasonPoison   = "the request may crash servers"
	reasonAttempts = "the attempts of the route are used up"
	reasonBudget   = "the retry budget is used up"
	reasonNoChain  = "no chain has free capacity"
	reasonSilent   = "the servers of the other chains are silent as well"
)

// replace begins another attempt beside this one, if the route, the retry budget and the servers
// allow one. The servers of this attempt may go on: it ends when the other one has delivered an
// event, and the other one ends if this one delivers an event before.
func (a *attempt) replace(wanted replacement) {
	reason := a.tryReplace(wanted)
	if reason == "" || reason == reasonEnded || reason == reasonInFlight {
		return
	}
	a.Log.Info("stream: no other attempt", "request", a.job.ID, "cause", wanted.cause.Error(), "reason", reason,
		"chain", a.stream.currentChain().String(), "silence", a.stream.silence())
}

// tryReplace is replace. It returns why no attempt was begun; empty if one was.
func (a *attempt) tryReplace(wanted replacement) (reason string) {
	chain, release, reason := a.findReplacement(wanted)
	if chain == nil {
		return reason
	}
	defer release()
	a.mu.Lock()
	defer a.mu.Unlock()
	if reason = a.reserve(); reason != "" {
		a.Limits.Return(chain[0].Server.ID)
		return reason
	}
	a.Log.Info("stream: another attempt", "request", a.job.ID, "cause", wanted.cause.Error(), "silence", a.stream.silence(),
		"chain", a.stream.currentChain().String(), "next", chain.String(), "sends", a.out.Sends, "events", a.delivered.count)
	go a.begin(chain).run()
	return ""
}

// reserve withdraws another attempt from the retry budget, or returns why there is none. The
// request's mu is held.
func (a *attempt) reserve() (reason string) {
	if reason = a.mayReplace(); reason == "" && !a.budget.Withdraw(time.Now()) {
		return reasonBudget
	}
	return reason
}

// mayReplace returns why no attempt may be begun beside this one; empty if one may. The request's
// mu is held.
func (a *attempt) mayReplace() (reason string) {
	servers := slices.Clone(a.mayHaveRun)
	for _, other := range a.inFlight {
		if first := other.chain[0].Server; !slices.Contains(servers, first) {
			servers = append(servers, first)
		}
	}
	cause, _ := a.Monitor.Crashes.Blocked(a.job.Causes, time.Now())
	switch {
	case a.superseded || a.ctx.Err() != nil || !slices.Contains(a.inFlight, a):
		return reasonEnded
	case len(a.inFlight) > 1:
		return reasonInFlight
	case !a.job.Route.Repeatable():
		return reasonRoute
	case a.job.Trial || cause != "" || a.job.Unanswered.Load() >= call.MaxUnanswered:
		return reasonPoison
	case !a.canAttempt(servers, a.out.Sends):
		return reasonAttempts
	}
	return ""
}

// findReplacement returns a chain whose servers are alive, with free capacity, and takes from the
// rate limit of its first server. release ends the reservation of the chain. If there is none,
// findReplacement returns why.
func (a *attempt) findReplacement(wanted replacement) (chain router.Chain, release func(), reason string) {
	a.mu.Lock()
	reason = a.mayReplace()
	q := a.chainQuery(a.job)
	q.Avoid = maps.Clone(a.avoid)
	a.mu.Unlock()
	if reason != "" {
		return nil, nil, reason
	}
	maps.Copy(q.Avoid, wanted.avoid)
	q.Avoid[a.stream.firstAddress()] = true
	reason = reasonNoChain
	for range maxReroutes {
		q.SingleDomain = wanted.singleDomain
		chain := a.pickChain(q)
		if chain == nil {
			return nil, nil, reason
		}
		// The chain is reserved before its servers are asked, so that others choose other ones.
		release := a.Load.Reserve(chain, totalTokens(a.job))
		silent := a.Monitor.findSilent(chain)
		if len(silent) == 0 {
			return chain, release, ""
		}
		release()
		a.Limits.Return(chain[0].Server.ID)
		reason = reasonSilent
		for _, address := range silent {
			q.Avoid[address] = true
		}
	}
	return nil, nil, reason
}

// findSilent returns the addresses of the servers of some stages that do not answer. Those
// that have shown lately whether they are alive are not asked.
func (m *Monitor) findSilent(stages []router.Stage) (silent []string) {
	alive := m.aliveServers(time.Now())
	var mu sync.Mutex
	var probes sync.WaitGroup
	for _, stage := range stages {
		address := stage.Server.Address
		if alive[address] {
			continue
		}
		probes.Go(func() {
			// Many streams leave a server at once and ask the same others.
			answers, _, _ := m.asking.Do(address, func() (any, error) { return m.answers(address), nil })
			if answers == true {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			silent = append(silent, address)
		})
	}
	probes.Wait()
	return silent
}

// answers reports whether a server answers a probe. One that has missed a probe within aliveFor is
// not asked again.
func (m *Monitor) answers(address string) bool {
	m.mu.Lock()
	missed := time.Since(m.missed[address]) < aliveFor
	m.mu.Unlock()
	return !missed && m.probeForReport(context.Background(), address) == probe.Alive
}

// aliveServers returns the addresses of the servers that answered a probe, or through which
// events came, within aliveFor.
func (m *Monitor) aliveServers(now time.Time) map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.aliveAt) < sweepInterval {
		return m.alive
	}
	alive := map[string]bool{}
	for address, at := range m.answered {
		alive[address] = now.Sub(at) <= aliveFor
	}
	for stream := range m.streams {
		if !stream.started.Load() || stream.silence() > aliveFor {
			continue
		}
		for _, address := range stream.addresses() {
			alive[address] = true
		}
	}
	m.alive, m.aliveAt = alive, now
	return alive
}
