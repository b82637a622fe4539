// Package watch keeps the configuration, the teams and the host list of the
// snapshot up to date.
//
// They come from the platform's object API through two long-polling watches, one
// for the objects and one for the host list. Other entry hosts also pass on their
// configuration, so that an entry host cut off from the platform still gets
// changes. A configuration from either source comes into force only if its
// revision is higher than that of the current one, so that an older copy that
// arrives late does not revert an accepted change. The exception is the start,
// before an entry host has synced with its peers.
package watch

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wait"
	"fuchsiashelf.dev/parts/wire"
)

// Peers are the other entry hosts.
type Peers interface {
	// Others returns the known peers.
	Others() []host.Host
	// Client returns a client of a peer.
	Client(ctx context.Context, h host.Host) (wire.DRPCEntryClient, error)
}

// Watcher watches the platform's object API. Create one with New, set the exported
// fields, then call Run.
type Watcher struct {
	Store store.API
	View  *view.Publisher
	Trace *trace.Recorder
	Log   *slog.Logger
	// Peers are queried for their configuration, teams and hosts before this entry
	// host is ready.
	Peers Peers
	// Secret is the secret shared by the entry hosts.
	Secret string
	// Seeds are the addresses of other entry hosts, used when this one starts
	// while the object API is down.
	Seeds []string
	// Done is closed when Run returns; it may be nil.
	Done chan struct{}

	startedAt time.Time
	// objects and hosts are the states of the two watches.
	objects, hosts watchState

	// objectsReceived says that the object API has answered the watch of objects.
	objectsReceived atomic.Bool
	// synced says that a peer has answered, or that only the object API has.
	synced     atomic.Bool
	storeStale chan struct{}
}

// New returns a Watcher whose exported fields are not set.
func New() *Watcher {
	return &Watcher{startedAt: time.Now(), storeStale: make(chan struct{}, 1)}
}

// retryWait is the mean wait after a failed call.
const retryWait = 200 * time.Millisecond

// Run watches until the context is cancelled.
func (w *Watcher) Run(ctx context.Context) {
	if w.Done != nil {
		defer close(w.Done)
	}
	w.registerGauges()
	tasks := []func(context.Context){w.watchObjects, w.watchHosts, w.watchStops, w.syncPeers}
	done := make(chan struct{}, len(tasks))
	for _, task := range tasks {
		go func() { task(ctx); done <- struct{}{} }()
	}
	for range tasks {
		<-done
	}
}

func (w *Watcher) registerGauges() {
	_ = metrics.Register("watch.revision", metrics.NewFunctionalGauge(func() int64 {
		if c := w.View.Load().Config; c != nil {
			return int64(c.Revision)
		}
		return 0
	}))
	_ = metrics.Register("watch.age_ms", metrics.NewFunctionalGauge(func() int64 {
		return w.Staleness().Milliseconds()
	}))
}

// Staleness returns the time since the object API last answered the watch of the
// configuration, or zero if it answered the last call. An entry host that is cut
// off keeps serving with the configuration that it has.
func (w *Watcher) Staleness() time.Duration {
	answeredAt := w.objects.answeredAt.Load()
	if answeredAt == 0 {
		return time.Since(w.startedAt)
	}
	if !w.objects.failing.Load() {
		return 0
	}
	return time.Since(time.Unix(0, answeredAt))
}

// EverConnected reports whether the object API has ever answered the watch of the
// configuration.
func (w *Watcher) EverConnected() bool {
	return w.objects.answeredAt.Load() != 0
}

// Apply puts a configuration in force if it has a higher revision than the current
// one and contains all its lines. It reports whether the configuration was
// applied.
func (w *Watcher) Apply(c *conf.Config) bool {
	return w.applyIf(c, c.Supersedes)
}

// applyFromPeer applies a configuration that is in force on another entry host.
// Before the sync it may replace one with a higher revision, which came from a
// restored object API.
func (w *Watcher) applyFromPeer(c *conf.Config) bool {
	if w.synced.Load() {
		return w.Apply(c)
	}
	return w.applyIf(c, c.SupersedesAtStart)
}

// applyIf puts a configuration in force if it supersedes the current one. It
// reports whether the configuration was applied.
func (w *Watcher) applyIf(c *conf.Config, supersedes func(*conf.Config) bool) bool {
	applied, diverged := false, false
	w.View.Update(func(s *view.Snapshot) {
		// An older copy comes from a restored object API, a watch that lags, or a
		// peer that was cut off. Applying it would revert lines already confirmed
		// to operators.
		if !supersedes(s.Config) {
			diverged = s.Config != nil && s.Config.Revision < c.Revision
			return
		}
		applied = true
		s.Config = c
		updateCordons(s, time.Now())
	})
	if diverged {
		// This happens only after a restore of the object API: new lines were
		// accepted on top of an older copy that lacks lines in force here.
		metrics.GetOrRegisterCounter("watch.diverged", nil).Inc(1)
		w.Log.Error("watch: configuration not applied: lines in force are missing", "revision", c.Revision)
		w.Trace.Record("watch", "", fmt.Sprintf("revision %d lacks lines in force, not taken", c.Revision))
		w.MarkStoreStale()
	}
	if applied {
		w.Trace.Record("watch", "", fmt.Sprintf("configuration in force: revision %d", c.Revision))
		w.Log.Info("watch: configuration in force", "revision", c.Revision)
	}
	return applied
}

// watchState is the state of one watch.
type watchState struct {
	// answeredAt is when a call was last answered, in Unix nanoseconds; zero if
	// none ever was.
	answeredAt atomic.Int64
	// failing says that the last call failed.
	failing atomic.Bool
}

// recordFailure records that a call of a watch failed, and waits before the next
// one.
func (w *Watcher) recordFailure(ctx context.Context, state *watchState, kind string, err error) {
	if ctx.Err() != nil {
		return
	}
	if !state.failing.Swap(true) {
		w.Log.Warn("watch: store does not answer", "watch", kind, "err", err)
		w.Trace.Record("watch", "", "store does not answer about "+kind)
	}
	wait.For(ctx, retryWait/2+rand.N(retryWait))
}

// recordSuccess records that a call of a watch was answered.
func (w *Watcher) recordSuccess(state *watchState, kind string) {
	state.answeredAt.Store(time.Now().UnixNano())
	if state.failing.Swap(false) {
		w.Log.Info("watch: store answers again", "watch", kind)
		w.Trace.Record("watch", "", "store answers again about "+kind)
	}
}
