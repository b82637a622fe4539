package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"fuchsiashelf.dev/stand/fakes"
	"fuchsiashelf.dev/stand/proxy"
)

// Bounds of the random pause before each fault and of its duration. Faults
// overlap, because a fault may last longer than the pause.
const (
	minPause         = 150 * time.Millisecond
	maxPause         = 700 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// injectFaults injects random faults for FaultDuration and then waits until the
// active ones, and those of the series, have ended.
func (r *run) injectFaults() error {
	stopSeries := make(chan struct{})
	var series sync.WaitGroup
	if r.Series {
		series.Go(func() { r.runSeries(rand.New(rand.NewPCG(r.Seed, seriesStream)), stopSeries) })
	}
	if r.Silences {
		series.Go(func() { r.runSilences(rand.New(rand.NewPCG(r.Seed, silenceStream)), stopSeries) })
	}
	// Restarts count as active faults, because a process that started after the
	// end of the run would never be killed.
	defer func() {
		close(stopSeries)
		series.Wait()
		r.activeFaults.Wait()
	}()
	for time.Since(r.start) < r.FaultDuration {
		time.Sleep(r.randomDuration(minPause, maxPause))
		duration := r.randomDuration(minFaultDuration, maxFaultDuration)
		description, undo, err := r.injectFault()
		if err != nil {
			return err
		}
		r.addFault(fmt.Sprintf("%s for %s", description, duration))
		if undo != nil {
			r.activeFaults.Go(func() {
				time.Sleep(duration)
				undo()
			})
		}
	}
	return nil
}

// randomDuration returns a duration in [low, high).
func (r *run) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.rand.Int64N(int64(high-low)))
}

// injectFault starts a random fault. undo ends it, and is nil if the fault ends
// by itself or is permanent.
func (r *run) injectFault() (description string, undo func(), err error) {
	e := r.cluster.entries[r.rand.IntN(r.EntryHosts)]
	switch r.rand.IntN(10) {
	case 0:
		m := r.randomMode()
		e.storeProxy.SetMode(m)
		return fmt.Sprintf("%s: link to the store: mode %d", e.name, m), func() { e.storeProxy.SetMode(proxy.Forward) }, nil
	case 1, 2:
		return r.degradeLink()
	case 3:
		e.signal(syscall.SIGSTOP)
		end, endInterruption := r.cluster.disturbances.begin(e.name), r.cluster.interruptions.begin(e.name)
		return e.name + ": paused", func() {
			e.signal(syscall.SIGCONT)
			end()
			endInterruption()
		}, nil
	case 4:
		return r.restartEntryHost(e, ": killed and restarted", func() {
			defer r.cluster.interruptions.begin(e.name)()
			e.signal(syscall.SIGCONT)
			e.signal(syscall.SIGKILL)
			e.wait()
		})
	case 5:
		return r.restartEntryHost(e, ": shut down and restarted", func() {
			e.signal(syscall.SIGCONT)
			e.shutDown()
		})
	case 6:
		mode := []fakes.FailureMode{fakes.Unavailable, fakes.Unresponsive}[r.rand.IntN(2)]
		r.cluster.platform.Store.SetFailureMode(mode)
		return fmt.Sprintf("store: failure mode %d", mode), func() { r.cluster.platform.Store.SetFailureMode(fakes.Healthy) }, nil
	case 7:
		r.cluster.platform.Store.DropHistory()
		return "store: history dropped, new configuration written", nil, r.cluster.configure(currentKey, oldKey)
	case 8:
		return r.replaceServer()
	default:
		return r.injectServerFault()
	}
}

// restartEntryHost stops the process of an entry host with stop and starts a new
// one. It does nothing if a restart is in progress: a second one would start two
// processes, of which only the last would be killed at the end of the run.
func (r *run) restartEntryHost(e *entryHost, description string, stop func()) (string, func(), error) {
	if !e.restartMu.TryLock() {
		return e.name + description + ": skipped, a restart is in progress", nil, nil
	}
	r.activeFaults.Go(func() {
		defer e.restartMu.Unlock()
		defer r.cluster.disturbances.begin(e.name)()
		stop()
		if err := e.start(); err != nil {
			r.addViolation("%v", err)
		}
	})
	return e.name + description, nil, nil
}

// randomMode returns a fault mode of a proxy.
func (r *run) randomMode() proxy.Mode {
	return []proxy.Mode{proxy.Slow, proxy.Reset, proxy.DropReplies, proxy.Blackhole}[r.rand.IntN(4)]
}

// degradeLink sets a random fault mode on the link to a random backend server.
func (r *run) degradeLink() (string, func(), error) {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	p := r.cluster.serverProxies[r.rand.IntN(len(r.cluster.serverProxies))]
	m := r.randomMode()
	p.SetMode(m)
	end := r.cluster.disturbances.begin(p.Address())
	return fmt.Sprintf("link to %s: mode %d", p.Address(), m), func() {
		p.SetMode(proxy.Forward)
		end()
	}, nil
}

// replaceServer crashes a backend server and starts a new one. undo deletes the
// entry of the crashed server from the store.
func (r *run) replaceServer() (string, func(), error) {
	old := r.cluster.takeServer(r.rand)
	old.Crash()
	err := r.cluster.addServer(old.Service, old.Zone)
	return old.ID + ": crashed and replaced", func() { r.cluster.platform.Store.Delete("servers", old.ID) }, err
}

// injectServerFault makes a backend server drop responses, refuse requests or
// truncate a stream.
func (r *run) injectServerFault() (string, func(), error) {
	s := r.cluster.randomServer(r.rand)
	switch r.rand.IntN(3) {
	case 0:
		s.DropResponses(3)
		return s.ID + ": drops three answers", nil, nil
	case 1:
		s.RefuseNext(5)
		return s.ID + ": refuses five requests", nil, nil
	default:
		s.TruncateAfter(4)
		return s.ID + ": truncates a stream", nil, nil
	}
}
