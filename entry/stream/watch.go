package stream

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fuchsiashelf.dev/entry/belief"
	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/hops"
	"fuchsiashelf.dev/parts/poison"
)

// The times of the watch over streams. Callers leave a stream that is silent
// for two seconds.
const (
	// sweepEvery is how often all streams are looked at.
	sweepEvery = 50 * time.Millisecond
	// silentEvent is the pause between events after which the first server is
	// asked why. Pauses are 10 to 50 ms, and 200 ms count as late.
	silentEvent = 300 * time.Millisecond
	// silentStart is the same before the first event, which takes 50 to 300 ms.
	silentStart = 500 * time.Millisecond
	// askEvery bounds the questions to one server, which are priced.
	askEvery = 200 * time.Millisecond
	// askTime bounds one question. An answer takes milliseconds.
	askTime = 300 * time.Millisecond
	// deafAfter is how many questions without an answer mean that a server is
	// dead.
	deafAfter = 2
	// hopeless is the silence after which a stream is begun anew even if its
	// first server claims to be well. Beginning anew takes some 300 ms.
	hopeless = 1300 * time.Millisecond
	// probeEvery and maxProbes bound how an accused server is asked again: for
	// longer than its entry outlives it.
	probeEvery = 500 * time.Millisecond
	maxProbes  = 30
	// vacateEvery is the time between two streams that are led round a leaving
	// server. Each has all its tokens read again by the servers of the new way,
	// some 3 ms of each one's time, which the streams there wait for. At 20 a
	// second from each of four entry hosts a tenth of all streams paused for
	// over 240 ms; 75 at once made pauses of over a second.
	vacateEvery = 200 * time.Millisecond
	// soundFor is how long an accused server that has answered is not asked
	// again: a full one is accused with each request that it refuses.
	soundFor = 500 * time.Millisecond
	// orderTime bounds an order to change a chain.
	orderTime = 400 * time.Millisecond
	// maxReroutes bounds the chains that one silence is answered with.
	maxReroutes = 3
)

// Causes of the end of an attempt from this side.
var (
	errDead   = errors.New("stream: the first server does not answer")
	errSilent = errors.New("stream: silent for too long")
	errNoWay  = errors.New("stream: no other way behind the first server")
)

// Watch looks after the streams under way. Set the exported fields before Run.
type Watch struct {
	Engine call.Engine
	State  *belief.State
	Ledger *hops.Ledger
	Home   domain.Name
	Log    *slog.Logger
	// Tally holds the requests under which servers died.
	Tally *poison.Tally
	// Spread tells the other entry hosts of a new suspicion.
	Spread func()

	mu    sync.Mutex
	lives map[*live]struct{}
	asked map[string]*inquiry
	// probed holds the addresses of accused servers that are being asked.
	probed map[string]bool
	// sound holds when an accused server last answered.
	sound map[string]time.Time
	// under holds the requests under which accused servers failed, by their
	// IDs, until it is known whether they died.
	under map[string]map[poison.Fingerprint]bool
	// vacated is when a stream was last led round a leaving server.
	vacated time.Time
}

// inquiry is what is known of a first server by asking it.
type inquiry struct {
	last  time.Time
	deaf  int
	under bool
}

// live is a stream under way.
type live struct {
	job    *call.Job
	cancel context.CancelCauseFunc
	last   atomic.Int64
	began  atomic.Bool

	mu      sync.Mutex
	chain   hops.Chain
	release func()
	busy    bool
	// vacated is the server that the stream was last led round.
	vacated string
}

func (l *live) touch() {
	l.last.Store(time.Now().UnixNano())
	l.began.Store(true)
}

func (l *live) silence(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - l.last.Load())
}

func (l *live) first() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chain[0].Server.Address
}

// move books another chain for the stream.
func (l *live) move(ledger *hops.Ledger, chain hops.Chain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release()
	l.chain = chain
	l.release = ledger.Reserve(chain, tokens(l.job))
}

func tokens(j *call.Job) int {
	return j.Prompt + j.Answer(j.Service.Engine)
}

func (w *Watch) add(j *call.Job, chain hops.Chain, cancel context.CancelCauseFunc) *live {
	l := &live{job: j, chain: chain, cancel: cancel, release: w.Ledger.Reserve(chain, tokens(j))}
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
		case now := <-tick.C:
			w.sweep(ctx, now)
			w.vacate(now)
		}
	}
}

// sweep asks the first servers of silent streams what they wait for.
func (w *Watch) sweep(ctx context.Context, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := map[string]bool{}
	for l := range w.lives {
		silence := l.silence(now)
		limit := silentEvent
		if !l.began.Load() {
			limit = silentStart
		}
		if silence < limit {
			continue
		}
		if l.began.Load() && silence > hopeless {
			l.cancel(errSilent)
			continue
		}
		due[l.first()] = true
	}
	for address := range due {
		w.ask(ctx, address, now)
	}
	maps.DeleteFunc(w.sound, func(_ string, at time.Time) bool { return now.Sub(at) > soundFor })
	for address, q := range w.asked {
		if !q.under && now.Sub(q.last) > time.Second {
			delete(w.asked, address)
		}
	}
}

// ask begins an inquiry, unless one is under way or was just made. The mutex
// is held.
func (w *Watch) ask(ctx context.Context, address string, now time.Time) {
	if w.asked == nil {
		w.asked = map[string]*inquiry{}
	}
	q := w.asked[address]
	if q == nil {
		q = &inquiry{}
		w.asked[address] = q
	}
	if q.under || now.Sub(q.last) < askEvery {
		return
	}
	q.last, q.under = now, true
	go w.inquire(ctx, address, q)
}

func (w *Watch) inquire(ctx context.Context, address string, q *inquiry) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	report, err := w.Engine.Report(ctx, address)
	cancel()
	w.mu.Lock()
	q.under = false
	if err != nil {
		q.deaf++
	} else {
		q.deaf = 0
	}
	deaf := q.deaf
	w.mu.Unlock()
	if err != nil {
		w.Log.Warn("watch: no report", "server", address, "times", deaf, "error", err)
		if deaf >= deafAfter {
			w.Accuse(address, err.Error())
			w.end(address, errDead)
		}
		return
	}
	w.reroute(address, report.Stalled)
}

// end ends all silent streams of a dead first server, so that they begin anew.
func (w *Watch) end(address string, cause error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for l := range w.lives {
		if l.first() == address && l.silence(now) > silentEvent {
			l.cancel(cause)
		}
	}
}

// reroute gives each stalled stream of a first server another way.
func (w *Watch) reroute(address string, stalled []call.Stalled) {
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
		go w.repair(l, failed, false)
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

// repair changes the chain of one stream. It runs once at a time for each. If
// the stream still runs, it may stay as it is.
func (w *Watch) repair(l *live, failed string, runs bool) {
	l.mu.Lock()
	chain := l.chain
	if l.busy || !chain.Has(failed) {
		// An older report: the stream has another way already.
		l.mu.Unlock()
		return
	}
	l.busy = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.busy = false
		l.mu.Unlock()
	}()
	avoid := map[string]bool{failed: true}
	for range maxReroutes {
		next := w.detour(l, chain, avoid)
		if next == nil {
			break
		}
		if w.order(l, next, avoid) {
			return
		}
	}
	w.Log.Info("watch: no other way", "request", l.job.ID, "failed", failed, "runs", runs)
	if !runs {
		l.cancel(errNoWay)
	}
}

// detour finds another chain behind the same first part.
func (w *Watch) detour(l *live, chain hops.Chain, avoid map[string]bool) hops.Chain {
	if avoid[chain[0].Server.Address] {
		return nil
	}
	kept := map[string]bool{}
	for _, p := range chain[1:] {
		kept[p.Server.Address] = true
	}
	q := hops.Query{
		Engine: l.job.Service.Engine, Servers: w.State.View().Service(l.job.Service.Name), Home: w.Home,
		Prompt: l.job.Prompt, Answer: l.job.Answer(l.job.Service.Engine), Used: w.Ledger.Used,
		Avoid: avoid, Start: &chain[0], Kept: kept, Cut: w.State.Cut,
	}
	return q.Pick()
}

// order tells the first server of the new chain. It reports whether the stream
// goes on that way.
func (w *Watch) order(l *live, next hops.Chain, avoid map[string]bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	taken, at, err := w.Engine.Reroute(ctx, l.job.ID, next)
	w.Log.Info("watch: rerouted", "request", l.job.ID, "chain", next.String(), "taken", taken.String(), "at", at, "error", err)
	switch taken {
	case call.TakenBegun:
		l.move(w.Ledger, next)
		l.last.Store(time.Now().UnixNano())
		return true
	case call.TakenConflict:
		if at != "" {
			avoid[at] = true
			return false
		}
	case call.TakenUnknown, call.TakenAbsent, call.TakenRefused:
	}
	return false
}

// Accuse asks a server that seems to have failed for its report. One that
// answers is sound. One that does not is suspected, and asked again until it
// answers or its entry is gone.
func (w *Watch) Accuse(address, why string) {
	w.accuse(address, why, link{})
}

// AccuseUnder does so for a server that failed while it ran a request. If it
// died, that is noted against the request.
func (w *Watch) AccuseUnder(j *call.Job, address, why string) {
	s := w.State.View().At(address)
	if s == nil {
		return
	}
	w.mu.Lock()
	if w.under == nil {
		w.under = map[string]map[poison.Fingerprint]bool{}
	}
	if w.under[s.ID] == nil {
		w.under[s.ID] = map[poison.Fingerprint]bool{}
	}
	w.under[s.ID][j.Print] = true
	w.mu.Unlock()
	w.accuse(address, why, link{})
}

// settle ends the case of an accused server. If it died, that is noted against
// all requests that it failed under.
func (w *Watch) settle(id string, died bool, now time.Time) {
	w.mu.Lock()
	prints := w.under[id]
	delete(w.under, id)
	w.mu.Unlock()
	if !died {
		return
	}
	for print := range prints {
		w.Tally.Died(print, id, now)
	}
}

// accuse does so for a server that another one waits for. If it answers here,
// and the two are in different failure domains, these are cut off from each
// other. Without the question a plain crash would look the same, and no chain
// could cross to where its layers are held.
func (w *Watch) accuse(address, why string, by link) {
	s := w.State.View().At(address)
	if s == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.probed == nil {
		w.probed = map[string]bool{}
		w.sound = map[string]time.Time{}
	}
	if w.probed[address] || time.Since(w.sound[address]) < soundFor {
		return
	}
	w.probed[address] = true
	go w.probe(s.ID, address, why, by)
}

func (w *Watch) probe(id, address, why string, by link) {
	defer func() {
		w.mu.Lock()
		delete(w.probed, address)
		w.mu.Unlock()
	}()
	for n := range maxProbes {
		ctx, cancel := context.WithTimeout(context.Background(), askTime)
		_, err := w.Engine.Report(ctx, address)
		cancel()
		now := time.Now()
		if err == nil {
			if n == 0 && by.from != by.to {
				w.State.CutOff(by.from, by.to, now)
			}
			w.State.Clear(id, now)
			w.settle(id, false, now)
			w.mu.Lock()
			w.sound[address] = now
			w.mu.Unlock()
			return
		}
		// Only a process that is gone refuses connections at once. One behind a
		// cut link does not answer either, and no request is to blame.
		w.settle(id, errors.Is(err, syscall.ECONNREFUSED), now)
		if s := w.State.View().At(address); s == nil || s.ID != id {
			return
		}
		if w.State.Suspect(id, now.Add(belief.SuspectFor), now) {
			w.Log.Warn("servers: suspected", "server", id, "address", address, "why", why, "error", err)
			w.Spread()
		}
		time.Sleep(probeEvery)
	}
}

// vacate gives streams another way behind their first server whose chain goes
// through a server that is leaving or gives up the layers, before it cuts them
// off, and so that what it has to do instead need not wait for them.
func (w *Watch) vacate(now time.Time) {
	view := w.State.View()
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.vacated) < vacateEvery {
		return
	}
	for l := range w.lives {
		l.mu.Lock()
		at := leaving(view, l.chain)
		due := at != "" && !l.busy && l.vacated != at
		if due {
			l.vacated = at
		}
		l.mu.Unlock()
		if due && l.began.Load() {
			w.vacated = now
			go w.repair(l, at, true)
			return
		}
	}
}

// leaving returns the address of a server of a chain, not the first, that does
// not hold its part any more or is about to end.
func leaving(view *fleet.View, chain hops.Chain) string {
	for _, p := range chain[1:] {
		s := view.At(p.Server.Address)
		if s == nil || s.ID != p.Server.ID {
			continue
		}
		if s.Leaving || s.First > p.First || s.End < p.End {
			return s.Address
		}
	}
	return ""
}
