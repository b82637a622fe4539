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
func (d *delivery) suspectCause(e *fault.Error, m *monitor) {
	switch e.Code {
	case fault.ServerRefused:
		d.handleRefusal(e)
	case fault.ServerFailed, fault.InvalidResponse:
		if unresponsive := m.unresponsive(); len(unresponsive) > 0 {
			e.Server = unresponsive[0]
			d.suspectServers(unresponsive...)
			return
		}
		if errors.Is(e.Cause, errSilent) {
			d.handleSilence()
			return
		}
		if e.Server == "" {
			e.Server = d.stages[0].Server
		}
		d.suspectServers(e.Server)
		d.avoidLinkTo(e.Server)
	}
}

// handleRefusal cordons a server that refused because it is leaving. After any
// other refusal, which is temporary, the server is avoided for a while.
func (d *delivery) handleRefusal(e *fault.Error) {
	if e.Server == "" {
		return
	}
	if e.Message != engine.Leaving {
		d.avoided = append(d.avoided, e.Server)
		d.suspectUntil(time.Now().Add(health.SuspectFor(1)), e.Server)
		return
	}
	for i := range d.stages {
		if d.stages[i].Server == e.Server {
			d.hops[i].Meter.RefusedAt.Store(time.Now().UnixNano())
		}
	}
	d.View.Update(func(s *view.Snapshot) { s.Cordon(view.Refusing, e.Server) })
	d.Trace.Record("relay", d.req.ID, "server "+e.Server+" is leaving")
}

// maxSilentChains is the number of silent chains in a row, without a token in
// between, after which a server in all of them is suspected.
const maxSilentChains = 2

// handleSilence handles a chain that fell silent although all its servers
// answered their probes. One of its links must be down, but which one is
// unknown, so all of them are avoided. This request also avoids the servers
// where it has a choice: if all links of one server are down, a chain over
// another link of that server would fail too. A server in maxSilences silent
// chains in a row is suspected; tokens of other chains reset the count of the
// healthy ones.
func (d *delivery) handleSilence() {
	if d.Direct != nil && !d.Direct(d.stages[0].Address) {
		// The link from this host to the first server is cut.
		return
	}
	d.avoidLinks()
	for i := range d.hops {
		d.avoided = append(d.avoided, d.stages[i].Server)
		if d.hops[i].Meter.SilentChains.Add(1) >= maxSilentChains {
			d.suspectServers(d.stages[i].Server)
		}
	}
}

// suspectServers has failed servers avoided, for longer with each failure in a
// row. All streams of a server fail together with it, so failures during its
// suspicion are not counted again.
func (d *delivery) suspectServers(servers ...string) {
	d.avoided = append(d.avoided, servers...)
	d.markSuspected(d.stages, d.hops, servers, d.hostDelay())
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
func (d *delivery) avoidLinkTo(server string) {
	for i := 1; i < len(d.stages); i++ {
		if d.stages[i].Server == server {
			d.hops[i-1].Link.Avoid(time.Now().Add(health.SuspectFor(1)))
		}
	}
}

// avoidLinks records a failure of every link of the chain.
func (d *delivery) avoidLinks() {
	now := time.Now()
	for i := range d.hops {
		if link := d.hops[i].Link; link != nil {
			link.RecordFailure(now)
		}
	}
	d.Log.Warn("relay: links suspected", "request", d.req.ID, "chain", serverNames(d.stages), "delay", d.hostDelay())
}

// hostDelay returns how long this process was stalled during the attempt.
func (d *delivery) hostDelay() time.Duration {
	if d.startedAt.At.IsZero() {
		return 0
	}
	return d.Clock.Delay(d.startedAt)
}
