package stream

import (
	"context"
	"slices"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/caller"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/router"
)

// rerouteStalled reroutes the streams that their first server reports as stalled, and
// probes the servers that they wait for.
func (m *Monitor) rerouteStalled(address string, stalled []call.Stalled) {
	waitsFor := map[string]string{}
	for _, s := range stalled {
		waitsFor[s.ID] = s.Address
	}
	var affected []*activeStream
	m.mu.Lock()
	for stream := range m.streams {
		if _, isStalled := waitsFor[stream.job.ID]; isStalled && stream.firstAddress() == address {
			affected = append(affected, stream)
		}
	}
	m.mu.Unlock()
	for _, stream := range affected {
		failed := waitsFor[stream.job.ID]
		m.probeServer(failed, "a stalled chain waits for this server", stream.linkTo(failed))
		go m.rerouteStream(stream, failed)
	}
}

// link is the network path from the servers of one failure domain to those of
// another.
type link struct{ from, to domain.Name }

// linkTo returns the link from the previous server of the chain to the given one, or
// the zero link if there is no previous server.
func (s *activeStream) linkTo(address string) link {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 1; i < len(s.chain); i++ {
		if s.chain[i].Server.Address == address {
			return link{s.chain[i-1].Server.Domain, s.chain[i].Server.Domain}
		}
	}
	return link{}
}

// rerouteStream changes the chain of a stream, unless it is doing so already. If no
// alternative chain behind the first server takes the stream, another attempt is begun beside it
// if it has not begun or there is a chain within one failure domain. Otherwise it stays as
// it is: the servers that it waits for are probed again soon, and by then an alternative
// may exist.
func (m *Monitor) rerouteStream(stream *activeStream, failed string) {
	m.leaveServer(stream, failed, false)
}

// leaveServer is rerouteStream for a server that has failed, or that is about to leave the chain of a
// stream which still gets events. It reports whether the server may be left later.
func (m *Monitor) leaveServer(stream *activeStream, failed string, leaving bool) (later bool) {
	stream.mu.Lock()
	chain := stream.chain
	if stream.rerouting || !chain.Has(failed) || time.Since(stream.lastSearch) < searchInterval {
		// The stream is being rerouted, has another chain already, or found none a
		// moment ago.
		stream.mu.Unlock()
		return true
	}
	stream.rerouting = true
	stream.mu.Unlock()
	defer func() {
		stream.mu.Lock()
		stream.rerouting = false
		stream.lastSearch = time.Now()
		stream.mu.Unlock()
	}()
	avoid := map[string]bool{failed: true}
	if m.tryReroute(stream, chain, avoid) || stream.left() {
		return false
	}
	view := m.State.View()
	started, ends := stream.started.Load(), m.blocksLoad(view, stream, chain, failed)
	m.Log.Info("watch: no other way", "request", stream.job.ID, "failed", failed, "began", started, "ends", ends, "silence", stream.silence())
	if ends {
		stream.cancel(errNoChain)
		return false
	}
	// Loading the missing layers takes longer than the maximum gap of the route, and the link
	// between domains carries few prompts in that time; reading the tokens again on a chain
	// within one domain needs neither.
	return !stream.replace(replacement{
		cause: errNoChain, avoid: avoid, singleDomain: started,
		takeOver: leaving, ended: m.hasEndedAt(view, chain, failed),
	})
}

// tryReroute orders the first server of a stream to use one alternative chain after
// another, and reports whether the stream continues on one. Nothing is ordered where servers are
// silent: the first one would carry the order out later, and the others would not go on either.
func (m *Monitor) tryReroute(stream *activeStream, chain router.Chain, avoid map[string]bool) bool {
	for range maxReroutes {
		next := m.alternativeChain(stream, chain, avoid)
		if next == nil || stream.left() {
			return false
		}
		// The chain is reserved before it is ordered: many streams leave a failed
		// server at the same moment, and would all choose the same alternative.
		stream.switchChain(m.Load, next)
		refusedBy := m.findSilent(next)
		if len(refusedBy) == 0 {
			if stream.left() || !m.reserveTransfer(stream.job, next.Crossings()-chain.Crossings()) {
				stream.switchChain(m.Load, chain)
				return false
			}
			result, server := m.orderReroute(stream, next)
			if result == call.OrderStarted {
				return true
			}
			if result == call.OrderConflict && server != "" {
				refusedBy = []string{server}
			}
		}
		stream.switchChain(m.Load, chain)
		if len(refusedBy) == 0 || slices.Contains(refusedBy, chain[0].Server.Address) {
			// The first server does not answer, or does not know the request.
			return false
		}
		for _, address := range refusedBy {
			avoid[address] = true
		}
	}
	return false
}

// blocksLoad reports whether a stream that cannot go on, because a server of its chain is lost,
// keeps another one from loading the layers that this stream and others wait for. That server
// starts to load once all requests that use the layers it gives up have ended, but this stream would
// never end.
func (m *Monitor) blocksLoad(view *fleet.View, stream *activeStream, chain router.Chain, failed string) bool {
	s := drainingServer(view, chain)
	return s != nil && s.AwaitsReload && stream.silent() && m.isLost(view, chain, failed)
}

// isLost reports whether the server of a chain with the given address has ended, or is not reached.
// A server that accepts connections and is silent may go on.
func (m *Monitor) isLost(view *fleet.View, chain router.Chain, address string) bool {
	current := view.ByAddress(address)
	return m.hasEndedAt(view, chain, address) || current != nil && current.Lost()
}

// hasEndedAt reports whether the process of the server of a chain with the given address has ended,
// or has no entry any more.
func (m *Monitor) hasEndedAt(view *fleet.View, chain router.Chain, address string) bool {
	for _, stage := range chain {
		if s := stage.Server; s.Address == address {
			current := view.ByAddress(address)
			return current == nil || current.ID != s.ID || !current.StartedAt.Equal(s.StartedAt) || m.hasExited(s.ID)
		}
	}
	return false
}

// reserveTransfer reserves the transfer of a request's prompt over the link between
// failure domains, for the given number of crossings. It reports whether the link
// has the capacity for it.
func (m *Monitor) reserveTransfer(job *call.Job, crossings int) bool {
	if crossings <= 0 {
		return true
	}
	transfer := time.Duration(crossings) * router.TransferTime(job.Service.Engine, job.PromptTokens)
	hosts := m.EntryHosts()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.linkBudget.Reserve(transfer, maxLinkWait(job.Route), hosts, time.Now())
}

// alternativeChain returns another chain with the same first stage, or nil if there
// is none.
func (m *Monitor) alternativeChain(stream *activeStream, chain router.Chain, avoid map[string]bool) router.Chain {
	if avoid[chain[0].Server.Address] || m.paused(chain[0].Server) {
		return nil
	}
	cached := map[string]router.Stage{}
	for _, stage := range chain[1:] {
		cached[stage.Server.Address] = stage
	}
	q := m.chainQuery(stream.job)
	q.Avoid, q.FixedFirst, q.Cached = avoid, &chain[0], cached
	return q.Pick()
}

// chainQuery returns the query for the chain of a job.
func (m *Monitor) chainQuery(job *call.Job) *router.Query {
	return &router.Query{
		Engine: job.Service.Engine, Servers: m.State.View().Service(job.Service.Name), LocalDomain: m.LocalDomain,
		PromptTokens: job.PromptTokens, ResponseTokens: job.ExpectedTokens(job.Service.Engine), Used: m.Load.Used, Partitioned: m.State.Unreachable,
		Paused: m.paused,
	}
}

// paused reports whether a server has requested a pause. It gets no orders then.
func (m *Monitor) paused(s *fleet.Server) bool {
	return m.Paused != nil && m.Paused(s, time.Now()) > 0
}

// orderReroute orders the first server of a stream to use another chain. If a server
// of that chain refuses to take part, refusedBy is its address.
func (m *Monitor) orderReroute(stream *activeStream, next router.Chain) (result call.OrderResult, refusedBy string) {
	ctx, cancel := context.WithTimeout(stream.ctx, call.OrderTimeout)
	defer cancel()
	silence := stream.silence()
	stream.job.Caller.Add(caller.OrderBegun, next[0].Server.ID)
	result, refusedBy, err := m.Engine.Reroute(ctx, stream.job.ID, next)
	stream.job.Caller.Add(caller.OrderEnded, result.String())
	m.Log.Info("watch: rerouted", "request", stream.job.ID, "chain", next.String(), "taken", result.String(), "at", refusedBy, "silence", silence, "error", err)
	if result == call.OrderStarted {
		stream.recordActivity()
	}
	return result, refusedBy
}

// drainStreams reroutes a stream around a server that is draining, before the server
// closes the stream, or around one that waits for the stream to end before it loads
// missing layers. A stream stays on a server that only gives up replicated layers.
func (m *Monitor) drainStreams(now time.Time) {
	view := m.State.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	for stream := range m.streams {
		stream.mu.Lock()
		s := drainingServer(view, stream.chain)
		due := s != nil && !stream.rerouting && !m.paused(stream.chain[0].Server) && stream.drainedFrom != s.Address && stream.started.Load() && now.Sub(m.lastDrain) >= drainIntervalFor(s)
		if due {
			stream.drainedFrom = s.Address
		}
		stream.mu.Unlock()
		if due {
			m.lastDrain = now
			go m.drainStream(stream, s.Address)
			return
		}
	}
}

// drainStream moves a stream off a draining server, or lets that be tried again.
func (m *Monitor) drainStream(stream *activeStream, address string) {
	if m.leaveServer(stream, address, true) {
		stream.mu.Lock()
		stream.drainedFrom = ""
		stream.mu.Unlock()
	}
}

// drainIntervalFor returns the interval before the next stream is rerouted around a
// server.
func drainIntervalFor(s *fleet.Server) time.Duration {
	if s.AwaitsReload {
		return reloadDrainInterval
	}
	return drainInterval
}

// drainingServer returns a server of a chain, other than the first, that drains or
// waits to unload layers that the chain uses, or nil if there is none.
func drainingServer(view *fleet.View, chain router.Chain) *fleet.Server {
	for _, stage := range chain[1:] {
		s := view.ByAddress(stage.Server.Address)
		if s == nil || s.ID != stage.Server.ID {
			continue
		}
		if s.Leaving || s.AwaitsReload && (s.First > stage.First || s.End < stage.End) {
			return s
		}
	}
	return nil
}
