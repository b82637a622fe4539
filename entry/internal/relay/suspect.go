package relay

import (
	"errors"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/health"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/view"
)

// suspectCause marks the servers or links that a failure points to as suspect,
// so that the next attempts avoid them.
func (a *attempt) suspectCause(e *fault.Error) {
	switch e.Code {
	case fault.ServerRefused:
		a.handleRefusal(e)
	case fault.ServerFailed, fault.InvalidResponse:
		if unresponsive := a.monitor.unresponsive(); len(unresponsive) > 0 {
			e.Server = unresponsive[0]
			a.suspectServers(unresponsive...)
			return
		}
		if errors.Is(e.Cause, errSilent) {
			a.suspectLinks()
			return
		}
		if e.Server == "" {
			e.Server = a.stages[0].Server
		}
		a.suspectServers(e.Server)
		a.avoidLinkTo(e.Server)
	}
}

// handleRefusal cordons a server that refused because it is leaving. After any
// other refusal, which is temporary, the server is avoided for a while.
func (a *attempt) handleRefusal(e *fault.Error) {
	if e.Server == "" {
		return
	}
	if e.Message != engine.Leaving {
		a.avoid(e.Server)
		a.suspectUntil(time.Now().Add(health.SuspectFor(1)), e.Server)
		return
	}
	for i := range a.stages {
		if a.stages[i].Server == e.Server {
			a.hops[i].Meter.RefusedAt.Store(time.Now().UnixNano())
		}
	}
	a.View.Update(func(s *view.Snapshot) { s.Cordon(view.Refusing, e.Server) })
	a.Trace.Record("relay", a.req.ID, "server "+e.Server+" is leaving")
}

// maxSilentChains is the number of silent chains in a row, without a token in
// between, after which a server in all of them is suspected.
const maxSilentChains = 2

// suspectLinks handles a chain that fell silent although all its servers
// answered their probes. One of its links must be down, but which one is
// unknown, so all of them are avoided. This request also avoids the servers
// where it has a choice: if all links of one server are down, a chain over
// another link of that server would fail too. A server in maxSilences silent
// chains in a row is suspected; tokens of other chains reset the count of the
// healthy ones.
func (a *attempt) suspectLinks() {
	if a.Direct != nil && !a.Direct(a.stages[0].Address) {
		// The link from this host to the first server is cut.
		return
	}
	a.avoidLinks()
	for i := range a.hops {
		a.avoid(a.stages[i].Server)
		if a.hops[i].Meter.SilentChains.Add(1) >= maxSilentChains {
			a.suspectServers(a.stages[i].Server)
		}
	}
}

// suspectServers has failed servers avoided, for longer with each failure in a
// row. All streams of a server fail together with it, so failures during its
// suspicion are not counted again.
func (a *attempt) suspectServers(servers ...string) {
	a.avoid(servers...)
	a.markSuspected(a.stages, a.hops, servers, a.hostDelay())
}

// markSuspected has failed servers of a chain avoided by all requests. The delay is how
// long this process was stalled meanwhile.
func (f *Forwarder) markSuspected(stages []engine.Stage, hops []pick.Hop, servers []string, delay time.Duration) {
	now := time.Now()
	suspects := f.View.Load().SuspectedServers
	for i := range stages {
		name := stages[i].Server
		if !slices.Contains(servers, name) || now.Before(suspects[name]) {
			continue
		}
		failures := hops[i].Meter.Failures.Add(1)
		f.suspectUntil(now.Add(health.SuspectFor(failures)), name)
		f.Log.Warn("relay: server suspected", "server", name, "failures", failures, "delay", delay)
	}
}

// suspectUntil has all requests avoid a server until the given time.
func (f *Forwarder) suspectUntil(until time.Time, server string) {
	f.View.Update(func(s *view.Snapshot) { s.Suspect(server, until, time.Now()) })
}

// avoidLinkTo has the link to a failed server in the chain avoided, since the
// link itself may have failed.
func (a *attempt) avoidLinkTo(server string) {
	for i := 1; i < len(a.stages); i++ {
		if a.stages[i].Server == server {
			a.hops[i-1].Link.Avoid(time.Now().Add(health.SuspectFor(1)))
		}
	}
}

// avoidLinks records a failure of every link of the chain.
func (a *attempt) avoidLinks() {
	now := time.Now()
	for i := range a.hops {
		if link := a.hops[i].Link; link != nil {
			link.RecordFailure(now)
		}
	}
	a.Log.Warn("relay: links suspected", "request", a.req.ID, "chain", serverNames(a.stages), "delay", a.hostDelay())
}

// hostDelay returns how long this process was stalled during the attempt.
func (a *attempt) hostDelay() time.Duration {
	if a.startedAt.At.IsZero() {
		return 0
	}
	return a.Clock.Delay(a.startedAt)
}

// avoid has the request avoid servers.
func (d *delivery) avoid(servers ...string) {
	d.avoided = slices.DeleteFunc(d.avoided, func(name string) bool { return slices.Contains(servers, name) })
	d.avoided = append(d.avoided, servers...)
}
