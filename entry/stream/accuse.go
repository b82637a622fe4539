package stream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/probe"
)

// Probe checks a server that seems to have failed by a request for its report. One
// that does not answer is suspected, and checked again until it answers or its entry
// is gone.
func (w *Monitor) Probe(address, why string) {
	w.accuse(address, why, link{})
}

// ProbeFor does so for a server that failed while it ran a request. If it
// died, that is noted against the request.
func (w *Monitor) ProbeFor(j *call.Job, address, why string) {
	s := w.State.View().ByAddress(address)
	if s == nil {
		return
	}
	w.mu.Lock()
	if w.under == nil {
		w.under = map[string]map[poison.Fingerprint]bool{}
	}
	if w.under[s.ID] == nil {
		w.under[s.ID] = map[poison.Fingerprint]bool{}
	}
	w.under[s.ID][j.Fingerprint] = true
	w.mu.Unlock()
	w.accuse(address, why, link{})
}

// settle ends the case of an accused server. If it died, that is noted against
// all requests that it failed under.
func (w *Monitor) settle(id string, died bool, now time.Time) {
	w.mu.Lock()
	prints := w.under[id]
	delete(w.under, id)
	w.mu.Unlock()
	if !died {
		return
	}
	for print := range prints {
		w.Crashes.RecordCrash(print, id, now)
	}
}

// accuse does so for a server that another one waits for. If it answers here,
// and the two are in different failure domains, these are cut off from each
// other. Without the question a plain crash would look the same, and no chain
// could cross to where its layers are held.
func (w *Monitor) accuse(address, why string, by link) {
	s := w.State.View().ByAddress(address)
	if s == nil {
		return
	}
	w.mu.Lock()
	healthy := time.Since(w.healthy[address]) < recheckInterval
	w.mu.Unlock()
	if !healthy && w.claim(address) {
		go w.check(s.ID, address, why, by)
	}
}

// claim reports whether the caller is to check an accused server. Each is checked by
// one goroutine at a time.
func (w *Monitor) claim(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.probed == nil {
		w.probed = map[string]bool{}
	}
	if w.probed[address] {
		return false
	}
	w.probed[address] = true
	return true
}

// suspect avoids a server that has left questions unanswered, and asks it
// again until it answers or its entry is gone.
func (w *Monitor) suspect(address, why string, err error) {
	s := w.State.View().ByAddress(address)
	if s == nil {
		return
	}
	w.doubt(s.ID, address, why, err, time.Now())
	if w.claim(address) {
		go w.check(s.ID, address, why, link{})
	}
}

// doubt notes that a server did not answer. It reports whether its entry is
// still there.
func (w *Monitor) doubt(id, address, why string, err error, now time.Time) bool {
	// Only a process that is gone refuses connections at once. One behind a
	// cut link does not answer either, and no request is to blame.
	w.settle(id, found(err) == probe.Gone, now)
	if s := w.State.View().ByAddress(address); s == nil || s.ID != id {
		return false
	}
	if w.State.Suspect(id, now.Add(state.SuspectFor), now) {
		w.Log.Warn("servers: suspected", "server", id, "address", address, "why", why, "error", err)
		w.Broadcast()
	}
	return true
}

// check polls an accused server until it answers or its entry is gone. The first
// probes, as many as mean that it is dead, have a short timeout: until a death is
// known, requests go to the server, and its layers are not loaded elsewhere.
func (w *Monitor) check(id, address, why string, by link) {
	defer func() {
		w.mu.Lock()
		delete(w.probed, address)
		w.mu.Unlock()
	}()
	misses := 0
	for range maxProbes {
		wait := call.ReportTimeout
		if misses < probe.FailureThreshold {
			wait = w.bound()
		}
		err := w.question(address, wait)
		now := time.Now()
		switch {
		case errors.Is(err, errLag):
			time.Sleep(recheckAfter)
			continue
		case err == nil:
			if misses < probe.FailureThreshold && by.from != by.to {
				w.State.MarkUnreachable(by.from, by.to, now)
			}
			w.answered(id, address, now)
			return
		}
		misses++
		if misses < probe.FailureThreshold && found(err) != probe.Gone {
			continue
		}
		if !w.doubt(id, address, why, err, now) {
			return
		}
		pause := w.recheckEvery(address)
		if misses <= probe.FailureThreshold {
			w.leave(address, found(err))
			pause = recheckAfter
		}
		time.Sleep(pause)
	}
}

// recheckEvery returns how often a suspected server is asked again. Every entry
// host asks for itself, so servers of other failure domains that serve none of
// its streams are asked only as often as keeps them suspected.
func (w *Monitor) recheckEvery(address string) time.Duration {
	s := w.State.View().ByAddress(address)
	if s == nil || s.Domain == w.LocalDomain {
		return probeEvery
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for l := range w.lives {
		if l.through(address) {
			return probeEvery
		}
	}
	return probeAway
}

// question asks a server for its report. An answer that it has none is one.
func (w *Monitor) question(address string, wait time.Duration) error {
	if _, err := w.ask(context.Background(), address, wait); !lives(err) {
		return err
	}
	return nil
}

// answered ends the suspicion against a server.
func (w *Monitor) answered(id, address string, now time.Time) {
	w.State.ClearSuspicion(id, now)
	w.settle(id, false, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.healthy == nil {
		w.healthy = map[string]time.Time{}
	}
	w.healthy[address] = now
}

// found returns what follows for streams from a server's failure to answer.
func found(err error) probe.State {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return probe.Gone
	}
	return probe.Unreachable
}

// lives reports whether a server answered a request for its report. Plain servers
// answer that they have none.
func lives(err error) bool {
	var none *call.NoReportError
	return err == nil || errors.As(err, &none)
}
