package placer

import (
	"context"
	"errors"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
	"fuchsiashelf.dev/parts/route"
)

// sendAssignment reads the report of a server and orders it to hold the assigned
// layers.
func (p *Placer) sendAssignment(ctx context.Context, engine *route.Engine, a place.Assignment) {
	report, err := p.fetchReport(ctx, a.Server)
	if err != nil {
		return
	}
	if report.Busy {
		p.Log.Info("placer: assignment dropped, server is busy", "server", a.Server.ID, "orders", report.OrderCount)
		return
	}
	if a.Server.LayerCount() == 0 && report.End > report.First {
		// The entry is outdated: the server holds layers already.
		p.setConfirmed(a.Server, report.First, report.End, time.Now().Add(entryLag))
		return
	}
	if layer, replicated := p.replicated(ctx, a); !replicated {
		p.Log.Info("placer: assignment dropped, no other server holds the layer", "server", a.Server.ID, "layer", layer, "first", a.First, "end", a.End)
		return
	}
	orderCtx, cancel := context.WithTimeout(ctx, call.OrderTimeout)
	result, err := p.Engine.Place(orderCtx, a.Server, a.First, a.End, report.OrderCount)
	cancel()
	p.Log.Info("placer: ordered", "server", a.Server.ID, "first", a.First, "end", a.End,
		"held", a.Server.LayerCount(), "orders", report.OrderCount, "taken", result.String(), "error", err)
	now := time.Now()
	if result != call.OrderStarted {
		return
	}
	until := now.Add(engine.MaxLoadDuration(a.End-a.First) + entryLag)
	p.setConfirmed(a.Server, a.First, a.End, until)
	if p.State.Assign(state.Assignment{ID: a.Server.ID, First: a.First, End: a.End, Until: until}, now) {
		p.Broadcast()
	}
	if a.First < a.Server.First || a.End > a.Server.End {
		p.confirm(ctx, engine, a)
	}
}

// fetchReport asks a server for its report. An error is logged.
func (p *Placer) fetchReport(ctx context.Context, s *fleet.Server) (call.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, call.ReportTimeout)
	defer cancel()
	report, err := p.Engine.Report(ctx, s.Address)
	var noReport *call.NoReportError
	if errors.As(err, &noReport) && noReport.Paused {
		p.Log.Info("placer: server is paused", "server", s.ID)
		return report, err
	}
	if err != nil {
		p.Log.Warn("placer: no report", "server", s.ID, "error", err)
	}
	return report, err
}

// confirm polls a server that loads layers until it holds them, and then broadcasts
// that at once. The entry of the server shows the layers up to a heartbeat later, and
// requests that need them would be refused until then.
func (p *Placer) confirm(ctx context.Context, engine *route.Engine, a place.Assignment) {
	wait := engine.LoadDuration(a.End - a.First - overlap(a))
	for range maxConfirms {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = confirmInterval
		report, err := p.fetchReport(ctx, a.Server)
		if err != nil || report.Busy || report.First != a.First || report.End != a.End {
			continue
		}
		now := time.Now()
		p.Log.Info("placer: assignment completed", "server", a.Server.ID, "first", a.First, "end", a.End)
		if p.State.Assign(state.Assignment{ID: a.Server.ID, First: a.First, End: a.End, Until: now.Add(reportOverrideTime), Done: true}, now) {
			p.Broadcast()
		}
		return
	}
}

// overlap returns how many layers of an assignment the server already holds.
func overlap(a place.Assignment) int {
	return max(0, min(a.End, a.Server.End)-max(a.First, a.Server.First))
}

// replicated reports whether the replicas confirm that they hold all layers that a
// server gives up for an assignment. If not, it returns the first layer that none of
// them holds. Their entries are not enough: an entry may still exist after its server
// has failed. The layers would then be lost, and every request of the domain refused
// until they are loaded again.
func (p *Placer) replicated(ctx context.Context, a place.Assignment) (layer int, replicated bool) {
	if len(a.Replicas) == 0 {
		return 0, true
	}
	held := map[int]bool{}
	for _, s := range a.Replicas {
		report, err := p.fetchReport(ctx, s)
		if err != nil {
			continue
		}
		for layer := report.First; layer < report.End; layer++ {
			held[layer] = true
		}
	}
	for layer := a.Server.First; layer < a.Server.End; layer++ {
		if (layer < a.First || layer >= a.End) && !held[layer] {
			return layer, false
		}
	}
	return 0, true
}

func (p *Placer) setConfirmed(s *fleet.Server, first, end int, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setPending(s.ID, pendingRange{first: first, end: end, until: until, confirmed: true, startedAt: s.StartedAt})
}
