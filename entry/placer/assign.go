package placer

import (
	"context"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
	"fuchsiashelf.dev/parts/route"
)

// order reads what a server holds and sends it the order.
func (p *Placer) order(ctx context.Context, e *route.Engine, o place.Assignment) {
	report, err := p.report(ctx, o.Server)
	if err != nil {
		return
	}
	if report.Busy {
		p.Log.Info("placer: busy", "server", o.Server.ID, "orders", report.OrderCount)
		return
	}
	if o.Server.LayerCount() == 0 && report.End > report.First {
		// Its entry lags behind: it holds layers already.
		p.settle(o.Server, report.First, report.End, time.Now().Add(heartbeats))
		return
	}
	if l, kept := p.kept(ctx, o); !kept {
		p.Log.Info("placer: kept", "server", o.Server.ID, "layer", l, "first", o.First, "end", o.End)
		return
	}
	octx, cancel := context.WithTimeout(ctx, call.OrderTimeout)
	taken, err := p.Engine.Place(octx, o.Server, o.First, o.End, report.OrderCount)
	cancel()
	p.Log.Info("placer: ordered", "server", o.Server.ID, "first", o.First, "end", o.End,
		"held", o.Server.LayerCount(), "orders", report.OrderCount, "taken", taken.String(), "error", err)
	now := time.Now()
	if taken != call.OrderStarted {
		return
	}
	until := now.Add(besideOthers*loadTime(e, o.End-o.First) + heartbeats)
	p.settle(o.Server, o.First, o.End, until)
	if p.State.Assign(state.Assignment{ID: o.Server.ID, First: o.First, End: o.End, Until: until}, now) {
		p.Broadcast()
	}
	if o.First < o.Server.First || o.End > o.Server.End {
		p.confirm(ctx, e, o)
	}
}

// report asks a server what it holds. A failure is logged.
func (p *Placer) report(ctx context.Context, s *fleet.Server) (call.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, call.ReportTimeout)
	defer cancel()
	report, err := p.Engine.Report(ctx, s.Address)
	if err != nil {
		p.Log.Warn("placer: no report", "server", s.ID, "error", err)
	}
	return report, err
}

// confirm asks a server that loads layers until it holds them, and tells the
// others at once. Its entry shows them up to a heartbeat later, while requests
// are refused for want of these layers.
func (p *Placer) confirm(ctx context.Context, e *route.Engine, o place.Assignment) {
	wait := loadTime(e, o.End-o.First-overlap(o))
	for range maxConfirms {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = confirmEvery
		report, err := p.report(ctx, o.Server)
		if err != nil || report.Busy || report.First != o.First || report.End != o.End {
			continue
		}
		now := time.Now()
		p.Log.Info("placer: carried out", "server", o.Server.ID, "first", o.First, "end", o.End)
		if p.State.Assign(state.Assignment{ID: o.Server.ID, First: o.First, End: o.End, Until: now.Add(shownIn), Done: true}, now) {
			p.Broadcast()
		}
		return
	}
}

// overlap returns how many layers of an order the server holds already.
func overlap(o place.Assignment) int {
	return max(0, min(o.End, o.Server.End)-max(o.First, o.Server.First))
}

// kept reports whether other servers say that they hold the layers which an
// order makes one give up, or the first layer that nobody does. Their entries
// may be of before their death: the layers would be lost then, and every request
// of the domain refused until they are loaded again.
func (p *Placer) kept(ctx context.Context, o place.Assignment) (layer int, kept bool) {
	if len(o.Replicas) == 0 {
		return 0, true
	}
	held := map[int]bool{}
	for _, s := range o.Replicas {
		report, err := p.report(ctx, s)
		if err != nil {
			continue
		}
		for l := report.First; l < report.End; l++ {
			held[l] = true
		}
	}
	for l := o.Server.First; l < o.Server.End; l++ {
		if (l < o.First || l >= o.End) && !held[l] {
			return l, false
		}
	}
	return 0, true
}

// besideOthers is by how much longer a load may take while others run.
const besideOthers = 2

// loadTime is how long a load of so many layers takes alone.
func loadTime(e *route.Engine, layers int) time.Duration {
	return e.Load * time.Duration(layers) / time.Duration(max(e.Layers, 1))
}

func (p *Placer) settle(s *fleet.Server, first, end int, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tell(s.ID, pending{first: first, end: end, until: until, settled: true, born: s.StartedAt})
}
