package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/frame"
	"fuchsiashelf.dev/parts/httpd"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/stall"
)

// attempt is one try of a request on a chain.
type attempt struct {
	*delivery
	// number is the number of the attempt, from 1.
	number int
	// hops and stages describe the chain.
	hops   []pick.Hop
	stages []engine.Stage
	// startedAt is when the attempt started.
	startedAt stall.Mark
	ctx       context.Context
	cancel    context.CancelCauseFunc
	monitor   *monitor
	// sentBefore are the tokens that the caller had when the attempt started, and tokens
	// counts those that the attempt has sent.
	sentBefore []string
	tokens     int
	// replaced says that another attempt has gone on; the mutex of the delivery guards it.
	replaced bool
	// reachedAt is when connections to the servers were last tried.
	reachedAt time.Time
	// unreached counts the connections to each silent server that have failed in a row.
	unreached map[string]*atomic.Int32
	// err is the error of the attempt after its end.
	err *fault.Error
}

// String returns the number and the servers of an attempt.
func (a *attempt) String() string {
	return fmt.Sprintf("attempt %d on %s", a.number, strings.Join(serverNames(a.stages), ","))
}

// start starts an attempt, on the chain of a candidate if there is one.
func (d *delivery) start(ctx context.Context, c *candidate) *fault.Error {
	if httpd.ClientLeft(d.caller) {
		return &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "the caller has left"}
	}
	d.started++
	attempts.Inc(1)
	a := &attempt{delivery: d, number: d.started}
	e := d.crashTracker.Admit(ctx, func() ([]string, *fault.Error) {
		var e *fault.Error
		if c != nil {
			a.hops, a.stages, c = c.hops, c.stages, nil
		} else {
			e = a.pickChain(d.View.Load(), time.Now())
		}
		return serverNames(a.stages), e
	})
	if e != nil {
		return e
	}
	if !d.View.Acquire(serverNames(a.stages)...) {
		return &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "a server is leaving"}
	}
	d.pool.inFlight.Add(1)
	a.startedAt = d.Clock.Mark()
	// Cancelling the context closes the connection, which cancels the attempt
	// on its servers at once: an abandoned chain must not keep running.
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	d.mu.Lock()
	a.sentBefore = slices.Clip(d.sent)
	a.monitor = a.startMonitor(a.inputLength())
	d.running = append(d.running, a)
	beside := len(d.running) > 1
	d.mu.Unlock()
	if beside {
		d.record(a.String() + " begins beside the silent ones")
	}
	d.active++
	go a.run()
	return nil
}

// run sends the request and forwards the tokens of its response to the caller.
func (a *attempt) run() {
	a.err = a.stream()
	a.monitor.stop()
	a.recordTokens()
	a.pool.inFlight.Add(-1)
	a.View.Release(serverNames(a.stages)...)
	a.ended <- a
}

// fail handles the failure of an attempt, and returns its error.
func (a *attempt) fail(parent context.Context) *fault.Error {
	e := a.err
	a.last = a
	a.mu.Lock()
	if a.failedAt.IsZero() {
		a.failedAt = time.Now()
	}
	a.mu.Unlock()
	if parent.Err() != nil {
		return cancelError(parent, e)
	}
	if cause := context.Cause(a.ctx); cause != nil {
		e = &fault.Error{Code: fault.ServerFailed, Cause: cause}
		// No other chain was found in all that time.
		a.exhausted = a.exhausted || errors.Is(cause, errUnreachable) && len(a.attempts()) == 0
	}
	a.suspectCause(e)
	return a.reportCrash(parent, e)
}

// reportCrash reports to the guard that this request may have crashed a server,
// and returns the final error if the request must not be retried. A server that
// never got the request, or that hangs, has not crashed and is not reported.
func (a *attempt) reportCrash(ctx context.Context, e *fault.Error) *fault.Error {
	if e.Verdict == fault.NotRun || errors.Is(e.Cause, errSilent) {
		return e
	}
	if e.Code != fault.ServerFailed && e.Code != fault.InvalidResponse {
		return e
	}
	for i := range a.stages {
		if a.stages[i].Server != e.Server {
			continue
		}
		if final := a.crashTracker.AttemptFailed(ctx, e.Server, a.stages[i].Address, a.startedAt.At, a.tokens > 0); final != nil {
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

// stream sends the request to the chain and copies the response to the caller.
func (a *attempt) stream() *fault.Error {
	stream, err := a.Engine.Generate(a.ctx, &engine.Request{
		RequestID: a.req.ID, Attempt: a.number, Model: a.req.Pool.Model,
		Prompt: a.req.Prompt, Sent: a.sentBefore, Max: a.req.MaxTokens,
		DeadlineMs: a.req.Deadline.UnixMilli(), Priority: a.req.Priority, Chain: a.stages,
	})
	if err != nil {
		return fault.As(err)
	}
	defer stream.Close()
	validator := &frame.Validator{
		Request: a.req.ID, Attempt: a.number, Layers: a.req.Pool.Layers,
		Chain: a.stages, Index: len(a.sentBefore),
	}
	return a.copyTokens(stream, validator)
}

// copyTokens forwards tokens to the caller until the response is complete or the
// attempt fails.
func (a *attempt) copyTokens(stream *engine.Stream, validator *frame.Validator) *fault.Error {
	last := a.startedAt.At
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
			if e := a.deliver(&f, last); e != nil {
				return e
			}
			last = time.Now()
			a.monitor.recordToken()
		case frame.End:
			return a.complete()
		case frame.Failed, frame.Invalid:
			return e
		}
	}
}

// deliver writes a token to the caller, and cancels all other attempts. The monitor is
// paused during the write: the stream is not read then, so a gap between tokens would not
// mean that the chain is silent.
func (a *attempt) deliver(f *engine.Frame, last time.Time) *fault.Error {
	now := time.Now()
	a.monitor.pause()
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.claim(); e != nil {
		return e
	}
	a.observe(f, now, now.Sub(last))
	a.crashTracker.Progressed()
	a.tokens++
	a.sent = append(a.sent, f.Token)
	if err := a.sink.Token(f.Index, f.Token); err != nil {
		return &fault.Error{Code: fault.Cancelled, Cause: err}
	}
	return nil
}

// complete makes this attempt the one that completes the response.
func (a *attempt) complete() *fault.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.claim()
}

// claim makes this attempt the one that serves the caller, and cancels all others. It
// returns an error if another one has done so. The mutex is held.
func (a *attempt) claim() *fault.Error {
	if a.replaced {
		return &fault.Error{Code: fault.Cancelled, Cause: errReplaced}
	}
	if len(a.running) == 1 {
		return nil
	}
	for _, other := range a.running {
		if other != a {
			other.replace()
			a.Trace.Record("relay", a.req.ID, a.String()+" goes on, "+other.String()+" is closed")
		}
	}
	a.running = []*attempt{a}
	return nil
}

// replace cancels an attempt whose outcome no longer matters. The mutex is held.
func (a *attempt) replace() {
	a.replaced = true
	a.cancel(errReplaced)
}

// observe adds the timings of a token to the meters. The validator has checked
// that the spans match the chain, so that they index the hops. The mutex is held.
func (a *attempt) observe(f *engine.Frame, now time.Time, gap time.Duration) {
	if !a.failedAt.IsZero() {
		recovery.UpdateSince(a.failedAt)
		a.failedAt = time.Time{}
	}
	switch {
	case a.monitor.interrupted.Load():
		// A silence says nothing about the usual gaps.
	case a.tokens > 0:
		a.monitor.gaps.Observe(gap)
	default:
		a.pool.baseline.ObserveFirstToken(a.inputLength(), gap)
	}
	at := now.UnixNano()
	for i := range f.Spans {
		span, hop := &f.Spans[i], &a.hops[i]
		hop.Meter.Observe(at, time.Duration(span.RunUs)*time.Microsecond, time.Duration(span.WaitUs)*time.Microsecond)
		if hop.Link != nil {
			hop.Link.Observe(time.Duration(span.LinkUs) * time.Microsecond)
		}
	}
}

// inputLength returns the length in bytes of the input that a chain processes
// before its first token: the prompt and the tokens sent before.
func (a *attempt) inputLength() int {
	length := len(a.req.Prompt)
	for _, token := range a.sentBefore {
		length += len(token)
	}
	return length
}

// recordTokens counts the tokens of an attempt, deposits them in the retry
// budget, and adds the gaps between them to the pool's baseline.
func (a *attempt) recordTokens() {
	if a.tokens == 0 {
		return
	}
	tokenCount.Inc(int64(a.tokens))
	a.pool.budget.Deposit(a.tokens, a.pool.inFlight.Load())
	a.pool.baseline.ObserveGaps(a.monitor.gaps)
}
