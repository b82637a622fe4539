package unary

import (
	"cmp"
	"context"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/caller"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/stall"
)

// recheckInterval is the interval at which a request whose servers are all silent looks for another
// one: servers recover, and the retry budget grows.
const recheckInterval = 100 * time.Millisecond

// flight is an attempt in flight. It belongs to the goroutine of the request, except for what
// recordBytes changes.
type flight struct {
	server *fleet.Server
	grant  grant
	sentAt time.Time
	cancel context.CancelFunc
	clock  *stall.Clock
	stats  *Stats
	// timeout is how long the server may be silent before another attempt starts beside this one.
	timeout time.Duration
	// done ends the record of the attempt in Stats.
	done func(took time.Duration, failed bool)
	// heard is the reading of the clock when the last bytes of the response arrived, or when the
	// attempt began.
	heard atomic.Int64
	// answered says that the header of the response has arrived.
	answered atomic.Bool
	// overdue says that the attempt has been silent for too long, which has been recorded.
	overdue bool
	// outcome is set when the attempt has ended.
	outcome attempt
}

// recordBytes records that bytes of the response have arrived.
func (t *flight) recordBytes() {
	t.heard.Store(int64(t.clock.Mark().Ran))
	t.answered.Store(true)
	t.stats.Heard(t.server.ID, t.timeout)
}

// silence returns how long the server has sent nothing to this request, while this process ran. It
// starts anew when the server has answered others after a silence: its backlog takes a while.
func (t *flight) silence() time.Duration {
	silence := t.clock.Mark().Ran - time.Duration(t.heard.Load())
	return min(silence, time.Since(t.stats.RecoveredAt(t.server.ID)))
}

// recordingReader reads a response and records when bytes arrive.
type recordingReader struct {
	io.Reader
	flight *flight
}

// Read implements io.Reader.
func (r recordingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.flight.recordBytes()
	}
	return n, err
}

// start starts an attempt with the capacity that the request has taken for it.
func (r *request) start(ctx context.Context, server *fleet.Server) {
	r.out.Server = server.ID
	ctx, cancel := context.WithCancel(ctx)
	t := &flight{server: server, grant: r.admission.grant, sentAt: time.Now(), cancel: cancel, clock: r.Clock, stats: r.Stats, timeout: r.silenceTimeout(), done: r.Stats.Begin(server.ID)}
	t.heard.Store(int64(r.Clock.Mark().Ran))
	r.admission.grant = grant{}
	r.flights = append(r.flights, t)
	f, j, ended := r.Forwarder, r.job, r.ended
	j.Caller.Add(caller.AttemptBegun, server.ID)
	go func() {
		t.outcome = f.exchange(ctx, j, t)
		j.Caller.Add(caller.AttemptEnded, server.ID)
		ended <- t
	}()
}

// next waits until an attempt ends. Meanwhile it starts others beside those that are silent.
func (r *request) next(ctx context.Context) *flight {
	var readAll chan struct{}
	for {
		var timer <-chan time.Time
		if readAll == nil && r.mayAdd() {
			timer = time.After(r.nextCheck())
		}
		select {
		case t := <-r.ended:
			r.flights = slices.DeleteFunc(r.flights, func(other *flight) bool { return other == t })
			return t
		case <-timer:
			readAll = make(chan struct{})
			r.Clock.AfterReads(func() { close(readAll) })
		case <-readAll:
			readAll = nil
			r.checkSilence(ctx)
		}
	}
}

// mayAdd reports whether the route allows another attempt beside those in flight.
func (r *request) mayAdd() bool {
	j := r.job
	return j.Route.Repeatable() && j.Route.Target > 0 && r.out.Sends+len(r.flights) < j.Route.Attempts
}

// silenceTimeout returns how long an attempt may be silent before another one starts beside it.
func (r *request) silenceTimeout() time.Duration {
	return time.Duration(silenceShare * float64(r.job.Route.Target))
}

// nextCheck returns the time until the next check of the silence of the attempts.
func (r *request) nextCheck() time.Duration {
	var wait time.Duration
	for _, t := range r.flights {
		if left := t.timeout - t.silence(); left > 0 && (wait == 0 || left < wait) {
			wait = left
		}
	}
	return cmp.Or(wait, recheckInterval)
}

// checkSilence records the attempts that are silent for too long. If all are, it starts another one,
// if that is allowed and a server is likely to answer.
func (r *request) checkSilence(ctx context.Context) {
	if ctx.Err() != nil || r.job.Caller.Left() {
		return
	}
	silent := 0
	for _, t := range r.flights {
		if t.silence() < t.timeout {
			continue
		}
		silent++
		if !t.overdue {
			t.overdue = true
			r.recordSilence(t)
		}
	}
	// A silent server may be about to fail, as those counted in Unanswered have.
	if silent < len(r.flights) || !r.mayAdd() || int(r.job.Unanswered.Load())+silent >= call.MaxUnanswered || r.blocked(r.job) {
		return
	}
	server := r.chooseBeside()
	if server == nil {
		return
	}
	if !r.budget.Withdraw(time.Now()) {
		r.Limits.Return(server.ID)
		delete(r.tried, server.Address)
		r.admission.refund()
		return
	}
	r.start(ctx, server)
}

// recordSilence records that a server is silent, and starts a probe.
func (r *request) recordSilence(t *flight) {
	r.Stats.Record(t.server.ID, time.Since(t.sentAt), true)
	r.Servers.Pool.CloseIdle(t.server.Address)
	r.job.Sent = t.sentAt
	r.Probe(r.job, t.server, false, errSilent.Error())
}

// conclude records what follows from the outcome of an attempt. It reports whether anything was
// sent: a server that requests a pause is skipped.
func (r *request) conclude(ctx context.Context, t *flight) (a attempt, sent bool) {
	a = t.outcome
	if a.rest == nil {
		t.cancel()
	}
	t.grant.settle(t.server, a)
	if a.err != nil || a.failed() {
		t.grant.ticket.End()
	}
	if a.unsent() {
		r.Stats.Cancel(t.server.ID)
		r.Limits.Return(t.server.ID)
		r.skipped = append(r.skipped, t.server)
		return a, false
	}
	r.last = t
	r.recordOutcome(ctx, t, a)
	if a.err == nil || a.err.Verdict != fault.NotRun || a.reply.Status != 0 {
		r.out.Sends++
	}
	if a.err != nil {
		r.verdict = r.verdict.Weaken(a.err.Verdict)
	}
	if a.refused() {
		r.refused = append(r.refused, t.server)
	}
	return a, true
}

// recordOutcome records the duration and the outcome of an attempt. If the server did not respond
// with a whole answer, it closes the idle connections to it and starts a probe.
func (r *request) recordOutcome(ctx context.Context, t *flight, a attempt) {
	failed := a.err != nil && !call.CallerGone(ctx) || a.err == nil && a.failed()
	if t.overdue {
		r.Stats.Cancel(t.server.ID)
	} else {
		t.done(time.Since(t.sentAt), failed)
	}
	if a.err != nil && (a.reply.Status == 0 || a.err.Code == fault.InvalidResponse) && ctx.Err() == nil {
		r.Servers.Pool.CloseIdle(t.server.Address)
		r.job.Sent = t.sentAt
		r.Probe(r.job, t.server, a.err.Verdict != fault.NotRun, a.err.Error())
	}
}

// use writes the response of an attempt to the caller, and ends the other attempts.
func (r *request) use(t *flight, a attempt) call.Outcome {
	defer t.grant.ticket.End()
	r.endOthers(t)
	return r.writeResponse(r.w, r.out, r.job, a)
}

// endOthers ends all attempts in flight, in place of which the response of another is used.
func (r *request) endOthers(used *flight) {
	others := r.flights
	if len(others) == 0 {
		return
	}
	r.flights = nil
	r.out.Sends += len(others)
	for _, t := range others {
		r.logReplaced(t, used)
		t.cancel()
	}
	f, ended := r.Forwarder, r.ended
	go func() {
		for range others {
			f.discard(<-ended)
		}
	}()
}

// discard frees what an attempt holds that was ended by this host.
func (f *Forwarder) discard(t *flight) {
	a := t.outcome
	f.Stats.Cancel(t.server.ID)
	if a.rest != nil {
		a.rest.Close()
		a.release()
	}
	if a.unsent() {
		f.Limits.Return(t.server.ID)
	}
	t.grant.settle(t.server, a)
	t.grant.ticket.End()
}
