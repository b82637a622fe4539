// Package watch keeps the snapshot up to date: the configuration, the book of
// teams and the host list.
//
// All three come from the platform's service, through one waiting watch each.
// A configuration also comes from other entry hosts, which hand on what they
// have, so that an entry host cut off from the platform follows all the same.
// Whatever the source, only a configuration with a higher revision than the
// one in force is taken: nothing that was accepted is ever undone by an older
// copy that turns up late.
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
	// Others returns those known.
	Others() []host.Host
	// Client returns a client of one of them.
	Client(ctx context.Context, h host.Host) (wire.DRPCEntryClient, error)
}

// Watcher watches the platform's service. Make it with New, set the exported
// fields, then Run.
type Watcher struct {
	Store store.API
	View  *view.Publisher
	Trace *trace.Recorder
	Log   *slog.Logger
	// Peers are asked for what they have before this entry host is ready.
	Peers Peers
	// Secret is the secret of the entry hosts.
	Secret string
	// Seeds are addresses of other entry hosts, for a start while the store
	// is down.
	Seeds []string
	// Done is closed when Run has ended; nil if nobody waits.
	Done chan struct{}

	began time.Time
	// objects and hosts are the states of the two watches.
	objects, hosts watch

	listed atomic.Bool
	primed atomic.Bool
	behind chan struct{}
}

// New returns a watch whose fields are not set yet.
func New() *Watcher {
	return &Watcher{began: time.Now(), behind: make(chan struct{}, 1)}
}

// retryWait is the mean pause after a failed call.
const retryWait = 200 * time.Millisecond

// Run watches until the context ends.
func (f *Watcher) Run(ctx context.Context) {
	if f.Done != nil {
		defer close(f.Done)
	}
	f.gauges()
	tasks := []func(context.Context){f.watchObjects, f.watchHosts, f.watchStops, f.prime}
	done := make(chan struct{}, len(tasks))
	for _, task := range tasks {
		go func() { task(ctx); done <- struct{}{} }()
	}
	for range tasks {
		<-done
	}
}

func (f *Watcher) gauges() {
	_ = metrics.Register("watch.revision", metrics.NewFunctionalGauge(func() int64 {
		if c := f.View.Load().Config; c != nil {
			return int64(c.Revision)
		}
		return 0
	}))
	_ = metrics.Register("watch.age_ms", metrics.NewFunctionalGauge(func() int64 {
		return f.Staleness().Milliseconds()
	}))
}

// Staleness returns how long the object API has been silent here about the
// configuration; zero while the watch is up. An entry host that is cut off
// keeps serving on what it has.
func (f *Watcher) Staleness() time.Duration {
	heard := f.objects.heard.Load()
	if heard == 0 {
		return time.Since(f.began)
	}
	if !f.objects.silent.Load() {
		return 0
	}
	return time.Since(time.Unix(0, heard))
}

// EverConnected reports whether the object API ever answered here.
func (f *Watcher) EverConnected() bool {
	return f.objects.heard.Load() != 0
}

// Apply puts a configuration in force if its revision is higher than that of
// the one that is and it holds all its lines. It reports whether it was.
func (f *Watcher) Apply(c *conf.Config) bool {
	return f.offer(c, c.Supersedes)
}

// offerOfPeer is Offer for a configuration that is in force on another entry
// host.
func (f *Watcher) offerOfPeer(c *conf.Config) bool {
	if f.primed.Load() {
		return f.Apply(c)
	}
	return f.offer(c, c.SupersedesAtStart)
}

func (f *Watcher) offer(c *conf.Config, fits func(*conf.Config) bool) bool {
	newer, diverged := false, false
	f.View.Update(func(s *view.Snapshot) {
		// An older copy comes from a store that was restored, a watch that
		// lags, or a peer that was cut off. Taking it would undo lines that
		// were answered with done.
		if !fits(s.Config) {
			diverged = s.Config != nil && s.Config.Revision < c.Revision
			return
		}
		newer = true
		s.Config = c
		out(s, time.Now())
	})
	if diverged {
		// Only after a restored store: lines were accepted on top of the
		// older copy that lack lines in force here.
		metrics.GetOrRegisterCounter("watch.diverged", nil).Inc(1)
		f.Log.Error("watch: configuration lacks lines that are in force, not taken", "revision", c.Revision)
		f.Trace.Record("watch", "", fmt.Sprintf("revision %d lacks lines in force, not taken", c.Revision))
		f.MarkStoreStale()
	}
	if newer {
		f.Trace.Record("watch", "", fmt.Sprintf("configuration in force: revision %d", c.Revision))
		f.Log.Info("watch: configuration in force", "revision", c.Revision)
	}
	return newer
}

// watch is the state of one watch.
type watch struct {
	// heard is when the last call was answered, in Unix nanoseconds.
	heard atomic.Int64
	// silent says that the last call was not answered.
	silent atomic.Bool
}

// failed notes that a call of a watch failed, and waits before the next one.
func (f *Watcher) failed(ctx context.Context, w *watch, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	if !w.silent.Swap(true) {
		f.Log.Warn("watch: store does not answer", "watch", what, "err", err)
		f.Trace.Record("watch", "", "store does not answer about "+what)
	}
	wait.For(ctx, retryWait/2+rand.N(retryWait))
}

// answered notes that a call of a watch was answered.
func (f *Watcher) answered(w *watch, what string) {
	w.heard.Store(time.Now().UnixNano())
	if w.silent.Swap(false) {
		f.Log.Info("watch: store answers again", "watch", what)
		f.Trace.Record("watch", "", "store answers again about "+what)
	}
}
