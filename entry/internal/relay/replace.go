package relay

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/pick"
)

// Causes of cancelling an attempt.
var (
	// errSilent: no chain of a request that has not begun has sent anything for too long.
	errSilent = errors.New("relay: the chain is silent")
	// errExited: the process of a server of the chain has ended.
	errExited = errors.New("relay: the process of a server has ended")
	// errUnreachable: a server of a silent chain accepts no connections.
	errUnreachable = errors.New("relay: a server of the chain is unreachable")
	// errReplaced: another attempt has gone on, or the request has ended.
	errReplaced = errors.New("relay: another attempt has replaced this one")
)

// EndCause returns why a request ended without its whole response, for metrics.
func EndCause(e *fault.Error) string {
	switch {
	case errors.Is(e, errSilent):
		return "silent"
	case errors.Is(e, errExited), errors.Is(e, dialer.ErrExited):
		return "exited"
	case errors.Is(e, errUnreachable):
		return "unreachable"
	}
	return string(e.Code)
}

const (
	// aliveFor is how long a server counts as alive after it has sent a token.
	aliveFor = 100 * time.Millisecond
	// freshFor is how long after a chain was first found silent another one may begin without a
	// further probe of the silent servers.
	freshFor = 20 * time.Millisecond
	// candidateAge is the age at which a candidate is picked again.
	candidateAge = 500 * time.Millisecond
	// reachInterval is the interval at which connections to the servers of a chain that stays
	// silent are tried, and reachTimeout limits an attempt.
	reachInterval = time.Second
	reachTimeout  = 500 * time.Millisecond
	// maxUnreached is the number of connections in a row that must fail before a server counts as
	// unreachable: a lost packet delays one by a second.
	maxUnreached = 2
)

// candidate is a chain that may replace a silent one.
type candidate struct {
	hops     []pick.Hop
	stages   []engine.Stage
	pickedAt time.Time
	// aliveAt is when all servers were found alive.
	aliveAt time.Time
	// probes are the probes of the servers that are not known to be alive.
	probes []*probe
}

// wake makes the delivery look at its silent chains.
func (d *delivery) wake() {
	select {
	case d.silent <- struct{}{}:
	default:
	}
}

// handleSilence is called when a chain is silent. If all chains of the request are, it starts
// an attempt on another one, and keeps the silent ones until that has sent a token.
func (d *delivery) handleSilence(ctx context.Context) {
	if !d.allSilent() {
		return
	}
	d.mu.Lock()
	if d.failedAt.IsZero() {
		d.failedAt = time.Now()
	}
	d.mu.Unlock()
	for _, a := range d.attempts() {
		a.blame()
	}
	d.startBeside(ctx, &fault.Error{Code: fault.ServerFailed, Cause: errSilent})
	d.endHopeless()
}

// allSilent reports whether there are attempts in progress and their chains are all silent.
func (d *delivery) allSilent() bool {
	running := d.attempts()
	return len(running) > 0 && !slices.ContainsFunc(running, func(a *attempt) bool { return !a.monitor.silent.Load() })
}

// startBeside starts an attempt beside those in progress if their chains are all silent, another
// chain is not, and a retry after the given error is allowed.
func (d *delivery) startBeside(ctx context.Context, e *fault.Error) {
	for d.allSilent() {
		failure := d.failure(e)
		if retryable, _ := failure.ShouldRetry(); !retryable {
			d.candidate = nil
			return
		}
		c := d.nextCandidate(!errors.Is(e, errSilent))
		if c == nil {
			return
		}
		d.candidate = nil
		if !d.allowRetry(failure) {
			return
		}
		if e = d.start(ctx, c); e == nil {
			d.closeSuperseded()
			return
		}
		d.verdict = d.verdict.Weaken(e.Verdict)
		d.record("attempt failed: " + e.Error())
	}
}

// closeSuperseded closes the attempts between the oldest and the newest: neither have they
// begun to answer, nor is the oldest lost with them.
func (d *delivery) closeSuperseded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.running) < 3 {
		return
	}
	last := len(d.running) - 1
	for _, a := range d.running[1:last] {
		a.replace()
		d.verdict = d.verdict.Weaken(fault.MayHaveRun)
	}
	d.running = []*attempt{d.running[0], d.running[last]}
}

// stillSilent reports whether a chain in progress is known to be silent although another was
// alive at the given time: servers that fell silent together go on together, and then need no
// second attempt.
func (d *delivery) stillSilent(since time.Time) bool {
	return slices.ContainsFunc(d.attempts(), func(a *attempt) bool {
		f := a.monitor.finding.Load()
		return f != nil && (len(f.servers) == 0 || f.probedAt.After(since) || f.first && time.Since(f.at) < freshFor)
	})
}

// nextCandidate returns a chain whose servers are alive. It returns nil if there is none, or
// if its servers are being probed; and, but for anyway, if the silent servers may have gone on.
func (d *delivery) nextCandidate(anyway bool) *candidate {
	var silent []string
	for _, a := range d.attempts() {
		silent = append(silent, a.monitor.silentNames()...)
	}
	if d.candidate != nil && time.Since(d.candidate.pickedAt) > candidateAge {
		d.candidate = nil
	}
	for {
		if d.candidate == nil {
			d.candidate = d.pickCandidate()
		}
		c := d.candidate
		if c == nil {
			return nil
		}
		pending := false
		failed := silent
		for _, p := range c.probes {
			pending = pending || !p.finished.Load()
			if p.failed.Load() {
				failed = append(failed, p.server)
			}
		}
		if slices.ContainsFunc(c.stages, func(s engine.Stage) bool { return slices.Contains(silent, s.Server) }) {
			// No chain avoids the silent servers.
			d.candidate = nil
			return nil
		}
		if len(failed) == len(silent) {
			if pending {
				return nil
			}
			if c.aliveAt.IsZero() {
				c.aliveAt = time.Now()
			}
			if !anyway && !d.stillSilent(c.aliveAt) {
				return nil
			}
			return c
		}
		d.avoid(failed[len(silent):]...)
		silent, d.candidate = failed, nil
	}
}

// pickCandidate picks a chain, and probes its servers unless they are known to be alive. It
// returns nil if there is no chain.
func (d *delivery) pickCandidate() *candidate {
	now := time.Now()
	a := &attempt{delivery: d}
	if e := a.pickChain(d.View.Load(), now); e != nil {
		return nil
	}
	c := &candidate{hops: a.hops, stages: a.stages, pickedAt: now}
	for i, s := range c.stages {
		if _, at := c.hops[i].Meter.Wait(); now.UnixNano()-at < int64(aliveFor) {
			continue
		}
		p := d.probe(s.Server, s.Address)
		p.notify(d.wake)
		c.probes = append(c.probes, p)
	}
	return c
}

// endHopeless ends attempts whose chains are all silent and will not go on: a server has
// exited or become unreachable. A request that has not begun is also ended after the time
// that further attempts would have taken.
func (d *delivery) endHopeless() {
	if !d.allSilent() {
		return
	}
	running := d.attempts()
	exhausted := true
	for _, a := range running {
		if name := a.monitor.exited(); name != "" {
			d.record(a.String() + " is ended: the process of " + name + " has ended")
			a.cancel(errExited)
			exhausted = false
		}
		exhausted = exhausted && a.monitor.idle() >= a.monitor.maxSilence
	}
	if !exhausted || d.candidate != nil {
		return
	}
	if d.sentCount() == 0 {
		d.exhausted = true
		for _, a := range running {
			a.cancel(errSilent)
		}
		return
	}
	for _, a := range running {
		a.checkReach()
	}
}

// checkReach cancels an attempt if servers of its silent chain accept no connections.
func (a *attempt) checkReach() {
	if time.Since(a.reachedAt) < reachInterval {
		return
	}
	a.reachedAt = time.Now()
	if a.unreached == nil {
		a.unreached = map[string]*atomic.Int32{}
	}
	dial := a.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	silent := a.monitor.silentNames()
	for _, s := range a.stages {
		if !slices.Contains(silent, s.Server) {
			continue
		}
		failed := a.unreached[s.Server]
		if failed == nil {
			failed = &atomic.Int32{}
			a.unreached[s.Server] = failed
		}
		go func() {
			ctx, cancel := a.Clock.WithTimeout(a.ctx, reachTimeout, nil)
			defer cancel()
			conn, err := dial(ctx, "tcp", s.Address)
			if err == nil {
				_ = conn.Close()
				failed.Store(0)
				return
			}
			if failed.Add(1) >= maxUnreached && a.monitor.silent.Load() {
				a.Log.Warn("relay: server of a silent chain is unreachable", "request", a.req.ID, "server", s.Server, "err", err)
				a.cancel(errUnreachable)
			}
		}()
	}
}

// blame makes requests avoid the servers or links that the silence of a chain points to.
func (a *attempt) blame() {
	silent := a.monitor.silentNames()
	first := !a.monitor.blamed.Swap(true)
	switch {
	case len(silent) > 0:
		a.suspectServers(silent...)
	case first:
		a.suspectLinks()
	}
	if !first {
		return
	}
	silentChains.Inc(1)
	a.record(a.String() + " is silent for " + a.monitor.idle().Round(time.Millisecond).String() + ", " + a.monitor.evidence())
}

// evidence describes what is known of the servers of a chain.
func (m *monitor) evidence() string {
	if name := m.exited(); name != "" {
		return "the process of " + name + " has ended"
	}
	if names := m.silentNames(); len(names) > 0 {
		return "no answer to probes from " + strings.Join(names, ",")
	}
	if m.silent.Load() {
		return "all servers answer probes"
	}
	return "not silent"
}
