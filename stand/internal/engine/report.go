package engine

import (
	"context"
	"sync"
	"time"

	wire "fuchsiashelf.dev/parts/engine"
)

// report keeps past reports, so that callers get one that is ReportLag old.
type report struct {
	mu   sync.Mutex
	past []dated
}

type dated struct {
	at     time.Time
	status wire.Status
}

// reportTick is how often a report is taken down when reports lag.
const reportTick = 50 * time.Millisecond

// Run takes reports down until the context ends.
func (e *Engine) Run(ctx context.Context) {
	if e.ReportLag <= 0 {
		return
	}
	tick := time.NewTicker(reportTick)
	defer tick.Stop()
	for {
		e.report.add(dated{time.Now(), e.Status()}, e.ReportLag)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// add keeps a report and drops all but one that are older than the lag.
func (r *report) add(d dated, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.past = append(r.past, d)
	for len(r.past) > 1 && d.at.Sub(r.past[1].at) >= lag {
		r.past = r.past[1:]
	}
}

// oldest returns the report that is due and its age.
func (r *report) oldest(now time.Time) (wire.Status, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.past) == 0 {
		return wire.Status{}, false
	}
	status := r.past[0].status
	status.AgeMs = now.Sub(r.past[0].at).Milliseconds()
	return status, true
}

// lagged returns the report that callers get.
func (e *Engine) lagged() wire.Status {
	if status, ok := e.report.oldest(time.Now()); ok {
		return status
	}
	return e.Status()
}
