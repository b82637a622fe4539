// Package prog implements the command fsentry, the router of an entry host.
package prog

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/entry/internal/edge"
	"fuchsiashelf.dev/entry/internal/setup"
	"fuchsiashelf.dev/parts/boot"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/httpd"
	"fuchsiashelf.dev/parts/logs"
	"fuchsiashelf.dev/parts/sock"
	"fuchsiashelf.dev/parts/stall"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Main runs the program until the context ends and returns its exit status.
func Main(ctx context.Context, args []string, _ io.Reader, stdout, stderr io.Writer) int {
	if boot.PrintVersion("fsentry", args, stdout) {
		return 0
	}
	settings, err := setup.Parse(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return boot.ExitUsage
	}
	d := &daemon{settings: settings, stdout: stdout}
	writer, closeLog := logs.Open(stderr)
	defer closeLog()
	d.log = slog.New(slog.NewTextHandler(writer, nil)).With("entry", settings.Name)
	d.clock = &stall.Clock{OnStall: func(delay time.Duration) { hostStalls.Update(delay) }}
	err = d.run(ctx)
	if errors.Is(err, errStopped) {
		d.log.Info("prog: stopped while it waited for its addresses")
		return 0
	}
	if err != nil {
		d.log.Error("prog: failed", "err", err)
		return boot.ExitFailed
	}
	return 0
}

// watchTimeout is the timeout of one watch of the object API. It limits how late
// an entry host notices a broken connection that was not closed, or an object API
// that was reset to an older state. At 320 entry hosts with two watches each, it
// causes 128 calls a second.
const watchTimeout = 5 * time.Second

// hostStalls counts the stalls of this process, with their lengths.
var hostStalls = metrics.NewRegisteredTimer("host.stalls", nil)

// daemon is a running fsentry process.
type daemon struct {
	settings *setup.Settings
	stdout   io.Writer
	log      *slog.Logger
	// clock distinguishes the silence of others from stalls of this process.
	clock *stall.Clock
	// stopping is set when the process is told to stop. The entry host is not ready
	// from then on.
	stopping atomic.Bool

	// The listeners, by who connects: callers, other entry hosts, operators, and
	// clients of health checks and metrics.
	callers, peers, desk, ops net.Listener
}

// errStopped says that the process was told to stop before it served.
var errStopped = errors.New("prog: stopped before it served")

// listen opens the listeners, with TLS where it is configured. It waits until their addresses are
// available.
func (d *daemon) listen(ctx context.Context) error {
	for _, l := range []struct {
		flag, address string
		listener      *net.Listener
	}{
		{"callers", d.settings.Callers, &d.callers},
		{"peers", d.settings.Peers, &d.peers},
		{"desk", d.settings.Desk, &d.desk},
		{"ops", d.settings.Ops, &d.ops},
	} {
		opened, err := sock.Listen(ctx, l.address, d.log)
		if err != nil && ctx.Err() != nil {
			return errStopped
		}
		if err != nil {
			return fmt.Errorf("-%s: %w", l.flag, err)
		}
		*l.listener = opened
	}
	return d.enableTLS()
}

// run runs the components. When the context ends, it stops accepting callers,
// waits for requests in flight (see serveCallers), and then stops the components.
func (d *daemon) run(ctx context.Context) error {
	if err := d.listen(ctx); err != nil {
		return err
	}
	publisher := view.New(d.settings.Name, d.settings.LocalDomain())
	recorder := &trace.Recorder{Process: d.settings.Name}
	api := &store.Client{Address: d.settings.Store, Entry: d.settings.Name, Wait: watchTimeout}
	watcher, peers, adminServer, err := d.newAdmin(publisher, recorder, api)
	if err != nil {
		return err
	}
	defer adminServer.Workers.Release()
	servers := d.newLinks(publisher, peers)
	engines := &engine.Client{HTTP: engine.NewHTTP(servers.Dial)}
	models, err := d.newModelPath(publisher, recorder, engines, servers.Direct)
	if err != nil {
		return err
	}
	defer models.release()
	models.forwarder.Dial = servers.Dial
	models.forwarder.Guard = d.newGuard(publisher, recorder, peers, engines)
	calls := d.newForwarder(publisher, recorder, api, peers, servers.Dial)
	servers.OnChange = func() {
		engines.HTTP.CloseIdleConnections()
		calls.CloseIdleConnections()
	}
	handler := &edge.Handler{
		View: publisher, Relay: models.forwarder, PlainForwarder: calls, Admission: d.newAdmission(publisher, recorder, peers),
		Trace: recorder, Log: d.log, MaxBody: d.settings.MaxBody, Ready: d.readyFunc(watcher),
	}
	peers.Local.Ready = handler.Ready
	runCtx, stopRun := context.WithCancel(context.Background())
	defer stopRun()
	var components sync.WaitGroup
	start := func(name string, run func(context.Context) error) {
		components.Go(func() {
			if err := run(runCtx); err != nil && runCtx.Err() == nil {
				d.log.Error("prog: component failed", "part", name, "err", err)
			}
		})
	}
	start("clock", d.clock.Run)
	start("watch", func(ctx context.Context) error { watcher.Run(ctx); return nil })
	start("links", servers.Run)
	start("poll", func(ctx context.Context) error { models.poller.Run(ctx); return nil })
	start("mesh", func(ctx context.Context) error { return peers.Run(ctx, d.peers) })
	start("seat", func(ctx context.Context) error { return adminServer.Run(ctx, d.desk) })
	start("claims", calls.Claims.Run)
	start("calls", calls.Run)
	start("order", d.newOrderController(publisher, recorder, api, engines).Run)
	start("ops", func(ctx context.Context) error { return d.serveOps(ctx, handler) })
	fmt.Fprintf(d.stdout, "ready callers=%s peers=%s desk=%s ops=%s\n",
		d.callers.Addr(), d.peers.Addr(), d.desk.Addr(), d.ops.Addr())
	err = d.serveCallers(ctx, handler)
	d.drainTunnels(runCtx, servers)
	stopRun()
	components.Wait()
	return err
}

// serveCallers serves callers until the context ends. It then accepts requests for
// the linger period and waits for those in flight, at most for the grace period.
func (d *daemon) serveCallers(ctx context.Context, handler *edge.Handler) error {
	server := &httpd.Server{
		Listener: d.callers, MaxBody: d.settings.MaxBody, TooLarge: handler.RejectTooLarge,
		DrainDelay: d.settings.Linger, Draining: handler.RejectDraining,
	}
	server.Init()
	handler.RegisterRoutes(server.Hertz)
	go func() {
		<-ctx.Done()
		d.stopping.Store(true)
		d.log.Info("prog: stopping")
	}()
	return server.Run(ctx, d.settings.Grace)
}

// opsShutdownTimeout limits how long a stop waits for health checks and metrics
// requests in flight.
const opsShutdownTimeout = 200 * time.Millisecond

// serveOps serves health checks and metrics.
func (d *daemon) serveOps(ctx context.Context, handler *edge.Handler) error {
	server := &httpd.Server{Listener: d.ops}
	server.Init()
	handler.RegisterHealth(server.Hertz)
	server.Hertz.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		c.Header("Content-Type", "application/json")
		metrics.WriteJSONOnce(metrics.DefaultRegistry, c)
	})
	return server.Run(ctx, opsShutdownTimeout)
}
