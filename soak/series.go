package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"fuchsiashelf.dev/stand/fakes"
)

// Parameters of the series of changes that run beside the faults.
const (
	minSeriesPause = 500 * time.Millisecond
	maxSeriesPause = 2500 * time.Millisecond
	// configChanges is the number of configurations in a series, configPause the pause
	// between two of them.
	configChanges = 5
	configPause   = 150 * time.Millisecond
	// restartPause is the pause between the shutdowns of two entry hosts.
	restartPause = 600 * time.Millisecond
	// maxCopyAge is how old the copy is from which the store is restored, and
	// restoreOutage how long the store is away.
	maxCopyAge    = 4 * time.Second
	restoreOutage = 300 * time.Millisecond
	// limitTime is how long a server names a rate limit, namedLimit is that limit in
	// requests per second.
	limitTime  = 2 * time.Second
	namedLimit = 3
	// seriesStream is the stream of random numbers of the series, crowdStream that of the crowd
	// after the faults, silenceStream that of the silences, and leaverStream that of the callers that leave
	// after the faults.
	seriesStream  = 1 << 32
	crowdStream   = 1 << 33
	silenceStream = 1 << 34
	leaverStream  = 1 << 35
)

// runSeries makes series of changes until stop is closed. They overlap with each other
// and with the faults. Their random numbers are separate, so that the faults of a seed
// stay the same.
func (r *run) runSeries(rng *rand.Rand, stop chan struct{}) {
	for {
		pause := minSeriesPause + time.Duration(rng.Int64N(int64(maxSeriesPause-minSeriesPause)))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		r.addFault(r.startSeries(rng))
	}
}

// startSeries starts one series of changes and describes it.
func (r *run) startSeries(rng *rand.Rand) string {
	kinds := []func(*rand.Rand) string{r.startConfigs, r.startShutDowns, r.startLimit}
	if r.Restores {
		kinds = append(kinds, r.startRestore)
	}
	if r.Notices {
		kinds = append(kinds, r.startPauses, r.startLeaving)
	}
	if r.Cuts {
		kinds = append(kinds, r.startCuts)
	}
	if r.Crashes {
		kinds = append(kinds, r.startCrashes)
	}
	if r.Teams {
		kinds = append(kinds, r.startCrowd)
	}
	if r.Floods {
		kinds = append(kinds, r.startFlood)
	}
	if r.Obstacles {
		kinds = append(kinds, r.startObstacle)
	}
	return kinds[rng.IntN(len(kinds))](rng)
}

func (r *run) startConfigs(*rand.Rand) string {
	r.activeFaults.Go(r.changeConfig)
	return "configurations in series"
}

func (r *run) startShutDowns(rng *rand.Rand) string {
	order := rng.Perm(r.EntryHosts)
	r.activeFaults.Go(func() { r.shutDownInTurn(order) })
	return "entry hosts shut down in turn"
}

func (r *run) startLimit(rng *rand.Rand) string {
	s := r.cluster.randomServer(rng)
	s.NameLimit(namedLimit)
	r.activeFaults.Go(func() {
		time.Sleep(limitTime)
		s.EndLimit()
	})
	return fmt.Sprintf("%s: names a limit of %d a second", s.ID, namedLimit)
}

func (r *run) startRestore(rng *rand.Rand) string {
	age := time.Duration(rng.Int64N(int64(maxCopyAge)))
	r.activeFaults.Go(func() { r.restoreStore(age) })
	return fmt.Sprintf("store: restored from a copy made in %s", age)
}

// changeConfig writes several configurations in quick succession.
func (r *run) changeConfig() {
	for range configChanges {
		if err := r.cluster.configure(currentKey, oldKey); err != nil {
			r.addViolation("%v", err)
		}
		time.Sleep(configPause)
	}
}

// shutDownInTurn shuts entry hosts down and starts them again, one after the other
// without waiting for the one before.
func (r *run) shutDownInTurn(order []int) {
	for _, i := range order[:max(1, len(order)/2)] {
		e := r.cluster.entries[i]
		if _, _, err := r.restartEntryHost(e, "", func() {
			e.signal(syscall.SIGCONT)
			e.shutDown()
		}); err != nil {
			r.addViolation("%v", err)
		}
		time.Sleep(restartPause)
	}
}

// restoreStore makes a copy of the store now, restores the store from it after the given
// time, and writes the configuration and the servers' entries again.
func (r *run) restoreStore(age time.Duration) {
	store := &r.cluster.platform.Store
	copied := store.Copy()
	time.Sleep(age)
	store.SetFailureMode(fakes.Unavailable)
	store.Restore(copied)
	time.Sleep(restoreOutage)
	store.SetFailureMode(fakes.Healthy)
	if err := r.cluster.configure(currentKey, oldKey); err != nil {
		r.addViolation("%v", err)
	}
	if err := r.cluster.platform.RegisterServers(); err != nil {
		r.addViolation("%v", err)
	}
}
