package stream

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/stall"
)

// Timeouts and intervals that do not depend on routes.
const (
	// sweepInterval is the interval between two checks of all streams.
	sweepInterval = 15 * time.Millisecond
	// silentGaps is the number of mean gaps without an event after which the servers
	// of a stream are probed, if that is longer than silentTimeout. The number of
	// probes is limited, and where all streams are slow, enough of them must be left
	// for the servers that failed.
	silentGaps = 2
	// entryPropagation is how long a restarted server is avoided. By then its entry
	// shows that it holds no layers.
	entryPropagation = 1500 * time.Millisecond
	// suspectProbeInterval is the interval between probes of a suspected server, and
	// maxSuspectProbes their number: they go on for longer than the entry of a failed
	// server exists.
	suspectProbeInterval = 500 * time.Millisecond
	maxSuspectProbes     = 30
	// remoteProbeInterval is the interval between probes of a suspected server of
	// another failure domain. Each one comes just before the suspicion expires.
	remoteProbeInterval = state.SuspectFor - 200*time.Millisecond
	// reprobeDelay is the delay before a server that did not answer the first, short
	// probes gets a long one: on a lossy link all of them may have been lost.
	reprobeDelay = 100 * time.Millisecond
	// drainInterval is the interval between two streams that are rerouted around a
	// draining server. All tokens of each stream are read again on its new chain,
	// which delays the other streams there.
	drainInterval = 200 * time.Millisecond
	// reloadDrainInterval is the same for a server that is about to load layers that
	// no other server of its failure domain holds.
	reloadDrainInterval = 50 * time.Millisecond
	// healthyProbeInterval is the shortest interval between probes of a server that
	// answered the last one: each refusal of a saturated server requests a probe.
	healthyProbeInterval = 500 * time.Millisecond
	// searchInterval is the shortest interval between two searches for another chain
	// for a stream. Each search may cost one order for every server that turns out to
	// be saturated.
	searchInterval = 150 * time.Millisecond
	// maxReroutes bounds the chains that are tried in one search.
	maxReroutes = 3
)

var (
	// Causes for which this entry host ends an attempt or begins another one beside it.
	errFirstServerDead = errors.New("stream: the first server does not answer")
	errExited          = errors.New("stream: the process of the first server has ended")
	errSilent          = errors.New("stream: silent for too long")
	errNoChain         = errors.New("stream: no other way behind the first server")
	errLinkCut         = errors.New("stream: the first server is alive, but the link to it is cut")
)

// Monitor monitors the streams in progress. Set the exported fields before Run.
type Monitor struct {
	Engine call.EngineClient
	State  *state.Local
	Load   *router.LoadTracker
	// StartLatency holds how long requests wait for their first event at a server.
	StartLatency *router.StartLatency
	LocalDomain  domain.Name
	Log          *slog.Logger
	// Clock distinguishes the silence of servers from stalls of this process; nil assumes none.
	Clock *stall.Clock
	// Crashes finds out which requests crash servers.
	Crashes *poison.Detector
	// Broadcast sends a new suspicion or a long wait to other entry hosts.
	Broadcast func()

	// Paused returns the remaining time of the pause that a server has requested; zero if
	// there is none. Nil means that no server has requested one.
	Paused func(s *fleet.Server, now time.Time) time.Duration
	// EntryHosts returns the number of entry hosts, including this one.
	EntryHosts func() int
	// Direct reports whether connections to an address are direct ones now; nil means always.
	Direct func(address string) bool
	// DropConns closes the idle connections to an address. A connection that was lost
	// without a reset would make a live server seem not to answer.
	DropConns func(address string)

	// checks counts the reports that were asked for.
	checks atomic.Int64

	mu      sync.Mutex
	streams map[*activeStream]struct{}
	// probes decides which servers of silent streams are probed, and timeout how
	// long an answer may take.
	probes  probe.Scheduler
	timeout probe.Timeout
	// linkBudget limits the transfers of prompts between failure domains.
	linkBudget router.LinkBudget
	// probing holds the addresses of the servers that probeSuspect is probing.
	probing map[string]bool
	// lastAnswer holds when a suspected server last answered a probe, by address.
	lastAnswer map[string]time.Time
	// answered and missed hold when servers last answered a probe and last missed one, by address,
	// if that is less than aliveFor ago. alive holds the servers that were known to be alive at aliveAt.
	answered, missed map[string]time.Time
	alive            map[string]bool
	aliveAt          time.Time
	// asking makes goroutines that ask the same server share its answer.
	asking singleflight.Group
	// failedSearches counts the searches for other attempts that have failed since searchesSince.
	failedSearches int
	searchesSince  time.Time
	// failedRequests holds the requests that failed on a probed server, by the ID of
	// the server, until it is known whether the server crashed.
	failedRequests map[string][]failedRequest
	// exited holds the servers whose processes are known to have ended, by ID.
	exited map[string]time.Time
	// lastDrain is when a stream was last rerouted around a draining server.
	lastDrain time.Time
}

func (m *Monitor) add(ctx context.Context, job *call.Job, chain router.Chain, cancel context.CancelCauseFunc, replace func(replacement) bool) *activeStream {
	stream := &activeStream{job: job, ctx: ctx, startedAt: time.Now(), chain: chain, clock: m.Clock, cancel: cancel, replace: replace, releaseChain: m.Load.Reserve(chain, totalTokens(job))}
	stream.recordActivity()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.streams == nil {
		m.streams = map[*activeStream]struct{}{}
	}
	m.streams[stream] = struct{}{}
	return stream
}

func (m *Monitor) remove(stream *activeStream) {
	m.mu.Lock()
	delete(m.streams, stream)
	m.mu.Unlock()
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.ended = true
	stream.releaseChain()
}

// Streams returns the number of streams in progress.
func (m *Monitor) Streams() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.streams)
}

// Checks returns how many reports servers were asked for.
func (m *Monitor) Checks() int64 { return m.checks.Load() }

// Run monitors the streams until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			m.sweep(ctx, now)
			m.drainStreams(now)
			if m.StartLatency.ShouldBroadcast(now) {
				m.Log.Info("watch: requests wait for their first event", "waits", m.StartLatency.Waits(now))
				m.Broadcast()
			}
		}
	}
}

// sweep seeks replacements for attempts that reach the restart timeout, and probes the
// servers of silent streams.
func (m *Monitor) sweep(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	anyLate := false
	for stream := range m.streams {
		silence := stream.silence()
		switch {
		case stream.started.Load() && silence > restartTimeout(stream.job.Route) && stream.beginReplace(now):
			go stream.replace(replacement{cause: errSilent})
		case m.isCutOff(stream) && stream.beginReplace(now):
			go stream.replace(replacement{cause: errLinkCut})
		}
		anyLate = anyLate || silence > time.Duration(stream.meanGap.Load())
	}
	maps.DeleteFunc(m.lastAnswer, func(_ string, at time.Time) bool { return now.Sub(at) > healthyProbeInterval })
	for _, results := range []map[string]time.Time{m.answered, m.missed} {
		maps.DeleteFunc(results, func(_ string, at time.Time) bool { return now.Sub(at) > aliveFor })
	}
	if !anyLate {
		return
	}
	streams := make([]probe.Stream, 0, len(m.streams))
	for stream := range m.streams {
		streams = append(streams, probe.Stream{
			Servers: stream.addresses(), Silent: stream.silent(), Pause: stream.silence(), TypicalGap: time.Duration(stream.meanGap.Load()),
		})
	}
	for _, address := range m.probes.Next(streams, now) {
		if m.probing[address] && m.isSilent(address) {
			// A probe waits for its answer already. Each further connection would fill the
			// queue of the server's kernel.
			m.probes.Record(address, probe.NoAnswer)
			go m.evacuate(address, probe.Silent)
			continue
		}
		go m.probeSilent(ctx, address)
	}
}

// probeSilent probes a server of a silent stream. If the server does not answer, the
// streams that use it are rerouted or get other attempts.
func (m *Monitor) probeSilent(ctx context.Context, address string) {
	startedAt := m.Clock.Mark()
	m.mu.Lock()
	failing := m.probes.Failing(address)
	m.mu.Unlock()
	if failing {
		// Only a new connection shows whether the server accepts connections.
		m.DropConns(address)
	}
	report, err := m.fetchReport(ctx, address, m.probeTimeout())
	m.mu.Lock()
	outcome := m.probes.Record(address, probeResult(err))
	m.mu.Unlock()
	if err == nil {
		m.handleReport(address, report)
		return
	}
	if isAlive(err) {
		return
	}
	m.Log.Warn("watch: no report", "address", address, "finding", outcome.String(), "error", err, "delay", m.Clock.Delay(startedAt))
	if outcome.Failed() {
		m.suspect(address, "no report", err)
	}
	m.evacuate(address, outcome)
}

// isSilent reports whether a server is suspected, but accepts connections.
func (m *Monitor) isSilent(address string) bool {
	s := m.State.View().ByAddress(address)
	return s != nil && s.Silent
}

// probeTimeout returns how long an answer to a probe may take.
func (m *Monitor) probeTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.timeout.Current()
}

// fetchReport asks a server for its report.
func (m *Monitor) fetchReport(ctx context.Context, address string, timeout time.Duration) (call.Report, error) {
	ctx, cancel := m.Clock.WithIdleTimeout(ctx, timeout, nil)
	defer cancel()
	m.checks.Add(1)
	start := m.Clock.Mark()
	report, err := m.Engine.Report(ctx, address)
	elapsed := m.Clock.Since(start)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.answered == nil {
		m.answered, m.missed = map[string]time.Time{}, map[string]time.Time{}
	}
	if !isAlive(err) {
		m.missed[address] = time.Now()
		return report, err
	}
	m.answered[address] = time.Now()
	if timeout <= call.ReportTimeout {
		m.timeout.Record(elapsed, timeout <= m.timeout.Current())
	}
	return report, err
}

// handleReport handles the report of a server. It reroutes all streams around a
// server that has restarted; otherwise it records the slowdown of the server and
// reroutes the streams that the server reports as stalled.
func (m *Monitor) handleReport(address string, report call.Report) {
	now := time.Now()
	s := m.State.View().ByAddress(address)
	if s == nil {
		return
	}
	if m.restarted(address, report) {
		m.Log.Warn("watch: server restarted", "server", s.ID, "address", address)
		m.State.Suspect(s.ID, now.Add(entryPropagation), now)
		m.evacuate(address, probe.Exited)
		return
	}
	if m.State.RecordSlowness(s.ID, report.SlowdownFactor, now) {
		m.Broadcast()
	}
	m.rerouteStalled(address, report.Stalled)
}

// isCutOff reports whether a stream is silent on a direct connection to a first server that
// is not reached directly now: what the server sends there does not arrive.
func (m *Monitor) isCutOff(stream *activeStream) bool {
	return m.Direct != nil && stream.direct.Load() && stream.silent() && !stream.ending.Load() && !m.Direct(stream.firstAddress())
}

// evacuate reroutes streams around a server that does not answer or has restarted, and ends or
// replaces the attempts of which it is the first server. Streams that still get events
// stay on a server that is unreachable from here, because its peers may still reach
// it, and on a first server in any case, because a server that shuts down may close
// its port before its last stream ends. Attempts stay on a first server that has not exited
// until another one goes on, because it may be slow.
func (m *Monitor) evacuate(address string, outcome probe.State) {
	var affected, silent []*activeStream
	m.mu.Lock()
	for stream := range m.streams {
		if outcome != probe.Exited && !stream.overdue() || !stream.uses(address) {
			continue
		}
		if stream.firstAddress() != address {
			affected = append(affected, stream)
		} else if outcome.Failed() && stream.silent() && !stream.ending.Load() {
			silent = append(silent, stream)
		}
	}
	m.mu.Unlock()
	for _, stream := range silent {
		if outcome == probe.Exited {
			stream.ending.Store(true)
			stream.cancel(errExited)
		} else {
			go stream.replace(replacement{cause: errFirstServerDead})
		}
	}
	for _, stream := range affected {
		go m.rerouteStream(stream, address)
	}
}
