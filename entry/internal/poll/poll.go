// Package poll asks the engines for their reports and folds these into the
// snapshot: load, capacity, whether a server is leaving, and whether it is
// there at all.
//
// Reports lag, so they never undo what a server said later on a request.
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
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wait"
)

// Poller asks engines. Set the exported fields, then Run.
type Poller struct {
	View   *view.Publisher
	Engine *engine.Client
	Trace  *trace.Recorder
	Log    *slog.Logger
	// Workers run the calls.
	Workers *ants.Pool
	// Interval is the time between two questions to one engine.
	Interval time.Duration
	// MaxRate is the most questions a second to all of them; with many engines
	// the period grows.
	MaxRate float64
	// Done is closed when Run has ended. Make it before Run.
	Done chan struct{}
}

// timeout ends a question. A healthy engine answers in a millisecond.
const timeout = time.Second

var (
	polled = metrics.NewRegisteredCounter("poll.reports", nil)
	failed = metrics.NewRegisteredCounter("poll.failed", nil)
)

// Run asks until the context ends.
func (p *Poller) Run(ctx context.Context) {
	defer close(p.Done)
	pace := rate.NewLimiter(rate.Limit(p.MaxRate), 1)
	var open atomic.Int64
	for ctx.Err() == nil {
		round := time.Now()
		for _, h := range p.View.Load().Hosts {
			if h.Role != host.Engine || pace.Wait(ctx) != nil {
				continue
			}
			open.Add(1)
			if p.Workers.Submit(func() { defer open.Add(-1); p.ask(ctx, h) }) != nil {
				open.Add(-1)
			}
		}
		wait.For(ctx, p.Interval-time.Since(round))
	}
	// A worker that is still asking ends soon, since its context has.
	for open.Load() > 0 {
		wait.For(context.Background(), time.Millisecond)
	}
}

func (p *Poller) ask(ctx context.Context, h host.Host) {
	meter := p.View.Load().Meters[h.Name]
	if meter == nil || ctx.Err() != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := p.Engine.Status(call, h.Address)
	switch {
	case err == nil:
		polled.Inc(1)
		p.take(h.Name, meter, &status, time.Now())
	case ctx.Err() == nil:
		failed.Inc(1)
		p.miss(h.Name, meter, time.Now())
	}
}

// take folds a report in.
func (p *Poller) take(name string, m *server.Meter, s *engine.Status, now time.Time) {
	made := now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	m.Waiting.Store(int64(s.Waiting))
	m.ReportedAt.Store(made.UnixNano())
	m.Capacity.Store(int64(s.Capacity))
	if m.Step.Current() == 0 && s.TokenUs > 0 {
		m.Step.Observe(time.Duration(s.TokenUs) * time.Microsecond)
	}
	_, out := p.View.Load().CordonedBy[view.Refusing][name]
	switch {
	case s.State == host.Leaving && !out:
		p.Trace.Record("poll", "", "server "+name+" is leaving")
		p.View.Update(func(s *view.Snapshot) { s.Cordon(view.Refusing, name) })
	case s.State != host.Leaving && out && made.UnixNano() > m.RefusedAt.Load():
		p.Trace.Record("poll", "", "server "+name+" takes work again")
		p.View.Update(func(s *view.Snapshot) { s.Uncordon(view.Refusing, name) })
	}
}

// miss has a server avoided that does not answer. Without it a frozen server
// would be tried by a request each time that its avoidance ends.
func (p *Poller) miss(name string, m *server.Meter, now time.Time) {
	until := now.Add(p.Interval + health.SuspectFor(m.Failures.Add(1)))
	p.View.Update(func(s *view.Snapshot) { s.Suspect(name, until, now) })
	p.Log.Warn("poll: server does not answer", "server", name)
}
