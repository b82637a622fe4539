package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of parts of prompts that crash servers.
const (
	// crashSeries is how many requests with such a part come in a series, and crashPause the
	// pause between them.
	crashSeries = 6
	crashPause  = 150 * time.Millisecond
	// crashWindow is how long after its fifth crash a part must be known.
	crashWindow = 3 * time.Second
	// crashTime is how long requests with a part come after the faults, and crashCountTime how
	// long those without it are counted at its end.
	crashTime      = 12 * time.Second
	crashCountTime = 3 * time.Second
	// minBegunShare is the least share of these that must be served, as a fraction of the share
	// before.
	minBegunShare = 0.5
	// sharedPart is the first part of all prompts. Without answers to other prompts with it, it
	// explains the crashes of several parts better than each of these, and is blocked.
	sharedPart = "all"
)

// startCrashes sends requests with a part that crashes servers.
func (r *run) startCrashes(rng *rand.Rand) string {
	part := fmt.Sprintf("bad-%d", rng.Uint32())
	r.cluster.platform.CrashOn(part)
	order := rng.Perm(max(r.EntryHosts, crashSeries))
	for i := range crashSeries {
		r.activeFaults.Go(func() {
			time.Sleep(time.Duration(i) * crashPause)
			r.sendPrompt(order[i]%r.EntryHosts, 1, sharedPart, part, "own")
		})
	}
	return part + ": crashes servers"
}

// checkCrashes sends requests with a part that crashes servers, and others, to all entry hosts.
func (r *run) checkCrashes() {
	const part = "bad"
	calm := r.servedShare(crashCountTime, nil)
	r.cluster.platform.CrashOn(part)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for e := range r.EntryHosts {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(crashPause * time.Duration(r.EntryHosts)):
					r.sendPrompt(e, 1, sharedPart, part, r.newID("own", e))
				}
			}
		})
	}
	time.Sleep(crashTime - crashCountTime)
	after := r.servedShare(crashCountTime, stop)
	callers.Wait()
	b := r.cluster.platform.BadPart(part)
	if late, allowed := b.Late(crashWindow); late > allowed {
		r.addViolation("%d requests with a part that crashed %d servers reached servers later than %s after the fifth, allowed are %d", late, len(b.Crashes), crashWindow, allowed)
	}
	if after < minBegunShare*calm {
		r.addViolation("%.2f of the requests without the part that crashes servers are served, %.2f before it came", after, calm)
	}
}

// servedShare sends requests to all entry hosts for a while and returns the share of those that
// are served. It closes stop at the end.
func (r *run) servedShare(d time.Duration, stop chan struct{}) float64 {
	var sent, served atomic.Int64
	var callers sync.WaitGroup
	for e := range r.EntryHosts {
		callers.Go(func() {
			for start := time.Now(); time.Since(start) < d; time.Sleep(lookupInterval) {
				sent.Add(1)
				if r.sendPrompt(e, 2, sharedPart, r.newID("own", e)) {
					served.Add(1)
				}
			}
		})
	}
	callers.Wait()
	if stop != nil {
		close(stop)
	}
	return float64(served.Load()) / float64(max(sent.Load(), 1))
}
