// Package drive runs a load run: it sends each shot of a plan at its time and
// begins each fault at its time.
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
	Plan   *plan.Plan
	Caller *call.Caller
	Tally  *stats.Recorder
	Faults []chaos.Fault
	// MaxOpen is the most calls open at once; a shot beyond is skipped and
	// counted as such, so that a system that stands still can't exhaust the
	// machine.
	MaxOpen int
	// Drain is the longest wait for open calls after the last shot.
	Drain time.Duration
	// Progress is the pause between progress lines; zero means none.
	Progress time.Duration
	// Log gets the progress lines.
	Log io.Writer

	pool  *ants.Pool
	began time.Time
}

// Do runs until all calls are answered, the time is up or the context ends.
func (r *Run) Do(ctx context.Context) (*stats.Report, error) {
	pool, err := ants.NewPool(r.MaxOpen, ants.WithNonblocking(true), ants.WithPreAlloc(false))
	if err != nil {
		return nil, err
	}
	r.pool = pool
	defer r.pool.Release()
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	r.began = time.Now()
	r.Tally.Start(r.began)
	var side sync.WaitGroup
	aside, stopAside := context.WithCancel(ctx)
	side.Go(func() { r.strike(aside) })
	side.Go(func() { r.report(aside) })
	r.shoot(ctx, calls)
	timer := time.AfterFunc(r.Drain, cancel)
	defer timer.Stop()
	r.wait()
	stopAside()
	side.Wait()
	return r.Tally.Report(), nil
}

// shoot sends the shots, each at its time.
func (r *Run) shoot(ctx, calls context.Context) {
	for shot := range r.Plan.Arrivals() {
		if !until(ctx, r.began.Add(shot.At)) {
			return
		}
		err := r.pool.Submit(func() { r.one(calls, shot) })
		if errors.Is(err, ants.ErrPoolOverload) {
			r.Tally.Skip()
		}
	}
	until(ctx, r.began.Add(r.Plan.Duration))
}

func (r *Run) one(ctx context.Context, shot plan.Arrival) {
	s := r.Tally.Open(shot, time.Now())
	o := r.Caller.Do(ctx, shot, s)
	s.Close(o, time.Now())
}

// wait returns when no call is open.
func (r *Run) wait() {
	for r.pool.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// strike begins the faults.
func (r *Run) strike(ctx context.Context) {
	for _, s := range r.Faults {
		if !until(ctx, r.began.Add(s.At)) {
			return
		}
		r.Tally.Fault(s.String(), time.Now())
		if err := s.Inject(ctx); err != nil {
			fmt.Fprintf(r.Log, "fsload: fault %s: %v\n", s, err)
		}
	}
}

// report writes progress lines.
func (r *Run) report(ctx context.Context) {
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
			now := r.Tally.Report()
			fmt.Fprintf(r.Log, "fsload: %s of %s, open %d, whole %d, refused %d, bad %d\n",
				time.Since(r.began).Round(time.Second), r.Plan.Duration, r.pool.Running(),
				now.Complete, now.Refused, now.Failed+now.Lost+now.Wrong)
		}
	}
}

// until waits for a moment, and reports false if the context ended first.
func until(ctx context.Context, at time.Time) bool {
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
