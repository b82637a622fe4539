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
