package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"fuchsiashelf.dev/stand/fakes"
)

// Parameters of servers that fall silent.
const (
	minSilence = 500 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	// manyServers is the share of the servers of a service that fall silent where many do.
	manyServers = 0.6
	// minSilencePause and maxSilencePause bound the pause before each silence.
	minSilencePause = 300 * time.Millisecond
	maxSilencePause = 2 * time.Second
	// silencesMaxGap is the largest pause for which a stream is on time, eventPatience how long
	// callers of such streams wait for an event.
	silencesMaxGap = 200 * time.Millisecond
	eventPatience  = 2 * time.Second
	// silentStreams is the number of streams at each entry host that are in progress when
	// servers fall silent after the faults, longSilence how long that lasts, and silenceGap the
	// time to the second such silence.
	silentStreams = 6
	longSilence   = 1300 * time.Millisecond
	silenceGap    = 300 * time.Millisecond
	// answerTime is how long a request must be kept: seven tenths of its time.
	answerTime = callerTimeout * 7 / 10
)

// runSilences makes servers silent, now and again, until stop is closed.
func (r *run) runSilences(rng *rand.Rand, stop chan struct{}) {
	for {
		pause := minSilencePause + time.Duration(rng.Int64N(int64(maxSilencePause-minSilencePause)))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		r.addFault(r.startSilence(rng))
	}
}

// startSilence makes one, many or all servers of a service silent for a while.
func (r *run) startSilence(rng *rand.Rand) string {
	service := []string{"assist", "assist", "booking"}[rng.IntN(3)]
	servers := r.cluster.serversOf(service)
	n := []int{1, int(manyServers * float64(len(servers))), len(servers)}[rng.IntN(3)]
	lasts := minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
	rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	silence(servers[:n], lasts)
	return fmt.Sprintf("%d servers of %s: silent for %s", n, service, lasts)
}

// checkSilences makes many and then all servers silent, at new configurations, while streams are
// in progress at all entry hosts.
func (r *run) checkSilences() {
	var streams sync.WaitGroup
	for e := range r.EntryHosts {
		for range silentStreams {
			streams.Go(func() { r.sendStream(e, longStream) })
		}
	}
	time.Sleep(silenceGap)
	servers := r.cluster.serversOf("assist")
	for _, n := range []int{int(manyServers * float64(len(servers))), len(servers)} {
		silence(servers[:n], longSilence)
		r.changeConfig()
		time.Sleep(longSilence + silenceGap - configChanges*configPause)
	}
	streams.Wait()
}

// silence makes servers silent for a while.
func silence(servers []*fakes.Server, lasts time.Duration) {
	for _, s := range servers {
		s.Freeze(lasts)
	}
}

// send sends a request to entry host e and checks that its answer is not ended because servers
// are silent.
func (r *run) send(e int, id, path, key string, events int, parts ...string) reply {
	resp := r.cluster.send(e, id, path, key, events, parts...)
	ended := resp.err != nil || resp.status == http.StatusBadGateway
	if r.Silences && ended && resp.took < answerTime && resp.pause < eventPatience {
		r.checkEnd(e, id, resp)
	}
	return resp
}

// checkEnd checks that an answer was not ended while its servers were only silent. Answers
// may be cut off by a fault of the entry host, of a link to a server, or of a server.
func (r *run) checkEnd(e int, id string, resp reply) {
	servers, brokeOff := r.cluster.platform.Passed(id)
	wasSilent := func(s *fakes.Server) bool { return s.SilentSince(resp.start) }
	if brokeOff || !slices.ContainsFunc(servers, wasSilent) || slices.ContainsFunc(servers, (*fakes.Server).Crashed) {
		return
	}
	var ids, addresses []string
	for _, s := range servers {
		ids, addresses = append(ids, s.ID), append(addresses, s.Address())
	}
	if r.cluster.disturbances.any(resp.start, addresses...) || r.cluster.interruptions.any(resp.start, r.cluster.entries[e].name) {
		return
	}
	r.addViolation("%s: ended after %s, %s after the last event, status %d, %v, at servers that were only silent: %v",
		id, resp.took.Round(time.Millisecond), resp.pause.Round(time.Millisecond), resp.status, resp.err, ids)
}
