package router_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/router"
)

// herd is the load right after all entry hosts were restarted: callers return at
// once, and no host knows what the others send. Eight fast servers have room for ten
// requests each, another one for all.
type herd struct {
	servers []*fleet.Server
	hosts   []*router.LoadTracker
	// repeats is the retry budget that each host has left.
	repeats []int
	running map[string]int
}

const (
	herdHosts    = 30
	herdRoom     = 10
	herdRepeats  = 5
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
		h.repeats = append(h.repeats, herdRepeats)
	}
	return h
}

// serve sends one request of a host, and reports whether it is served.
func (h *herd) serve(host int, now time.Time) bool {
	for {
		q := query(h.servers...)
		q.Used = h.hosts[host].Used
		id := q.Pick()[0].Server.ID
		if id == "roomy" || h.running[id] < herdRoom {
			h.running[id]++
			return true
		}
		h.hosts[host].RecordRefusal(id, now)
		if h.repeats[host] == 0 {
			return false
		}
		h.repeats[host]--
	}
}

// play returns how many of 450 requests in 200 ms are refused for good.
func (h *herd) play(share bool) (refused int) {
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

// exchange sends the refusals that each host knows of to all others.
func (h *herd) exchange(now time.Time) {
	for _, from := range h.hosts {
		full := from.Saturated(now)
		for _, to := range h.hosts {
			for id, left := range full {
				to.RecordRemoteRefusal(id, left, now)
			}
		}
	}
}

// Guards against callers that are refused after a restart of all entry hosts, each of
// which spends its retry budget on finding out which servers are full.
func TestHerdIsServedWhereRefusalsAreShared(t *testing.T) {
	alone, shared := newHerd().play(false), newHerd().play(true)
	t.Logf("refused for good: %d, with shared refusals %d", alone, shared)
	qt.Assert(t, alone > 0, qt.IsTrue)
	qt.Assert(t, shared <= alone/2, qt.IsTrue)
}
