package router_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/router"
)

// herd simulates a thundering herd after a restart of all entry hosts: callers return
// at once, and no entry host knows the load of the others. Eight fast servers accept
// ten requests each, and a slow one accepts any number.
type herd struct {
	servers []*fleet.Server
	hosts   []*router.LoadTracker
	// retries is the remaining retry budget of each entry host.
	retries []int
	running map[string]int
}

const (
	herdHosts    = 30
	herdCapacity = 10
	herdRetries  = 5
	herdStep     = 5 * time.Millisecond
	herdDelivery = 50 * time.Millisecond
)

func newHerd() *herd {
	h := &herd{servers: []*fleet.Server{server("roomy", "a", "small", 0, layers)}, running: map[string]int{}}
	for i := range 8 {
		h.servers = append(h.servers, server(fmt.Sprintf("fast-%d", i), "a", "big", 0, layers))
	}
	for range herdHosts {
		h.hosts = append(h.hosts, &router.LoadTracker{})
		h.retries = append(h.retries, herdRetries)
	}
	return h
}

// serve sends one request of an entry host, with retries, and reports whether a
// server accepted it.
func (h *herd) serve(host int, now time.Time) bool {
	for {
		q := query(h.servers...)
		q.Used = h.hosts[host].Used
		id := q.Pick()[0].Server.ID
		if id == "roomy" || h.running[id] < herdCapacity {
			h.running[id]++
			return true
		}
		h.hosts[host].RecordRefusal(id, now)
		if h.retries[host] == 0 {
			return false
		}
		h.retries[host]--
	}
}

// run returns how many of 440 requests, sent within 200 ms, are still refused after
// their retries. With share, entry hosts exchange the refusals that they know of.
func (h *herd) run(share bool) (refused int) {
	start := time.Unix(1_000_000, 0)
	for step := range 40 {
		now := start.Add(time.Duration(step) * herdStep)
		for i := range 11 {
			if !h.serve((step*11+i)%herdHosts, now) {
				refused++
			}
		}
		if share && step%int(herdDelivery/herdStep) == 0 {
			h.exchange(now)
		}
	}
	return refused
}

// exchange sends the refusals that each entry host knows of to all others.
func (h *herd) exchange(now time.Time) {
	for _, from := range h.hosts {
		saturated := from.Saturated(now)
		for _, to := range h.hosts {
			for id, remaining := range saturated {
				to.RecordRemoteRefusal(id, remaining, now)
			}
		}
	}
}

// Guards against callers being refused after a restart of all entry hosts because
// each entry host spends its retry budget on finding out which servers are saturated.
func TestThunderingHerdSharesRefusals(t *testing.T) {
	alone, shared := newHerd().run(false), newHerd().run(true)
	t.Logf("refused after retries: %d, with shared refusals %d", alone, shared)
	qt.Assert(t, alone > 0, qt.IsTrue)
	qt.Assert(t, shared <= alone/2, qt.IsTrue)
}
