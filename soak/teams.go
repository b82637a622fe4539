package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/stand/fakes"
)

// The second team and the second streaming route of a run with Teams. The team has the priorities
// of the routes; the other team has that of the first route.
const (
	crowdTeam = "crowd"
	crowdKey  = "key-crowd"
	// laterPriority is the priority of the less urgent route, of which later is the name.
	later         = "later"
	laterPriority = 2
)

const (
	// crowdSize is the number of callers of the second team that come at once: some twice the
	// streams that the servers can run.
	crowdSize = 120
	// crowdEvents is the number of events of their streams, and crowdReturn the time after which
	// they send the next request, served or not.
	crowdEvents = 50
	crowdReturn = 100 * time.Millisecond
	// crowdSeriesRequests is the number of requests of each of them in a series.
	crowdSeriesRequests = 2
	// steadyEvents is the number of events of the first team's streams beside the crowd, and
	// steadyInterval the interval between them.
	steadyEvents   = 20
	steadyInterval = 70 * time.Millisecond
	// crowdLead is how long the crowd has been there when the first of them is sent, and
	// steadyTime how long they are sent.
	crowdLead  = time.Second
	steadyTime = 8 * time.Second
	// minSteadyShare is the least share of them that must be served.
	minSteadyShare = 0.9
)

// addTeams adds the second team and the second streaming route to a configuration.
func addTeams(c *fakes.Config) {
	c.Teams = []fakes.Team{{Name: crowdTeam, Keys: []string{crowdKey}}}
	c.Streams = []fakes.Stream{{Name: later, Priority: laterPriority}}
}

// startCrowd lets a crowd of the second team come to random entry hosts.
func (r *run) startCrowd(rng *rand.Rand) string {
	for range crowdSize {
		e, path := rng.IntN(r.EntryHosts), crowdPath(rng)
		r.activeFaults.Go(func() {
			for range crowdSeriesRequests {
				r.sendCrowdStream(e, path)
				time.Sleep(crowdReturn)
			}
		})
	}
	return fmt.Sprintf("%d callers of %s", crowdSize, crowdTeam)
}

// crowdPath returns the path of a random streaming route.
func crowdPath(rng *rand.Rand) string {
	return []string{"/ask/1", "/" + later + "/1"}[rng.IntN(2)]
}

// sendCrowdStream sends a stream of the second team.
func (r *run) sendCrowdStream(e int, path string) {
	r.sendOn(r.newID(crowdTeam, e), e, path, crowdKey, crowdEvents)
}

// checkTeams checks that the first team's requests are served beside a crowd of the second team,
// through each entry host in turn.
func (r *run) checkTeams() {
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	rng := rand.New(rand.NewPCG(r.Seed, crowdStream))
	for range crowdSize {
		e, path := rng.IntN(r.EntryHosts), crowdPath(rng)
		crowd.Go(func() { r.runCrowdCaller(e, path, stop) })
	}
	time.Sleep(crowdLead)
	sent, served := r.sendSteadily()
	close(stop)
	crowd.Wait()
	if float64(served) < minSteadyShare*float64(sent) {
		r.addViolation("%d of %d requests were served beside a crowd of another team", served, sent)
	}
}

// runCrowdCaller sends streams of the second team through an entry host until stop is closed.
func (r *run) runCrowdCaller(e int, path string, stop chan struct{}) {
	for {
		r.sendCrowdStream(e, path)
		select {
		case <-stop:
			return
		case <-time.After(crowdReturn):
		}
	}
}

// sendSteadily sends streams of the first team for steadyTime and returns how many were served.
func (r *run) sendSteadily() (sent int, served int64) {
	var count atomic.Int64
	var callers sync.WaitGroup
	for start := time.Now(); time.Since(start) < steadyTime; sent++ {
		e := sent % r.EntryHosts
		callers.Go(func() {
			if r.sendStream(e, steadyEvents) {
				count.Add(1)
			}
		})
		time.Sleep(steadyInterval)
	}
	callers.Wait()
	return sent, count.Load()
}
