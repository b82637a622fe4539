package stream

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"fuchsiashelf.dev/entry/belief"
	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/hops"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/probe"
)

// Timeouts and intervals, beside those that follow from routes.
const (
	// sweepEvery is how often all streams are looked at.
	sweepEvery = 15 * time.Millisecond
	// heldUp is the time between two looks from which on this entry host itself
	// was held up: events wait unread, and every stream seems silent.
	heldUp = 40 * time.Millisecond
	// silentPauses is the silence of a stream in its usual pauses that makes its
	// servers be asked whether they live, if that is longer than the share of
	// the longest pause on time. Where streams are slow, questions about each that
	// is merely slower for once would leave none for the server that died.
	silentPauses = 2
	// shownIn is how long a server that started anew is avoided: by then its entry
	// shows that it holds nothing. It answers as if nothing had been, while its
	// streams wait for one that is no more.
	shownIn = 1500 * time.Millisecond
	// probeEvery and maxProbes bound how an accused server is asked again: for
	// longer than its entry outlives it.
	probeEvery = 500 * time.Millisecond
	maxProbes  = 30
	// probeAway is how often a suspected server of another failure domain is asked
	// again: just before the suspicion ends.
	probeAway = belief.SuspectFor - 200*time.Millisecond
	// recheckAfter is when a server that left the first, short questions unanswered
	// is asked again, by a long one: on a link that loses packets all may have been
	// lost.
	recheckAfter = 100 * time.Millisecond
	// vacateEvery is the time between two streams that are led round a leaving
	// server. Each has all its tokens read again by the servers of the new way,
	// for which the streams there wait.
	vacateEvery = 200 * time.Millisecond
	// moveEvery is the same for a server that is about to load layers that nobody
	// in its failure domain holds: until then all requests of the domain go
	// elsewhere or are refused.
	moveEvery = 50 * time.Millisecond
	// soundFor is how long an accused server that has answered is not asked
	// again: a full one is accused with each request that it refuses.
	soundFor = 500 * time.Millisecond
	// repairEvery is the time between two searches for another way for a stream.
	// Each may cost an order for every server that turns out to be full.
	repairEvery = 150 * time.Millisecond
	// maxReroutes bounds the chains that one silence is answered with.
	maxReroutes = 3
)

// Causes of the end of an attempt from this side.
var (
	errDead   = errors.New("stream: the first server does not answer")
	errSilent = errors.New("stream: silent for too long")
	errNoWay  = errors.New("stream: no other way behind the first server")
	errHeld   = errors.New("stream: this entry host was held up")
)

// Watch looks after the streams under way. Set the exported fields before Run.
type Watch struct {
	Engine call.Engine
	State  *belief.State
	Ledger *hops.Ledger
	// Starts holds how long requests wait for their first event at a server.
	Starts *hops.Starts
	Home   domain.Name
	Log    *slog.Logger
	// Tally holds the requests under which servers died.
	Tally *poison.Tally
	// Spread sends a new suspicion or a long wait to other entry hosts.
	Spread func()

	// Hosts returns how many entry hosts there are, this one among them.
	Hosts func() int
	// Forget drops the kept connections to an address: those that fell silent
	// without a reset would make a server that lives look dead.
	Forget func(address string)

	mu    sync.Mutex
	lives map[*live]struct{}
	// book decides which servers of silent streams are asked, and wait how long.
	book probe.Book
	wait probe.Wait
	// pipe counts the answers that are led across failure domains.
	pipe hops.Pipe
	// probed holds the addresses of accused servers that are being asked.
	probed map[string]bool
	// sound holds when an accused server last answered.
	sound map[string]time.Time
	// under holds the requests under which accused servers failed, by their
	// IDs, until it is known whether they died.
	under map[string]map[poison.Fingerprint]bool
	// vacated is when a stream was last led round a leaving server.
	vacated time.Time
	// swept is when the streams were last looked at, and held when that was last
	// late.
	swept, held time.Time
}

func (w *Watch) add(j *call.Job, chain hops.Chain, cancel context.CancelCauseFunc, restart func() bool) *live {
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

func (w *Watch) remove(l *live) {
	w.mu.Lock()
	delete(w.lives, l)
	w.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.release()
}

// Streams returns the number of streams under way.
func (w *Watch) Streams() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.lives)
}

// Run looks after the streams until the context ends.
func (w *Watch) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := time.Now()
			w.sweep(ctx, now)
			w.vacate(now)
			if w.Starts.Announce(now) {
				w.Log.Info("watch: requests wait for their first event", "waits", w.Starts.Waits(now))
				w.Spread()
			}
		}
	}
}

// sweep asks the servers of silent streams whether they live.
func (w *Watch) sweep(ctx context.Context, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := !w.swept.IsZero() && now.Sub(w.swept) > heldUp
	if late {
		w.held = now
	}
	w.swept = now
	silent := false
	for l := range w.lives {
		pause := l.silence(now)
		if l.began.Load() && pause > hopeless(l.job.Route) {
			l.cancel(errSilent)
		}
		silent = silent || pause > time.Duration(l.usual.Load())
	}
	maps.DeleteFunc(w.sound, func(_ string, at time.Time) bool { return now.Sub(at) > soundFor })
	if !silent || late {
		return
	}
	streams := make([]probe.Stream, 0, len(w.lives))
	for l := range w.lives {
		streams = append(streams, probe.Stream{
			Servers: l.servers(), Silent: l.silent(now), Pause: l.silence(now), Usual: time.Duration(l.usual.Load()),
		})
	}
	for _, address := range w.book.Ask(streams, now) {
		go w.inquire(ctx, address)
	}
}

// inquire asks a server for its report. One that does not answer is left by
// the streams that pass through it.
func (w *Watch) inquire(ctx context.Context, address string) {
	report, err := w.ask(ctx, address, w.bound())
	if errors.Is(err, errHeld) {
		w.mu.Lock()
		w.book.Void(address)
		w.mu.Unlock()
		return
	}
	w.mu.Lock()
	finding := w.book.Answer(address, err == nil, found(err) == probe.Gone)
	w.mu.Unlock()
	if err == nil {
		w.take(address, report)
		return
	}
	w.Log.Warn("watch: no report", "address", address, "finding", finding.String(), "error", err)
	w.Forget(address)
	if finding.Dead() {
		w.suspect(address, "no report", err)
	}
	w.leave(address, finding)
}

// bound returns how long a server is waited for.
func (w *Watch) bound() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wait.Bound()
}

// ask asks a server for its report. The error is errHeld if this entry host was
// held up meanwhile and nothing follows from the silence.
func (w *Watch) ask(ctx context.Context, address string, wait time.Duration) (call.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	start := time.Now()
	report, err := w.Engine.Report(ctx, address)
	took := time.Since(start)
	w.mu.Lock()
	defer w.mu.Unlock()
	if lives(err) {
		w.wait.Answered(took, wait <= w.wait.Bound())
		return report, err
	}
	late := probe.Held(wait, took) || w.held.After(start) || !w.swept.IsZero() && time.Since(w.swept) > heldUp
	if late && found(err) != probe.Gone {
		return report, errHeld
	}
	return report, err
}

// take takes over what a server reports of itself.
func (w *Watch) take(address string, r call.Report) {
	now := time.Now()
	s := w.State.View().At(address)
	if s == nil {
		return
	}
	if s.Born.Unix() > 0 && r.Born.After(s.Born) {
		w.Log.Warn("watch: started anew", "server", s.ID, "address", address)
		w.State.Suspect(s.ID, now.Add(shownIn), now)
		w.leave(address, probe.Gone)
		return
	}
	w.State.Paced(s.ID, r.Slowness, now)
	w.reroute(address, r.Stalled)
}

// leave leads streams round a server that does not answer, and begins those
// anew of which it is the first. A server that is only out of reach may still
// serve its peers, and one that ends may close its port before it has served the
// last stream, so streams that come through the one or from the other stay.
func (w *Watch) leave(address string, f probe.Finding) {
	now := time.Now()
	var list []*live
	w.mu.Lock()
	for l := range w.lives {
		if f != probe.Gone && !l.unheard(now) || !l.through(address) {
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
