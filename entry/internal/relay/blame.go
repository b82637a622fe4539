package relay

import (
	"errors"
	"time"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/health"
	"fuchsiashelf.dev/parts/view"
)

// blame marks the servers or links that a failure points to, so that the next
// attempts avoid them.
func (c *carry) blame(e *fault.Error, w *watch) {
	switch e.Code {
	case fault.ServerRefused:
		c.refused(e)
	case fault.ServerFailed, fault.BrokenAnswer:
		if absent := w.absent(); len(absent) > 0 {
			e.Server = absent[0]
			c.suspect(absent...)
			return
		}
		if errors.Is(e.Cause, errSilent) {
			c.silenced()
			return
		}
		if e.Server == "" {
			e.Server = c.stages[0].Server
		}
		c.suspect(e.Server)
		c.avoidLinkTo(e.Server)
	}
}

// refused takes a server out that said that it is leaving. Any other refusal
// is passing.
func (c *carry) refused(e *fault.Error) {
	if e.Server == "" {
		return
	}
	if e.Message != engine.Leaving {
		c.skip = append(c.skip, e.Server)
		c.avoid(time.Now().Add(health.SuspectFor(1)), e.Server)
		return
	}
	for i := range c.stages {
		if c.stages[i].Server == e.Server {
			c.hops[i].Meter.RefusedAt.Store(time.Now().UnixNano())
		}
	}
	c.View.Update(func(s *view.Snapshot) { s.Cordon(view.Refusing, e.Server) })
	c.Trace.Record("relay", c.ask.ID, "server "+e.Server+" is leaving")
}

// silenceMost is how many chains in a row may fall silent with a server in
// them, without a token from it in between, before it is suspected itself.
const silenceMost = 2

// silenced deals with a chain that fell silent though all its servers were
// there. One of its links must be down, and nothing tells which. The links are
// avoided; this request avoids the servers too, where it has a choice, since a
// server whose links are all down would meet it again on each. A server that
// is in one silent chain after the other, and gives no token, is suspected:
// the others clear themselves by tokens of other chains.
func (c *carry) silenced() {
	c.avoidLinks()
	for i := range c.hops {
		c.skip = append(c.skip, c.stages[i].Server)
		if c.hops[i].Meter.Silences.Add(1) >= silenceMost {
			c.suspect(c.stages[i].Server)
		}
	}
}

// suspect has failed servers avoided, the longer the more often they failed.
// All streams of a server fail with it at one time; that counts once.
func (c *carry) suspect(servers ...string) {
	c.skip = append(c.skip, servers...)
	now := time.Now()
	known := c.View.Load().SuspectedServers
	for i := range c.stages {
		for _, name := range servers {
			if c.stages[i].Server != name || now.Before(known[name]) {
				continue
			}
			failures := c.hops[i].Meter.Failures.Add(1)
			c.avoid(now.Add(health.SuspectFor(failures)), name)
			c.Log.Warn("relay: server suspected", "server", name, "failures", failures)
		}
	}
}

func (c *carry) avoid(until time.Time, server string) {
	c.View.Update(func(s *view.Snapshot) { s.Suspect(server, until, time.Now()) })
}

// avoidLinkTo has the link avoided over which a failed server was reached: it
// may be the link that failed.
func (c *carry) avoidLinkTo(server string) {
	for i := 1; i < len(c.stages); i++ {
		if c.stages[i].Server == server {
			c.hops[i-1].Link.Avoid(time.Now().Add(health.SuspectFor(1)))
		}
	}
}

// avoidLinks has all links of a chain avoided that fell silent while all its
// servers were there.
func (c *carry) avoidLinks() {
	now := time.Now()
	for i := range c.hops {
		if l := c.hops[i].Link; l != nil {
			l.RecordFailure(now)
		}
	}
	c.Log.Warn("relay: links suspected", "request", c.ask.ID, "chain", names(c.stages))
}
