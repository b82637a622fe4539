package stream

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/router"
)

// Timeouts and intervals, beside those that follow from routes.
const (
	// sweepInterval is how often all streams are looked at.
	sweepInterval = 15 * time.Millisecond
	// maxSweepGap is the interval between two sweeps above which silence is
	// attributed to this entry host, not to servers.
	maxSweepGap = 40 * time.Millisecond
	// silentIntervals is the idle time of a stream, in its mean intervals, after which
	// its servers are checked, if that is longer than the fraction of the longest pause
	// on time. Where all streams are slow, the checks are left for servers that died.
	silentIntervals = 2
	// entryPropagation is how long a restarted server is avoided: by then its entry shows
	// that it holds no layers.
	entryPropagation = 1500 * time.Millisecond
	// suspectProbeInterval and maxProbes bound the checks of a suspected server: for longer than
	// its entry outlives it.
	suspectProbeInterval = 500 * time.Millisecond
	maxSuspectProbes     = 30
	// remoteProbeInterval is the interval of checks of a suspected server of another failure
	// domain: just before the suspicion expires.
	remoteProbeInterval = state.SuspectFor - 200*time.Millisecond
	// reprobeDelay is when a server that did not answer the first, short checks gets a
	// long one: on a lossy link all of them may have been lost.
	reprobeDelay = 100 * time.Millisecond
	// drainInterval is the interval between two streams that are rerouted around a
	// leaving server. Each has all its tokens read again on the new chain, which delays
	// the streams there.
	drainInterval = 200 * time.Millisecond
	// moveInterval is the same for a server that is about to load layers that no other
	// server of its failure domain holds.
	moveInterval = 50 * time.Millisecond
	// healthyProbeInterval limits status checks of a server that answered the last one: a
	// full one is accused with each request that it refuses.
	healthyProbeInterval = 500 * time.Millisecond
	// rerouteInterval is the interval between two searches for another chain for a stream.
	// Each may cost an order for every server that turns out to be full.
	rerouteInterval = 150 * time.Millisecond
	// maxReroutes bounds the chains that are tried in one search.
	maxReroutes = 3
)

// Causes of the end of an attempt from this side.
var (
	errFirstServerDead = errors.New("stream: the first server does not answer")
	errSilent          = errors.New("stream: silent for too long")
	errNoChain         = errors.New("stream: no other way behind the first server")
	errHostDelayed     = errors.New("stream: this entry host lagged")
)

// Monitor looks after the streams under way. Set the exported fields before Run.
type Monitor struct {
	Engine call.EngineClient
	State  *state.Local
	Ledger *router.LoadTracker
	// Starts holds how long requests wait for their first event at a server.
	Starts      *router.StartLatency
	LocalDomain domain.Name
	Log         *slog.Logger
	// Crashes holds the requests under which servers died.
	Crashes *poison.Counter
	// Broadcast sends a new suspicion or a long wait to other entry hosts.
	Broadcast func()

	// EntryHosts returns how many entry hosts there are, this one among them.
	EntryHosts func() int
	// DropConns drops the kept connections to an address: those that fell silent
	// without a reset would make a server that lives look dead.
	DropConns func(address string)

	mu      sync.Mutex
	streams map[*activeStream]struct{}
	// probes decides which servers of silent streams are asked, and wait how long.
	probes  probe.Scheduler
	timeout probe.Timeout
	// linkBudget counts the answers that are led across failure domains.
	linkBudget router.LinkBudget
	// probing holds the addresses of accused servers that are being asked.
	probing map[string]bool
	// lastAnswer holds when an accused server last answered.
	lastAnswer map[string]time.Time
	// failedRequests holds the requests failedRequests which accused servers failed, by their
	// IDs, until it is known whether they died.
	failedRequests map[string]map[poison.Fingerprint]bool
	// lastDrain is when a stream was last rerouted around a leaving server.
	lastDrain time.Time
	// lastSweep is the time of the last sweep, and lastDelay when a sweep was last late.
	lastSweep, lastDelay time.Time
}

func (m *Monitor) add(job *call.Job, chain router.Chain, cancel context.CancelCauseFunc, reserveRestart func() bool) *activeStream {
	stream := &activeStream{job: job, chain: chain, cancel: cancel, reserveRestart: reserveRestart, releaseChain: m.Ledger.Reserve(chain, totalTokens(job))}
	stream.lastActivity.Store(time.Now().UnixNano())
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

// Streams returns the number of streams under way.
func (m *Monitor) Streams() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.streams)
}

// Run looks after the streams until the context ends.
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
			if m.Starts.ShouldBroadcast(now) {
				m.Log.Info("watch: requests wait for their first event", "waits", m.Starts.Waits(now))
				m.Broadcast()
			}
		}
	}
}

// sweep asks the servers of silent streams whether they live.
func (m *Monitor) sweep(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delayed := !m.lastSweep.IsZero() && now.Sub(m.lastSweep) > maxSweepGap
	if delayed {
		m.lastDelay = now
	}
	m.lastSweep = now
	silent := false
	for stream := range m.streams {
		silence := stream.silence(now)
		if stream.started.Load() && silence > restartTimeout(stream.job.Route) {
			stream.cancel(errSilent)
		}
		silent = silent || silence > time.Duration(stream.meanInterval.Load())
	}
	maps.DeleteFunc(m.lastAnswer, func(_ string, at time.Time) bool { return now.Sub(at) > healthyProbeInterval })
	if !silent || delayed {
		return
	}
	streams := make([]probe.Stream, 0, len(m.streams))
	for stream := range m.streams {
		streams = append(streams, probe.Stream{
			Servers: stream.addresses(), Silent: stream.silent(now), Pause: stream.silence(now), TypicalGap: time.Duration(stream.meanInterval.Load()),
		})
	}
	for _, address := range m.probes.Next(streams, now) {
		go m.probeSilent(ctx, address)
	}
}

// probeSilent asks a server for its report. One that does not answer is left by
// the streams that pass through it.
func (m *Monitor) probeSilent(ctx context.Context, address string) {
	report, err := m.fetchReport(ctx, address, m.probeTimeout())
	if errors.Is(err, errHostDelayed) {
		m.mu.Lock()
		m.probes.Discard(address)
		m.mu.Unlock()
		return
	}
	m.mu.Lock()
	outcome := m.probes.Record(address, err == nil, probeOutcome(err) == probe.Gone)
	m.mu.Unlock()
	if err == nil {
		m.handleReport(address, report)
		return
	}
	m.Log.Warn("watch: no report", "address", address, "finding", outcome.String(), "error", err)
	m.DropConns(address)
	if outcome.Dead() {
		m.suspect(address, "no report", err)
	}
	m.evacuate(address, outcome)
}

// probeTimeout returns how long a server is waited for.
func (m *Monitor) probeTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.timeout.Current()
}

// fetchReport asks a server for its report. The error is errLag if this entry host lagged
// meanwhile, so that nothing follows from the silence.
func (m *Monitor) fetchReport(ctx context.Context, address string, timeout time.Duration) (call.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	report, err := m.Engine.Report(ctx, address)
	elapsed := time.Since(start)
	m.mu.Lock()
	defer m.mu.Unlock()
	if isAlive(err) {
		m.timeout.Record(elapsed, timeout <= m.timeout.Current())
		return report, err
	}
	delayed := probe.Stalled(timeout, elapsed) || m.lastDelay.After(start) || !m.lastSweep.IsZero() && time.Since(m.lastSweep) > maxSweepGap
	if delayed && probeOutcome(err) != probe.Gone {
		return report, errHostDelayed
	}
	return report, err
}

// handleReport takes over what a server reports of itself.
func (m *Monitor) handleReport(address string, report call.Report) {
	now := time.Now()
	s := m.State.View().ByAddress(address)
	if s == nil {
		return
	}
	if s.StartedAt.Unix() > 0 && report.StartedAt.After(s.StartedAt) {
		m.Log.Warn("watch: server restarted", "server", s.ID, "address", address)
		m.State.Suspect(s.ID, now.Add(entryPropagation), now)
		m.evacuate(address, probe.Gone)
		return
	}
	if m.State.RecordSlowness(s.ID, report.Slowness, now) {
		m.Broadcast()
	}
	m.rerouteStalled(address, report.Stalled)
}

// evacuate reroutes streams around a server that does not answer, and restarts those
// of which it is the first. A server that is only unreachable from here may still
// serve its peers, and one that ends may close its port before it has served its
// last stream, so streams that still have events stay.
func (m *Monitor) evacuate(address string, outcome probe.State) {
	now := time.Now()
	var affected []*activeStream
	m.mu.Lock()
	for stream := range m.streams {
		if outcome != probe.Gone && !stream.overdue(now) || !stream.uses(address) {
			continue
		}
		if stream.firstAddress() != address {
			affected = append(affected, stream)
		} else if outcome.Dead() && stream.silent(now) {
			stream.cancel(errFirstServerDead)
		}
	}
	m.mu.Unlock()
	for _, stream := range affected {
		go m.rerouteStream(stream, address)
	}
}
