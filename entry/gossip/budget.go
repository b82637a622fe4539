package gossip

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// broadcastFanout is the number of hosts to which news goes at once.
	broadcastFanout = broadcastLocal + broadcastRemote
	// broadcastRate is how many exchanges a second broadcasts may start, and broadcastBurst how many
	// at once. Every host has news at the same time when a failure domain is cut off, and each
	// exchange costs both hosts about a millisecond: a host with an eighth of a core must be left with
	// most of it for its callers.
	broadcastRate  = 20
	broadcastBurst = 3 * broadcastFanout
)

// newBroadcastBudget returns the budget of exchanges that broadcasts start.
func newBroadcastBudget() *rate.Limiter { return rate.NewLimiter(broadcastRate, broadcastBurst) }

// announce starts the exchanges of a broadcast with the given number of hosts, or with as many as
// the budget allows. It returns how many are left.
func (p *Peer) announce(ctx context.Context, hosts int, now time.Time) (left int) {
	allowed := min(hosts, int(p.budget.TokensAt(now)))
	if allowed < 1 {
		return hosts
	}
	list, all := p.audience(allowed, now)
	p.budget.AllowN(now, len(list))
	for _, address := range list {
		p.startExchange(ctx, address)
	}
	if all {
		return 0
	}
	return hosts - len(list)
}

// audience returns the addresses of up to the given number of hosts to which news goes, and reports
// whether these are all that a broadcast reaches. None of them is absent: the exchanges at intervals
// find out whether such a host is back.
func (p *Peer) audience(n int, now time.Time) (list []string, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepMembers(now)
	list = p.roster.Audience(broadcastLocal, broadcastRemote, now)
	return list[:min(n, len(list))], len(list) <= n
}
