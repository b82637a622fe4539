package stream

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/caller"
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
	// takeOver says that the attempt still gets events, and is ended as soon as the new one has one.
	takeOver bool
	// ended says that the attempt cannot go on. If it has not begun, it is ended, so that the
	// request is queued for another one.
	ended bool
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
	reasonBusy     = "too many searches have failed"
	reasonSilent   = "the servers of the other chains are silent as well"
)

// replace begins another attempt beside this one, if the route, the retry budget and the servers
// allow one. The servers of this attempt may go on: it ends when the other one has delivered an
// event, and the other one ends if this one delivers an event before. It reports false if a later try
// may succeed.
func (a *attempt) replace(wanted replacement) (done bool) {
	if a.stream.left() {
		return true
	}
	if wanted.ended && a.endUnbegun(wanted.cause) {
		return true
	}
	a.job.Caller.Add(caller.SearchBegun, "")
	reason := a.tryReplace(wanted)
	a.job.Caller.Add(caller.SearchEnded, reason)
	if reason == "" || reason == reasonEnded || reason == reasonInFlight {
		return true
	}
	a.Log.Info("stream: no other attempt", "request", a.job.ID, "cause", wanted.cause.Error(), "reason", reason,
		"chain", a.stream.currentChain().String(), "silence", a.stream.silence())
	return reason != reasonNoChain && reason != reasonSilent && reason != reasonBusy
}

// endUnbegun ends an attempt that has not begun and cannot go on, if the request may be sent again.
func (a *attempt) endUnbegun(cause error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stream.started.Load() || a.delivered.count > 0 || a.reserve() != "" {
		return false
	}
	a.reserved = true
	a.cancel(cause)
	return true
}

// tryReplace begins another attempt, or returns why it does not.
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
	next := a.begin(chain)
	next.takesOver = wanted.takeOver
	go next.run()
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
	q.Avoid, q.SingleDomain = maps.Clone(a.avoid), wanted.singleDomain
	a.mu.Unlock()
	if reason != "" {
		return nil, nil, reason
	}
	if !a.Monitor.maySearch() {
		return nil, nil, reasonBusy
	}
	maps.Copy(q.Avoid, wanted.avoid)
	q.Avoid[a.stream.firstAddress()] = true
	reason = reasonNoChain
	for range maxReroutes {
		chain := a.pickWithinLimits(q)
		if chain == nil {
			break
		}
		// The chain is reserved before its servers are asked, so that others choose other ones.
		release := a.Load.Reserve(chain, totalTokens(a.job))
		silent := a.Monitor.findSilent(chain)
		if len(silent) == 0 && a.Monitor.reserveTransfer(a.job, chain.Crossings()) {
			return chain, release, ""
		}
		release()
		a.Limits.Return(chain[0].Server.ID)
		if len(silent) == 0 {
			q.SingleDomain = true
			continue
		}
		reason = reasonSilent
		for _, address := range silent {
			q.Avoid[address] = true
		}
	}
	a.Monitor.recordFailedSearch()
	return nil, nil, reason
}

// searchWindow is the interval in which up to maxFailedSearches of this host may fail. All streams
// of a host may fall silent at once, and each search costs processor time in proportion to the servers.
const (
	searchWindow      = 100 * time.Millisecond
	maxFailedSearches = 20
)

// maySearch reports whether a chain may be sought for another attempt now.
func (m *Monitor) maySearch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.searchesSince) > searchWindow {
		m.searchesSince, m.failedSearches = now, 0
	}
	return m.failedSearches < maxFailedSearches
}

// recordFailedSearch records that no chain was found for another attempt.
func (m *Monitor) recordFailedSearch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failedSearches++
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
// not asked again; whether it has failed is decided by other probes.
func (m *Monitor) answers(address string) bool {
	m.mu.Lock()
	missed := time.Since(m.missed[address]) < aliveFor
	m.mu.Unlock()
	if missed {
		return false
	}
	_, err := m.fetchReport(context.Background(), address, m.probeTimeout())
	if !isAlive(err) {
		m.Probe(address, "it did not answer when another chain was sought")
	}
	return isAlive(err)
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
