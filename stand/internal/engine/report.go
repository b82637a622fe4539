package engine

import (
	"context"
	"sync"
	"time"

	wire "fuchsiashelf.dev/parts/engine"
)

// reportHistory keeps past load reports, to answer with one that is ReportLag old.
type reportHistory struct {
	mu      sync.Mutex
	reports []timedStatus
}

// timedStatus is a load report with its time.
type timedStatus struct {
	at     time.Time
	status wire.Status
}

// reportInterval is the time between two recorded reports.
const reportInterval = 50 * time.Millisecond

// RecordReports records load reports until the context ends. Without ReportLag it
// does nothing.
func (e *Engine) RecordReports(ctx context.Context) {
	if e.ReportLag <= 0 {
		return
	}
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		e.reports.add(timedStatus{time.Now(), e.Status()}, e.ReportLag)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// add appends a report and drops those older than the lag, except the newest of
// them.
func (h *reportHistory) add(report timedStatus, lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, report)
	for len(h.reports) > 1 && report.at.Sub(h.reports[1].at) >= lag {
		h.reports = h.reports[1:]
	}
}

// oldest returns the oldest report that is kept, with its age. It reports false if
// there is none.
func (h *reportHistory) oldest(now time.Time) (wire.Status, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.reports) == 0 {
		return wire.Status{}, false
	}
	status := h.reports[0].status
	status.AgeMs = now.Sub(h.reports[0].at).Milliseconds()
	return status, true
}

// laggedStatus returns the load report that is ReportLag old.
func (e *Engine) laggedStatus() wire.Status {
	if status, ok := e.reports.oldest(time.Now()); ok {
		return status
	}
	return e.Status()
}
