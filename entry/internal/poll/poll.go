// Package poll polls the status of the backend servers that run models and updates
// the snapshot: load, capacity, whether a server is leaving, and whether it
// answers at all.
//
// A report may be older than the refusal of a request, and then does not override
// it.
package poll

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/health"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/server"
	"fuchsiashelf.dev/parts/stall"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wait"
)

// Poller polls the servers of the host list. Set the exported fields, then call
// Run.
type Poller struct {
	View   *view.Publisher
	Engine *engine.Client
	// Clock distinguishes the silence of servers from stalls of this process; nil assumes none.
	Clock *stall.Clock
	Trace *trace.Recorder
	Log   *slog.Logger
	// Workers runs the polls.
	Workers *ants.Pool
	// Interval is the time between two polls of a server.
	Interval time.Duration
	// MaxRate is the maximum number of polls per second of all servers together.
	// With many servers it makes the time between two polls longer than Interval.
	MaxRate float64
	// Done is closed when Run returns. It must be set.
	Done chan struct{}
}

// statusTimeout bounds a poll. A healthy server answers within a millisecond.
const statusTimeout = time.Second

var (
	reportCount  = metrics.NewRegisteredCounter("poll.reports", nil)
	failureCount = metrics.NewRegisteredCounter("poll.failed", nil)
)

// Run polls until the context is cancelled and the calls in flight have ended.
func (p *Poller) Run(ctx context.Context) {
	defer close(p.Done)
	limiter := rate.NewLimiter(rate.Limit(p.MaxRate), 1)
	var inFlight atomic.Int64
	for ctx.Err() == nil {
		startedAt := time.Now()
		for _, h := range p.View.Load().Hosts {
			if h.Role != host.Engine || limiter.Wait(ctx) != nil {
				continue
			}
			inFlight.Add(1)
			if p.Workers.Submit(func() { defer inFlight.Add(-1); p.poll(ctx, h) }) != nil {
				inFlight.Add(-1)
			}
		}
		wait.For(ctx, p.Interval-time.Since(startedAt))
	}
	// The calls in flight end soon, since their context is cancelled.
	for inFlight.Load() > 0 {
		wait.For(context.Background(), time.Millisecond)
	}
}

// poll polls one server and records the result. A failure after the context was
// cancelled is ignored.
func (p *Poller) poll(ctx context.Context, h host.Host) {
	meter := p.View.Load().Meters[h.Name]
	if meter == nil || ctx.Err() != nil {
		return
	}
	startedAt := p.Clock.Mark()
	callCtx, cancel := p.Clock.WithIdleTimeout(ctx, statusTimeout, nil)
	defer cancel()
	status, err := p.Engine.Status(callCtx, h.Address)
	switch {
	case err == nil:
		reportCount.Inc(1)
		p.applyStatus(h.Name, meter, &status, time.Now())
	case ctx.Err() == nil:
		failureCount.Inc(1)
		p.recordFailure(h.Name, meter, time.Now())
		p.Log.Warn("poll: server does not answer", "server", h.Name, "err", err, "delay", p.Clock.Delay(startedAt))
	}
}

// applyStatus updates the meter from a report, and whether the server is cordoned.
// It lifts the cordon of a refusal only if the report is newer than the refusal.
func (p *Poller) applyStatus(name string, meter *server.Meter, status *engine.Status, now time.Time) {
	reportedAt := now.Add(-time.Duration(status.AgeMs) * time.Millisecond)
	meter.Waiting.Store(int64(status.Waiting))
	meter.ReportedAt.Store(reportedAt.UnixNano())
	meter.Capacity.Store(int64(status.Capacity))
	if meter.Step.Current() == 0 && status.TokenUs > 0 {
		meter.Step.Observe(time.Duration(status.TokenUs) * time.Microsecond)
	}
	_, cordoned := p.View.Load().CordonedBy[view.Refusing][name]
	switch {
	case status.State == host.Leaving && !cordoned:
		p.Trace.Record("poll", "", "server "+name+" is leaving")
		p.View.Update(func(s *view.Snapshot) { s.Cordon(view.Refusing, name) })
	case status.State != host.Leaving && cordoned && reportedAt.UnixNano() > meter.RefusedAt.Load():
		p.Trace.Record("poll", "", "server "+name+" takes work again")
		p.View.Update(func(s *view.Snapshot) { s.Uncordon(view.Refusing, name) })
	}
}

// recordFailure marks a server that does not answer as suspected until after its
// next poll. If the suspicion ended before, a request would try a frozen server
// each time.
func (p *Poller) recordFailure(name string, meter *server.Meter, now time.Time) {
	until := now.Add(p.Interval + health.SuspectFor(meter.Failures.Add(1)))
	p.View.Update(func(s *view.Snapshot) { s.Suspect(name, until, now) })
}
