package relay

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/retry"
)

// errSilent ends an attempt whose chain has sent nothing for too long.
var errSilent = errors.New("relay: the chain is silent")

// watch looks after the silence of one attempt. The stream only stores when
// its last token came; a timer looks from time to time, so that a token costs
// no timer.
type watch struct {
	relay  *Forwarder
	stages []engine.Stage
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// last is when the chain was last heard, in nanoseconds since the watch
	// began, or paused.
	last  atomic.Int64
	began time.Time
	// probeAt and silentAt are the limits of the next token. One of them may be
	// read before and one after a change, which does no harm.
	probeAt, silentAt atomic.Int64
	over              atomic.Bool
	// probes are the servers asked whether they are there. Only the timer
	// touches it before the attempt ends.
	probes atomic.Pointer[[]*probe]
	// gaps are the chain's own; only the stream touches them.
	gaps retry.Gaps
}

// paused stands for a last token in the far future.
const paused = math.MaxInt64 / 2

// watch begins to look after an attempt.
func (c *carry) watch(cancel context.CancelCauseFunc, now time.Time) *watch {
	limits := c.firstLimits()
	w := &watch{
		relay: c.Forwarder, stages: c.stages, cancel: cancel,
		began: now, gaps: c.state.usual.Gaps(),
	}
	w.limit(limits)
	// Started only once the field is set: look uses it.
	w.timer = time.AfterFunc(math.MaxInt64, w.look)
	w.timer.Reset(limits.Probe)
	return w
}

// token notes that a token came and was passed on.
func (w *watch) token(now time.Time) {
	w.limit(w.gaps.Timeouts())
	w.last.Store(int64(now.Sub(w.began)))
}

func (w *watch) limit(l retry.Timeouts) {
	w.probeAt.Store(int64(l.Probe))
	w.silentAt.Store(int64(l.Failure))
}

// pause stops the clock while the caller reads.
func (w *watch) pause() {
	w.last.Store(paused)
}

// stop ends the watch.
func (w *watch) stop() {
	w.over.Store(true)
	w.timer.Stop()
}

// look runs as the timer fires.
func (w *watch) look() {
	if w.over.Load() {
		return
	}
	limits := retry.Timeouts{
		Probe: time.Duration(w.probeAt.Load()), Failure: time.Duration(w.silentAt.Load()),
	}
	last := w.last.Load()
	if last == paused {
		w.probes.Store(nil)
		w.timer.Reset(limits.Probe)
		return
	}
	idle := time.Since(w.began) - time.Duration(last)
	phase, wait := limits.Next(idle, len(w.absent()) == 0)
	switch phase {
	case retry.Healthy:
		w.probes.Store(nil)
	case retry.Probing, retry.Stalled:
		if w.probes.Load() == nil {
			w.probe()
			wait = min(wait, retry.ProbeTimeout)
		}
	case retry.Failed:
		if w.probes.Load() == nil {
			// The timer came late; the servers are asked all the same, so that
			// none is blamed for it.
			w.probe()
			wait = retry.ProbeTimeout
			break
		}
		silent.Inc(1)
		w.cancel(errSilent)
		return
	}
	w.timer.Reset(max(wait, time.Millisecond))
}

func (w *watch) probe() {
	var probes []*probe
	for _, s := range w.stages {
		probes = append(probes, w.relay.ping(s.Server, s.Address))
	}
	w.probes.Store(&probes)
}

// absent returns the servers that were asked and have not answered.
func (w *watch) absent() []string {
	probes := w.probes.Load()
	if probes == nil {
		return nil
	}
	var names []string
	for _, p := range *probes {
		if p.asked.Load() && !p.answered.Load() {
			names = append(names, p.server)
		}
	}
	return names
}
