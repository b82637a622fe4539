package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/frame"
	"fuchsiashelf.dev/parts/retry"
)

// attempt sends the request to one chain and forwards its tokens to the caller.
func (d *delivery) attempt(parent context.Context) *fault.Error {
	attempts.Inc(1)
	e := d.crashTracker.Admit(parent, func() ([]string, *fault.Error) {
		e := d.pickChain(d.View.Load(), time.Now())
		return serverNames(d.stages), e
	})
	if e != nil {
		return e
	}
	d.startedAt = d.Clock.Mark()
	names := serverNames(d.stages)
	if !d.View.Acquire(names...) {
		return &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "a server is leaving"}
	}
	defer d.View.Release(names...)
	d.pool.inFlight.Add(1)
	defer d.pool.inFlight.Add(-1)
	// Cancelling the context closes the connection, which cancels the attempt
	// on its servers at once: an abandoned chain must not keep running.
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	m := d.startMonitor(cancel)
	defer m.stop()
	sentBefore := len(d.sent)
	e = d.stream(ctx, m, d.startedAt.At)
	d.recordTokens(m, len(d.sent)-sentBefore)
	if e == nil {
		return nil
	}
	if d.failedAt.IsZero() {
		d.failedAt = time.Now()
	}
	if parent.Err() != nil {
		return cancelError(parent, e)
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		e = &fault.Error{Code: fault.ServerFailed, Cause: cause}
		d.exhausted = m.exhausted.Load()
	}
	d.suspectCause(e, m)
	return d.reportCrash(parent, e, len(d.sent) > sentBefore)
}

// reportCrash reports to the guard that this request may have crashed a server,
// and returns the final error if the request must not be retried. A server that
// never got the request, or that hangs, has not crashed and is not reported.
func (d *delivery) reportCrash(ctx context.Context, e *fault.Error, progressed bool) *fault.Error {
	if e.Verdict == fault.NotRun || errors.Is(e.Cause, errSilent) {
		return e
	}
	if e.Code != fault.ServerFailed && e.Code != fault.InvalidResponse {
		return e
	}
	for i := range d.stages {
		if d.stages[i].Server != e.Server {
			continue
		}
		if final := d.crashTracker.AttemptFailed(ctx, e.Server, d.stages[i].Address, progressed); final != nil {
			return final
		}
	}
	return e
}

// serverNames returns the names of the servers of a chain.
func serverNames(stages []engine.Stage) []string {
	all := make([]string, len(stages))
	for i, s := range stages {
		all[i] = s.Server
	}
	return all
}

// cancelError returns the error of a request whose caller disconnected or whose
// deadline passed.
func cancelError(ctx context.Context, e *fault.Error) *fault.Error {
	code := fault.Cancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = fault.Deadline
	}
	return &fault.Error{Code: code, Verdict: e.Verdict, Message: "no whole answer came in time", Cause: ctx.Err()}
}

// stream starts the attempt on its chain and copies the response to the caller.
func (d *delivery) stream(ctx context.Context, m *monitor, startedAt time.Time) *fault.Error {
	stream, err := d.Engine.Generate(ctx, &engine.Request{
		RequestID: d.req.ID, Attempt: d.attemptNumber, Model: d.req.Pool.Model,
		Prompt: d.req.Prompt, Sent: d.sent, Max: d.req.MaxTokens,
		DeadlineMs: d.req.Deadline.UnixMilli(), Priority: d.req.Priority, Chain: d.stages,
	})
	if err != nil {
		return fault.As(err)
	}
	defer stream.Close()
	validator := &frame.Validator{
		Request: d.req.ID, Attempt: d.attemptNumber, Layers: d.req.Pool.Layers,
		Chain: d.stages, Index: len(d.sent),
	}
	return d.copyTokens(stream, validator, m, startedAt)
}

// copyTokens forwards tokens to the caller until the response is complete or the
// attempt fails. The gap before the first token is measured from last.
func (d *delivery) copyTokens(stream *engine.Stream, validator *frame.Validator, m *monitor, last time.Time) *fault.Error {
	first := true
	for {
		f, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return &fault.Error{Code: fault.InvalidResponse, Message: "the stream ended without an end frame"}
		}
		if err != nil {
			return &fault.Error{Code: fault.ServerFailed, Cause: err}
		}
		result, e := validator.Next(&f)
		switch result {
		case frame.Drop:
			continue
		case frame.Token:
			now := time.Now()
			d.observe(&f, m, now, now.Sub(last), first)
			first = false
			if e := d.deliver(&f, m); e != nil {
				return e
			}
			last = time.Now()
			m.recordToken()
		case frame.End:
			return nil
		case frame.Failed, frame.Invalid:
			return e
		}
	}
}

// deliver writes a token to the caller. The monitor is paused during the write:
// the stream is not read then, so a gap between tokens would not mean that the
// chain is silent.
func (d *delivery) deliver(f *engine.Frame, m *monitor) *fault.Error {
	m.pause()
	d.crashTracker.Progressed()
	d.sent = append(d.sent, f.Token)
	if err := d.sink.Token(f.Index, f.Token); err != nil {
		return &fault.Error{Code: fault.Cancelled, Cause: err}
	}
	return nil
}

// observe adds the timings of a token to the meters. The validator has checked
// that the spans match the chain, so that they index the hops.
func (d *delivery) observe(f *engine.Frame, m *monitor, now time.Time, gap time.Duration, first bool) {
	if !d.failedAt.IsZero() {
		recovery.UpdateSince(d.failedAt)
		d.failedAt = time.Time{}
	}
	if first {
		d.pool.baseline.ObserveFirstToken(d.inputLength(), gap)
	} else {
		m.gaps.Observe(gap)
	}
	at := now.UnixNano()
	for i := range f.Spans {
		span, hop := &f.Spans[i], &d.hops[i]
		hop.Meter.Observe(at, time.Duration(span.RunUs)*time.Microsecond, time.Duration(span.WaitUs)*time.Microsecond)
		if hop.Link != nil {
			hop.Link.Observe(time.Duration(span.LinkUs) * time.Microsecond)
		}
	}
}

// inputLength returns the length in bytes of the input that a chain processes
// before its first token: the prompt and the tokens sent so far.
func (d *delivery) inputLength() int {
	length := len(d.req.Prompt)
	for _, token := range d.sent {
		length += len(token)
	}
	return length
}

// recordTokens counts the tokens of an attempt, deposits them in the retry
// budget, and adds the gaps between them to the pool's baseline.
func (d *delivery) recordTokens(m *monitor, tokens int) {
	if tokens == 0 {
		return
	}
	tokenCount.Inc(int64(tokens))
	d.pool.budget.Deposit(tokens, d.pool.inFlight.Load())
	d.pool.baseline.ObserveGaps(m.gaps)
}

// firstTokenTimeouts returns the timeouts for the first token of an attempt.
func (d *delivery) firstTokenTimeouts() retry.Timeouts {
	return d.pool.baseline.FirstToken(d.inputLength())
}
