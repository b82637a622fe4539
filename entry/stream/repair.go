package stream

import (
	"context"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/router"
)

// reroute gives each stalled stream of a first server another way.
func (w *Monitor) reroute(address string, stalled []call.Stalled) {
	at := map[string]string{}
	for _, s := range stalled {
		at[s.ID] = s.Address
	}
	var list []*live
	w.mu.Lock()
	for l := range w.lives {
		if _, waits := at[l.job.ID]; waits && l.first() == address {
			list = append(list, l)
		}
	}
	w.mu.Unlock()
	for _, l := range list {
		failed := at[l.job.ID]
		w.accuse(failed, "a chain waits for it", l.linkTo(failed))
		go w.repair(l, failed)
	}
}

// link is the way from the servers of one failure domain to those of another.
type link struct{ from, to domain.Name }

// linkTo returns the link by which a server of the stream's chain is reached.
func (l *live) linkTo(address string) link {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 1; i < len(l.chain); i++ {
		if l.chain[i].Server.Address == address {
			return link{l.chain[i-1].Server.Domain, l.chain[i].Server.Domain}
		}
	}
	return link{}
}

// repair changes the chain of one stream. It runs once at a time for each. A stream
// without another chain behind its first server restarts elsewhere if it can, and
// otherwise stays as it is: the servers that it waits for are checked again soon, by
// when a chain may exist.
func (w *Monitor) repair(l *live, failed string) {
	l.mu.Lock()
	chain := l.chain
	if l.busy || !chain.Has(failed) || time.Since(l.repaired) < repairEvery {
		// An older report: the stream has another chain already, or none was found a
		// moment ago.
		l.mu.Unlock()
		return
	}
	l.busy = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.busy = false
		l.repaired = time.Now()
		l.mu.Unlock()
	}()
	avoid := map[string]bool{failed: true}
	if w.detoured(l, chain, avoid) {
		return
	}
	began := l.began.Load()
	restart := !began || w.blocksLoad(l, chain) || w.restartElsewhere(l, chain, avoid)
	w.Log.Info("watch: no other way", "request", l.job.ID, "failed", failed, "began", began, "restart", restart, "silence", l.silence(time.Now()))
	if restart {
		l.cancel(errNoWay)
	}
}

// detoured orders other chains behind the first server of a stream, and reports
// whether the stream continues on one.
func (w *Monitor) detoured(l *live, chain router.Chain, avoid map[string]bool) bool {
	for range maxReroutes {
		next := w.detour(l, chain, avoid)
		if next == nil || !w.mayCross(l.job, next.Crossings()-chain.Crossings()) {
			return false
		}
		// Reserved before it is ordered: many streams leave a dead server at the same
		// moment, and would all choose the same other one.
		l.move(w.Ledger, next)
		taken, at := w.order(l, next)
		if taken == call.OrderStarted {
			return true
		}
		l.move(w.Ledger, chain)
		if taken != call.OrderConflict || at == "" {
			// The first server does not answer, or does not have the request.
			return false
		}
		avoid[at] = true
	}
	return false
}

// restartElsewhere reports whether a stream restarts on a chain within one failure
// domain, for which a run is reserved then. Loading the missing layers takes longer
// than the longest pause that is on time, and the link between domains carries few
// prompts in that time; reading the tokens again needs neither.
func (w *Monitor) restartElsewhere(l *live, chain router.Chain, avoid map[string]bool) bool {
	if l.restart == nil {
		return false
	}
	avoid[chain[0].Server.Address] = true
	q := w.query(l.job)
	q.Avoid, q.SingleDomain = avoid, true
	return q.Pick() != nil && l.restart()
}

// blocksLoad reports whether a stalled stream keeps a server from loading the layers
// that it and others wait for: the server first lets all requests end that pass
// through the layers it gives up, and this one never will.
func (w *Monitor) blocksLoad(l *live, chain router.Chain) bool {
	s := draining(w.State.View(), chain)
	return s != nil && s.AwaitsReload && l.silent(time.Now())
}

// mayCross reports whether a request may use the link between failure domains
// so many times more now.
func (w *Monitor) mayCross(j *call.Job, crossings int) bool {
	if crossings <= 0 {
		return true
	}
	transfer := time.Duration(crossings) * router.TransferTime(j.Service.Engine, j.PromptTokens)
	hosts := w.EntryHosts()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pipe.Reserve(transfer, linkWait(j.Route), hosts, time.Now())
}

// detour finds another chain behind the same first part.
func (w *Monitor) detour(l *live, chain router.Chain, avoid map[string]bool) router.Chain {
	if avoid[chain[0].Server.Address] {
		return nil
	}
	kept := map[string]router.Stage{}
	for _, p := range chain[1:] {
		kept[p.Server.Address] = p
	}
	q := w.query(l.job)
	q.Avoid, q.FixedFirst, q.Cached = avoid, &chain[0], kept
	return q.Pick()
}

// query describes the choice of a chain for a job.
func (w *Monitor) query(j *call.Job) *router.Query {
	return &router.Query{
		Engine: j.Service.Engine, Servers: w.State.View().Service(j.Service.Name), LocalDomain: w.LocalDomain,
		Prompt: j.PromptTokens, Answer: j.ExpectedTokens(j.Service.Engine), Used: w.Ledger.Used, Partitioned: w.State.Unreachable,
	}
}

// order tells the first server of the new chain. It returns which server is in
// the way of it, if one is.
func (w *Monitor) order(l *live, next router.Chain) (taken call.OrderResult, at string) {
	ctx, cancel := context.WithTimeout(context.Background(), call.OrderTimeout)
	defer cancel()
	silence := l.silence(time.Now())
	taken, at, err := w.Engine.Reroute(ctx, l.job.ID, next)
	w.Log.Info("watch: rerouted", "request", l.job.ID, "chain", next.String(), "taken", taken.String(), "at", at, "silence", silence, "error", err)
	if taken == call.OrderStarted {
		l.last.Store(time.Now().UnixNano())
	}
	return taken, at
}

// drain reroutes streams around a server that is leaving, before it cuts them off,
// or around one that loads missing layers as soon as they have gone. Streams through
// a server that only gives up replicated layers are left to end.
func (w *Monitor) drain(now time.Time) {
	view := w.State.View()
	w.mu.Lock()
	defer w.mu.Unlock()
	for l := range w.lives {
		l.mu.Lock()
		s := draining(view, l.chain)
		due := s != nil && !l.busy && l.drained != s.Address && l.began.Load() && now.Sub(w.drained) >= pace(s)
		if due {
			l.drained = s.Address
		}
		l.mu.Unlock()
		if due {
			w.drained = now
			go w.repair(l, s.Address)
			return
		}
	}
}

// pace returns the interval between two streams that are rerouted around a server.
func pace(s *fleet.Server) time.Duration {
	if s.AwaitsReload {
		return moveEvery
	}
	return drainEvery
}

// draining returns a server of a chain, not the first, that the stream should leave.
func draining(view *fleet.View, chain router.Chain) *fleet.Server {
	for _, p := range chain[1:] {
		s := view.ByAddress(p.Server.Address)
		if s == nil || s.ID != p.Server.ID {
			continue
		}
		if s.Leaving || s.AwaitsReload && (s.First > p.First || s.End < p.End) {
			return s
		}
	}
	return nil
}
