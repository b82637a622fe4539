package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiashelf.dev/stand/sever"
)

// Parameters of cuts between entry hosts and all backend servers.
const (
	// minCut and maxCut bound how long a cut lasts in the series.
	minCut = 500 * time.Millisecond
	maxCut = 4 * time.Second
	// cutWindow is the time from the beginning of a cut until requests must be served, and
	// cutTime how long they are counted then.
	cutWindow = 3 * time.Second
	cutTime   = 3 * time.Second
	// cutInterval is the interval between two requests at an entry host.
	cutInterval = 50 * time.Millisecond
	// minServedShare is the least share of the requests that hosts which are cut off serve,
	// as a fraction of the share of the others.
	minServedShare = 2.0 / 3
)

// cutSet chooses entry hosts to cut off: one, those of a failure domain, or all but one,
// and how.
func (r *run) cutSet(rng *rand.Rand) (hosts []*entryHost, mode sever.Mode) {
	first := r.cluster.entries[rng.IntN(r.EntryHosts)]
	kind := rng.IntN(3)
	for _, e := range r.cluster.entries {
		chosen := e == first
		switch kind {
		case 1:
			chosen = e.zone == first.zone
		case 2:
			chosen = e != first
		}
		if chosen {
			hosts = append(hosts, e)
		}
	}
	return hosts, []sever.Mode{sever.Hang, sever.Reset, sever.NoNew}[rng.IntN(3)]
}

// names returns the names of entry hosts.
func names(hosts []*entryHost) []string {
	list := make([]string, len(hosts))
	for i, e := range hosts {
		list[i] = e.name
	}
	return list
}

// cutOff cuts entry hosts off, or restores their links with sever.Connected.
func (r *run) cutOff(hosts []*entryHost, mode sever.Mode) {
	for _, e := range hosts {
		if err := r.cluster.cutOff(e, mode); err != nil {
			r.addViolation("%s: %v", e.name, err)
		}
	}
}

// startCuts cuts entry hosts off from all backend servers for a while.
func (r *run) startCuts(rng *rand.Rand) string {
	hosts, mode := r.cutSet(rng)
	lasts := minCut + time.Duration(rng.Int64N(int64(maxCut-minCut)))
	r.activeFaults.Go(func() {
		for _, e := range hosts {
			defer r.cluster.disturbances.begin(e.name)()
			defer r.cluster.interruptions.begin(e.name)()
		}
		r.cutOff(hosts, mode)
		time.Sleep(lasts)
		r.cutOff(hosts, sever.Connected)
	})
	return fmt.Sprintf("%v: cut off from all servers, mode %d, for %s", names(hosts), mode, lasts)
}

// share counts first attempts.
type share struct{ sent, served int }

func (s share) of() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// checkCuts cuts entry hosts off and checks that, from cutWindow on, they serve nearly as
// large a share of their requests as the others.
func (r *run) checkCuts() {
	hosts, mode := r.cutSet(r.rand)
	r.cutOff(hosts, mode)
	defer r.cutOff(hosts, sever.Connected)
	r.firstAttempts(cutWindow, hosts)
	cut, others := r.firstAttempts(cutTime, hosts)
	failed := cut.sent - cut.served
	if failed > 10+(cut.sent+others.sent)/50 && cut.of() < minServedShare*others.of() {
		r.addViolation("%v, cut off in mode %d, served %d of %d first attempts, the others %d of %d", names(hosts), mode, cut.served, cut.sent, others.served, others.sent)
	}
}

// firstAttempts sends requests of all kinds through all entry hosts for a duration, and
// counts those that are served by the given hosts and by the others.
func (r *run) firstAttempts(d time.Duration, hosts []*entryHost) (at, others share) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	isCut := map[*entryHost]bool{}
	for _, e := range hosts {
		isCut[e] = true
	}
	for n := range int(d / cutInterval) {
		time.Sleep(cutInterval)
		for i, e := range r.cluster.entries {
			requests.Go(func() {
				served := r.sendKind(n, i)
				mu.Lock()
				defer mu.Unlock()
				s := &others
				if isCut[e] {
					s = &at
				}
				s.sent++
				if served {
					s.served++
				}
			})
		}
	}
	requests.Wait()
	return at, others
}

// sendKind sends a request of one of three kinds and reports whether it is served.
func (r *run) sendKind(n, e int) bool {
	switch n % 3 {
	case 0:
		return r.sendPayment(e)
	case 1:
		return r.sendLookup(e)
	}
	return r.sendStream(e, 5)
}
