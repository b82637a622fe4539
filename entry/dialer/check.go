package dialer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// checkTimeout limits attempts to connect that only tell whether this host reaches
	// servers.
	checkTimeout = 40 * time.Millisecond
	// checkServers is how many other servers are tried when one was not reached.
	checkServers = 3
	// recheckInterval is the interval at which servers that were not reached are tried
	// directly again, and recheckServers how many of them at once.
	recheckInterval = 500 * time.Millisecond
	recheckServers  = 2
)

// check starts to connect to some other servers, unless that is being done, and returns a
// channel that is closed when it is done. The result distinguishes a server that is down
// from a host that is cut off.
func (d *Dialer) check(failed string) <-chan struct{} {
	startedAt := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.checked != nil {
		return d.checked
	}
	others := slices.DeleteFunc(d.checkable(), func(address string) bool { return address == failed })
	done := make(chan struct{})
	d.checked = done
	go func() {
		var checks sync.WaitGroup
		for _, address := range others[:min(len(others), checkServers)] {
			checks.Go(func() { d.tryDirect(address, d.Reach.RecordCheck, startedAt) })
		}
		checks.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.checked = nil
		close(done)
	}()
	return done
}

// checkable returns the servers at which to check whether this host is cut off, the preferred
// ones first.
func (d *Dialer) checkable() []string {
	if d.Reach.Candidates != nil {
		return d.Reach.Candidates()
	}
	list := d.Servers()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// startDueChecks starts the checks without which this host does not count as isolated.
func (d *Dialer) startDueChecks(now time.Time) {
	for _, address := range d.Reach.DueChecks(now) {
		go d.tryDirect(address, d.Reach.RecordCheck, now)
	}
}

// recordFunc records whether a server accepted a connection, and reports whether that changed
// the state of this host.
type recordFunc func(address string, reached bool, startedAt time.Time) (changed bool)

// tryDirect tries a server directly, without sending anything.
func (d *Dialer) tryDirect(address string, record recordFunc, startedAt time.Time) {
	ctx, cancel := d.Clock.WithTimeout(context.Background(), checkTimeout, nil)
	defer cancel()
	c, err := d.Direct(ctx, "tcp", address)
	d.record(address, err == nil, record, startedAt)
	if err == nil {
		c.Close()
	}
}

// Run tries servers that were not reached again until the context ends.
func (d *Dialer) Run(ctx context.Context) {
	tick := time.NewTicker(recheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			d.forgetFailures(now)
			list := d.Reach.Unreached()
			rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			for _, address := range list[:min(len(list), recheckServers)] {
				go d.tryDirect(address, d.Reach.Record, now)
			}
		}
	}
}

func (d *Dialer) forgetFailures(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.failed, func(_ string, f failedServer) bool { return now.Sub(f.at) >= failedFor })
	maps.DeleteFunc(d.peerFailed, func(_ string, at time.Time) bool { return now.Sub(at) >= peerFailedFor })
}
