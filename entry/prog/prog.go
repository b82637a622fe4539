// Package prog is the program fsentry: the router on each entry host.
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
	"fuchsiashelf.dev/parts/httpd"
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
	d.log = slog.New(slog.NewTextHandler(stderr, nil)).With("entry", settings.Name)
	if err := d.run(ctx); err != nil {
		d.log.Error("prog: stopped", "err", err)
		return boot.ExitFailed
	}
	return 0
}

// watchWait is how long one watch of the object API waits. It bounds how late
// an entry host notices a watch that was cut without a sign, or a store that
// went back; at 320 entry hosts two watches each are 128 calls a second.
const watchWait = 5 * time.Second

// daemon is one running entry host.
type daemon struct {
	settings *setup.Settings
	stdout   io.Writer
	log      *slog.Logger
	stopping atomic.Bool

	callers, peers, desk, ops net.Listener
}

func (d *daemon) listen() error {
	for _, l := range []struct {
		flag, address string
		into          *net.Listener
	}{
		{"callers", d.settings.Callers, &d.callers},
		{"peers", d.settings.Peers, &d.peers},
		{"desk", d.settings.Desk, &d.desk},
		{"ops", d.settings.Ops, &d.ops},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("-%s: %w", l.flag, err)
		}
		*l.into = listener
	}
	return d.secure()
}

// run starts the parts and, when the context ends, stops them in order: no
// new callers, requests in flight to their end, then the rest.
func (d *daemon) run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return err
	}
	holder := view.New(d.settings.Name, d.settings.LocalDomain())
	line := &trace.Recorder{Process: d.settings.Name}
	api := &store.Client{Address: d.settings.Store, Entry: d.settings.Name, Wait: watchWait}
	feeder, peers, desk, err := d.deskParts(holder, line, api)
	if err != nil {
		return err
	}
	defer desk.Workers.Release()
	path, err := d.path(holder, line)
	if err != nil {
		return err
	}
	defer path.release()
	path.relay.Guard = d.guard(holder, line, peers)
	calls := d.calls(holder, line, api, peers)
	door := &edge.Handler{
		View:  holder,
		Relay: path.relay,
		Pass:  calls, Admission: d.admission(holder, line, peers),
		Trace: line, Log: d.log, MaxBody: d.settings.MaxBody,
		Ready: d.ready(feeder),
	}
	peers.Local.Ready = door.Ready
	inner, stopInner := context.WithCancel(context.Background())
	defer stopInner()
	var parts sync.WaitGroup
	start := func(what string, run func(context.Context) error) {
		parts.Go(func() {
			if err := run(inner); err != nil && inner.Err() == nil {
				d.log.Error("prog: part failed", "part", what, "err", err)
			}
		})
	}
	start("watch", func(ctx context.Context) error { feeder.Run(ctx); return nil })
	start("poll", func(ctx context.Context) error { path.poll.Run(ctx); return nil })
	start("mesh", func(ctx context.Context) error { return peers.Run(ctx, d.peers) })
	start("seat", func(ctx context.Context) error { return desk.Run(ctx, d.desk) })
	start("claims", calls.Claims.Run)
	start("calls", calls.Run)
	start("order", d.orders(holder, line, api).Run)
	start("ops", func(ctx context.Context) error { return d.serveOps(ctx, door) })
	fmt.Fprintf(d.stdout, "ready callers=%s peers=%s desk=%s ops=%s\n",
		d.callers.Addr(), d.peers.Addr(), d.desk.Addr(), d.ops.Addr())
	err = d.serveCallers(ctx, door)
	stopInner()
	parts.Wait()
	return err
}

func (d *daemon) serveCallers(ctx context.Context, door *edge.Handler) error {
	front := &httpd.Server{
		Listener: d.callers, MaxBody: d.settings.MaxBody, TooLarge: door.RejectTooLarge,
		DrainDelay: d.settings.Linger, Draining: door.RejectDraining,
	}
	front.Init()
	door.RegisterRoutes(front.Hertz)
	go func() {
		<-ctx.Done()
		d.stopping.Store(true)
		d.log.Info("prog: stopping")
	}()
	return front.Run(ctx, d.settings.Grace)
}

// opsGrace is how long the metrics page waits for its readers at a stop.
const opsGrace = 200 * time.Millisecond

func (d *daemon) serveOps(ctx context.Context, door *edge.Handler) error {
	page := &httpd.Server{Listener: d.ops}
	page.Init()
	door.RegisterHealth(page.Hertz)
	page.Hertz.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		c.Header("Content-Type", "application/json")
		metrics.WriteJSONOnce(metrics.DefaultRegistry, c)
	})
	return page.Run(ctx, opsGrace)
}
