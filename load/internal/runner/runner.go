// Package runner executes a load run: it sends each arrival of a plan and injects
// each fault at its time.
package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"fuchsiashelf.dev/load/internal/call"
	"fuchsiashelf.dev/load/internal/chaos"
	"fuchsiashelf.dev/load/internal/plan"
	"fuchsiashelf.dev/load/internal/stats"
)

// Run is one load run. Set the exported fields, then call Do.
type Run struct {
	Plan     *plan.Plan
	Caller   *call.Caller
	Recorder *stats.Recorder
	Faults   []chaos.Fault
	// MaxOpen is the most calls open at once. Further arrivals are skipped and
	// counted as skipped, so that a stalled system can't exhaust the machine that
	// generates the load.
	MaxOpen int
	// Drain is the longest wait for open calls after the last arrival.
	Drain time.Duration
	// Progress is the interval between progress lines; zero means none.
	Progress time.Duration
	// Log receives progress lines and failed fault injections.
	Log io.Writer

	pool      *ants.Pool
	startedAt time.Time
}

// Do executes the run and returns its report. It ends once all calls have ended,
// Drain is over or the context ends.
func (r *Run) Do(ctx context.Context) (*stats.Report, error) {
	pool, err := ants.NewPool(r.MaxOpen, ants.WithNonblocking(true), ants.WithPreAlloc(false))
	if err != nil {
		return nil, err
	}
	r.pool = pool
	defer r.pool.Release()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.startedAt = time.Now()
	r.Recorder.Start(r.startedAt)
	var background sync.WaitGroup
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	background.Go(func() { r.injectFaults(backgroundCtx) })
	background.Go(func() { r.logProgress(backgroundCtx) })
	r.sendAll(ctx, callCtx)
	timer := time.AfterFunc(r.Drain, cancel)
	defer timer.Stop()
	r.waitIdle()
	stopBackground()
	background.Wait()
	return r.Recorder.Report(), nil
}

// sendAll sends each arrival at its time.
func (r *Run) sendAll(ctx, callCtx context.Context) {
	for arrival := range r.Plan.Arrivals() {
		if !sleepUntil(ctx, r.startedAt.Add(arrival.At)) {
			return
		}
		err := r.pool.Submit(func() { r.send(callCtx, arrival) })
		if errors.Is(err, ants.ErrPoolOverload) {
			r.Recorder.Skip()
		}
	}
	sleepUntil(ctx, r.startedAt.Add(r.Plan.Duration))
}

// send makes the call of an arrival and records it.
func (r *Run) send(ctx context.Context, arrival plan.Arrival) {
	stream := r.Recorder.Open(arrival, time.Now())
	outcome := r.Caller.Do(ctx, arrival, stream)
	stream.Close(outcome, time.Now())
}

// waitIdle waits until no call is open.
func (r *Run) waitIdle() {
	for r.pool.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// injectFaults injects each fault at its time.
func (r *Run) injectFaults(ctx context.Context) {
	for _, f := range r.Faults {
		if !sleepUntil(ctx, r.startedAt.Add(f.At)) {
			return
		}
		r.Recorder.RecordFault(f.String(), time.Now())
		if err := f.Inject(ctx); err != nil {
			fmt.Fprintf(r.Log, "fsload: fault %s: %v\n", f, err)
		}
	}
}

// logProgress writes progress lines until the context ends.
func (r *Run) logProgress(ctx context.Context) {
	if r.Progress == 0 {
		return
	}
	tick := time.NewTicker(r.Progress)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			report := r.Recorder.Report()
			fmt.Fprintf(r.Log, "fsload: %s of %s, open %d, whole %d, refused %d, bad %d\n",
				time.Since(r.startedAt).Round(time.Second), r.Plan.Duration, r.pool.Running(),
				report.Complete, report.Refused, report.Failed+report.Lost+report.Wrong)
		}
	}
}

// sleepUntil waits until a time. It reports false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
