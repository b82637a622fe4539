package soak

import (
	"fmt"
	"syscall"
	"time"

	"fuchsiashelf.dev/soak/proxy"
	"fuchsiashelf.dev/stand/fakes"
)

// The times of faults: how long until the next one, and how long one lasts.
// They come in series and overlap.
const (
	leastPause = 150 * time.Millisecond
	mostPause  = 700 * time.Millisecond
	leastFault = 300 * time.Millisecond
	mostFault  = 2500 * time.Millisecond
)

// fault lets faults happen until the time is over, and waits for those that
// last.
func (r *run) fault() error {
	// A process that is stopped and started again must be there before the run
	// ends, or it would be left behind.
	defer r.lasting.Wait()
	for time.Since(r.start) < r.FaultDuration {
		time.Sleep(r.between(leastPause, mostPause))
		last := r.between(leastFault, mostFault)
		what, undo, err := r.one()
		if err != nil {
			return err
		}
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%s %s for %s", time.Since(r.start).Round(time.Millisecond), what, last))
		if undo != nil {
			r.lasting.Go(func() {
				time.Sleep(last)
				undo()
			})
		}
	}
	return nil
}

func (r *run) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.rand.Int64N(int64(most-least)))
}

// one draws a fault and begins it. Undo ends it, unless it is for good.
func (r *run) one() (what string, undo func(), err error) {
	e := r.town.entries[r.rand.IntN(r.EntryHosts)]
	switch r.rand.IntN(10) {
	case 0:
		m := r.mode()
		e.store.SetMode(m)
		return fmt.Sprintf("%s: path to the store: mode %d", e.name, m), func() { e.store.SetMode(proxy.Pass) }, nil
	case 1, 2:
		return r.link()
	case 3:
		e.signal(syscall.SIGSTOP)
		return e.name + ": paused", func() { e.signal(syscall.SIGCONT) }, nil
	case 4:
		return r.restart(e, ": killed and started again", func() {
			e.signal(syscall.SIGCONT)
			e.signal(syscall.SIGKILL)
			e.wait()
		})
	case 5:
		return r.restart(e, ": stopped as planned and started again", func() {
			e.signal(syscall.SIGCONT)
			e.terminate()
		})
	case 6:
		trouble := []fakes.FailureMode{fakes.Unavailable, fakes.Unresponsive}[r.rand.IntN(2)]
		r.town.world.Store.SetFailureMode(trouble)
		return fmt.Sprintf("the store: trouble %d", trouble), func() { r.town.world.Store.SetFailureMode(fakes.Healthy) }, nil
	case 7:
		r.town.world.Store.DropHistory()
		return "the store forgets; a new configuration", nil, r.town.configure(currentKey, oldKey)
	case 8:
		return r.replace()
	default:
		return r.misbehave()
	}
}

// restart ends an entry host's process and starts another, unless that is being
// done: two would be started for one, and only the last one ended.
func (r *run) restart(e *entry, what string, end func()) (string, func(), error) {
	if !e.life.TryLock() {
		return e.name + what + " already", nil, nil
	}
	r.lasting.Go(func() {
		defer e.life.Unlock()
		end()
		if err := e.begin(); err != nil {
			r.broken("%v", err)
		}
	})
	return e.name + what, nil, nil
}

func (r *run) mode() proxy.Mode {
	return []proxy.Mode{proxy.Slow, proxy.Reset, proxy.DropReplies, proxy.Blackhole}[r.rand.IntN(4)]
}

// link makes the link to a server misbehave.
func (r *run) link() (string, func(), error) {
	r.town.mu.Lock()
	defer r.town.mu.Unlock()
	p := r.town.links[r.rand.IntN(len(r.town.links))]
	m := r.mode()
	p.SetMode(m)
	return fmt.Sprintf("link to %s: mode %d", p.Address(), m), func() { p.SetMode(proxy.Pass) }, nil
}

// replace crashes a server; its entry goes later, and a new one comes.
func (r *run) replace() (string, func(), error) {
	r.town.mu.Lock()
	at := r.rand.IntN(len(r.town.servers))
	old := r.town.servers[at]
	r.town.servers = append(r.town.servers[:at], r.town.servers[at+1:]...)
	r.town.mu.Unlock()
	old.Crash()
	err := r.town.add(old.Service, old.Zone)
	return old.ID + ": crashed and replaced", func() { r.town.world.Store.Delete("servers", old.ID) }, err
}

// misbehave makes a server lose, refuse or break off answers.
func (r *run) misbehave() (string, func(), error) {
	r.town.mu.Lock()
	s := r.town.servers[r.rand.IntN(len(r.town.servers))]
	r.town.mu.Unlock()
	switch r.rand.IntN(3) {
	case 0:
		s.DropAnswers(3)
		return s.ID + ": loses three answers", nil, nil
	case 1:
		s.RefuseNext(5)
		return s.ID + ": refuses five requests", nil, nil
	default:
		s.TruncateAfter(4)
		return s.ID + ": breaks a stream off", nil, nil
	}
}
