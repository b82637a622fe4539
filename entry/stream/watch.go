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
	// sweepEvery is how often all streams are looked at.
	sweepEvery = 15 * time.Millisecond
	// schedulerLag is the interval between two sweeps above which silence is
	// attributed to this entry host, not to servers.
	schedulerLag = 40 * time.Millisecond
	// silentPauses is the idle time of a stream, in its mean intervals, after which
	// its servers are checked, if that is longer than the fraction of the longest pause
	// on time. Where all streams are slow, the checks are left for servers that died.
	silentPauses = 2
	// propagation is how long a restarted server is avoided: by then its entry shows
	// that it holds no layers.
	propagation = 1500 * time.Millisecond
	// probeEvery and maxProbes bound the checks of a suspected server: for longer than
	// its entry outlives it.
	probeEvery = 500 * time.Millisecond
	maxProbes  = 30
	// probeAway is the interval of checks of a suspected server of another failure
	// domain: just before the suspicion expires.
	probeAway = state.SuspectFor - 200*time.Millisecond
	// recheckAfter is when a server that did not answer the first, short checks gets a
	// long one: on a lossy link all of them may have been lost.
	recheckAfter = 100 * time.Millisecond
	// drainEvery is the interval between two streams that are rerouted around a
	// leaving server. Each has all its tokens read again on the new chain, which delays
	// the streams there.
	drainEvery = 200 * time.Millisecond
	// moveEvery is the same for a server that is about to load layers that no other
	// server of its failure domain holds.
	moveEvery = 50 * time.Millisecond
	// recheckInterval limits status checks of a server that answered the last one: a
	// full one is accused with each request that it refuses.
	recheckInterval = 500 * time.Millisecond
	// repairEvery is the interval between two searches for another chain for a stream.
	// Each may cost an order for every server that turns out to be full.
	repairEvery = 150 * time.Millisecond
	// maxReroutes bounds the chains that are tried in one search.
	maxReroutes = 3
)

// Causes of the end of an attempt from this side.
var (
	errDead   = errors.New("stream: the first server does not answer")
	errSilent = errors.New("stream: silent for too long")
	errNoWay  = errors.New("stream: no other way behind the first server")
	errLag    = errors.New("stream: this entry host lagged")
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

	mu    sync.Mutex
	lives map[*live]struct{}
	// book decides which servers of silent streams are asked, and wait how long.
	book probe.Scheduler
	wait probe.Timeout
	// pipe counts the answers that are led across failure domains.
	pipe router.LinkBudget
	// probed holds the addresses of accused servers that are being asked.
	probed map[string]bool
	// healthy holds when an accused server last answered.
	healthy map[string]time.Time
	// under holds the requests under which accused servers failed, by their
	// IDs, until it is known whether they died.
	under map[string]map[poison.Fingerprint]bool
	// drained is when a stream was last rerouted around a leaving server.
	drained time.Time
	// swept is the time of the last sweep, and lagged when a sweep was last late.
	swept, lagged time.Time
}

func (w *Monitor) add(j *call.Job, chain router.Chain, cancel context.CancelCauseFunc, restart func() bool) *live {
	l := &live{job: j, chain: chain, cancel: cancel, restart: restart, release: w.Ledger.Reserve(chain, tokens(j))}
	l.last.Store(time.Now().UnixNano())
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lives == nil {
		w.lives = map[*live]struct{}{}
	}
	w.lives[l] = struct{}{}
	return l
}

func (w *Monitor) remove(l *live) {
	w.mu.Lock()
	delete(w.lives, l)
	w.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.release()
}

// Streams returns the number of streams under way.
func (w *Monitor) Streams() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.lives)
}

// Run looks after the streams until the context ends.
func (w *Monitor) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := time.Now()
			w.sweep(ctx, now)
			w.drain(now)
			if w.Starts.ShouldBroadcast(now) {
				w.Log.Info("watch: requests wait for their first event", "waits", w.Starts.Waits(now))
				w.Broadcast()
			}
		}
	}
}

// sweep asks the servers of silent streams whether they live.
func (w *Monitor) sweep(ctx context.Context, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := !w.swept.IsZero() && now.Sub(w.swept) > schedulerLag
	if late {
		w.lagged = now
	}
	w.swept = now
	silent := false
	for l := range w.lives {
		pause := l.silence(now)
		if l.began.Load() && pause > restartWait(l.job.Route) {
			l.cancel(errSilent)
		}
		silent = silent || pause > time.Duration(l.usual.Load())
	}
	maps.DeleteFunc(w.healthy, func(_ string, at time.Time) bool { return now.Sub(at) > recheckInterval })
	if !silent || late {
		return
	}
	streams := make([]probe.Stream, 0, len(w.lives))
	for l := range w.lives {
		streams = append(streams, probe.Stream{
			Servers: l.servers(), Silent: l.silent(now), Pause: l.silence(now), TypicalGap: time.Duration(l.usual.Load()),
		})
	}
	for _, address := range w.book.Next(streams, now) {
		go w.inquire(ctx, address)
	}
}

// inquire asks a server for its report. One that does not answer is left by
// the streams that pass through it.
func (w *Monitor) inquire(ctx context.Context, address string) {
	report, err := w.ask(ctx, address, w.bound())
	if errors.Is(err, errLag) {
		w.mu.Lock()
		w.book.Discard(address)
		w.mu.Unlock()
		return
	}
	w.mu.Lock()
	finding := w.book.Record(address, err == nil, found(err) == probe.Gone)
	w.mu.Unlock()
	if err == nil {
		w.take(address, report)
		return
	}
	w.Log.Warn("watch: no report", "address", address, "finding", finding.String(), "error", err)
	w.DropConns(address)
	if finding.Dead() {
		w.suspect(address, "no report", err)
	}
	w.leave(address, finding)
}

// bound returns how long a server is waited for.
func (w *Monitor) bound() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wait.Current()
}

// ask asks a server for its report. The error is errLag if this entry host lagged
// meanwhile, so that nothing follows from the silence.
func (w *Monitor) ask(ctx context.Context, address string, wait time.Duration) (call.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	start := time.Now()
	report, err := w.Engine.Report(ctx, address)
	took := time.Since(start)
	w.mu.Lock()
	defer w.mu.Unlock()
	if lives(err) {
		w.wait.Record(took, wait <= w.wait.Current())
		return report, err
	}
	late := probe.Stalled(wait, took) || w.lagged.After(start) || !w.swept.IsZero() && time.Since(w.swept) > schedulerLag
	if late && found(err) != probe.Gone {
		return report, errLag
	}
	return report, err
}

// take takes over what a server reports of itself.
func (w *Monitor) take(address string, r call.Report) {
	now := time.Now()
	s := w.State.View().ByAddress(address)
	if s == nil {
		return
	}
	if s.StartedAt.Unix() > 0 && r.StartedAt.After(s.StartedAt) {
		w.Log.Warn("watch: server restarted", "server", s.ID, "address", address)
		w.State.Suspect(s.ID, now.Add(propagation), now)
		w.leave(address, probe.Gone)
		return
	}
	if w.State.RecordSlowness(s.ID, r.Slowness, now) {
		w.Broadcast()
	}
	w.reroute(address, r.Stalled)
}

// leave reroutes streams around a server that does not answer, and restarts those
// of which it is the first. A server that is only unreachable from here may still
// serve its peers, and one that ends may close its port before it has served its
// last stream, so streams that still have events stay.
func (w *Monitor) leave(address string, f probe.State) {
	now := time.Now()
	var list []*live
	w.mu.Lock()
	for l := range w.lives {
		if f != probe.Gone && !l.overdue(now) || !l.through(address) {
			continue
		}
		if l.first() != address {
			list = append(list, l)
		} else if f.Dead() && l.silent(now) {
			l.cancel(errDead)
		}
	}
	w.mu.Unlock()
	for _, l := range list {
		go w.repair(l, address)
	}
}
