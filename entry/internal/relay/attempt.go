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

// attempt sends the request to one chain and passes its tokens on.
func (c *carry) attempt(parent context.Context) *fault.Error {
	attempts.Inc(1)
	e := c.suspicion.Admit(parent, func() ([]string, *fault.Error) {
		e := c.choose(c.View.Load(), time.Now())
		return names(c.stages), e
	})
	if e != nil {
		return e
	}
	now := time.Now()
	names := names(c.stages)
	if !c.View.Acquire(names...) {
		return &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "a server is leaving"}
	}
	defer c.View.Release(names...)
	c.state.inFlight.Add(1)
	defer c.state.inFlight.Add(-1)
	// Ending the context closes the connection, which cancels the attempt on
	// its servers at once: a chain that was given up must not go on running.
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	w := c.watch(cancel, now)
	defer w.stop()
	had := len(c.sent)
	e = c.stream(ctx, w, now)
	c.earn(w, len(c.sent)-had)
	if e == nil {
		return nil
	}
	if c.failedAt.IsZero() {
		c.failedAt = time.Now()
	}
	if parent.Err() != nil {
		return ended(parent, e)
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		e = &fault.Error{Code: fault.ServerFailed, Cause: cause}
	}
	c.blame(e, w)
	return c.crashed(parent, e, len(c.sent) > had)
}

// crashed tells the guard of a server that may have died of this request, and
// returns the final answer if the request must not go on. A server that never
// got the request did not die of it, and one that hangs has not died.
func (c *carry) crashed(ctx context.Context, e *fault.Error, progressed bool) *fault.Error {
	if e.Verdict == fault.NotRun || errors.Is(e.Cause, errSilent) {
		return e
	}
	if e.Code != fault.ServerFailed && e.Code != fault.BrokenAnswer {
		return e
	}
	for i := range c.stages {
		if c.stages[i].Server != e.Server {
			continue
		}
		if final := c.suspicion.AttemptFailed(ctx, e.Server, c.stages[i].Address, progressed); final != nil {
			return final
		}
	}
	return e
}

// names returns the servers of a chain.
func names(stages []engine.Stage) []string {
	all := make([]string, len(stages))
	for i, s := range stages {
		all[i] = s.Server
	}
	return all
}

// ended is the error of a request whose caller left or stopped waiting.
func ended(ctx context.Context, e *fault.Error) *fault.Error {
	code := fault.Cancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = fault.Deadline
	}
	return &fault.Error{Code: code, Verdict: e.Verdict, Message: "no whole answer came in time", Cause: ctx.Err()}
}

func (c *carry) stream(ctx context.Context, w *watch, began time.Time) *fault.Error {
	stream, err := c.Engine.Generate(ctx, &engine.Request{
		RequestID: c.ask.ID, Attempt: c.number, Model: c.ask.Pool.Model,
		Prompt: c.ask.Prompt, Sent: c.sent, Max: c.ask.MaxTokens,
		DeadlineMs: c.ask.Deadline.UnixMilli(), Priority: c.ask.Priority, Chain: c.stages,
	})
	if err != nil {
		return fault.As(err)
	}
	defer stream.Close()
	check := &frame.Validator{
		Request: c.ask.ID, Attempt: c.number, Layers: c.ask.Pool.Layers,
		Chain: c.stages, Index: len(c.sent),
	}
	return c.copy(stream, check, w, began)
}

// copy passes tokens on until the answer is whole or the attempt fails.
func (c *carry) copy(stream *engine.Stream, check *frame.Validator, w *watch, last time.Time) *fault.Error {
	first := true
	for {
		f, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return &fault.Error{Code: fault.BrokenAnswer, Message: "the stream ended without an end frame"}
		}
		if err != nil {
			return &fault.Error{Code: fault.ServerFailed, Cause: err}
		}
		verdict, e := check.Next(&f)
		switch verdict {
		case frame.Drop:
			continue
		case frame.Token:
			now := time.Now()
			c.observe(&f, w, now, now.Sub(last), first)
			first = false
			if e := c.pass(&f, w); e != nil {
				return e
			}
			last = time.Now()
			w.token(last)
		case frame.End:
			return nil
		case frame.Failed, frame.Invalid:
			return e
		}
	}
}

// pass gives the caller a token. While the caller is slow to read, the chain
// is not listened to, and its silence says nothing.
func (c *carry) pass(f *engine.Frame, w *watch) *fault.Error {
	w.pause()
	c.suspicion.Progressed()
	c.sent = append(c.sent, f.Token)
	if err := c.sink.Token(f.Index, f.Token); err != nil {
		return &fault.Error{Code: fault.Cancelled, Cause: err}
	}
	return nil
}

// observe folds the figures of a token into the meters. The spans are those
// of the chain; the check saw to that.
func (c *carry) observe(f *engine.Frame, w *watch, now time.Time, gap time.Duration, first bool) {
	if !c.failedAt.IsZero() {
		recovery.UpdateSince(c.failedAt)
		c.failedAt = time.Time{}
	}
	if first {
		c.state.usual.ObserveFirstToken(c.length(), gap)
	} else {
		w.gaps.Observe(gap)
	}
	at := now.UnixNano()
	for i := range f.Spans {
		s, hop := &f.Spans[i], &c.hops[i]
		hop.Meter.Observe(at, time.Duration(s.RunUs)*time.Microsecond, time.Duration(s.WaitUs)*time.Microsecond)
		if hop.Link != nil {
			hop.Link.Observe(time.Duration(s.LinkUs) * time.Microsecond)
		}
	}
}

// length is how much an attempt has to read before its first token, in bytes.
func (c *carry) length() int {
	length := len(c.ask.Prompt)
	for _, token := range c.sent {
		length += len(token)
	}
	return length
}

// earn books the tokens of an attempt.
func (c *carry) earn(w *watch, tokens int) {
	if tokens == 0 {
		return
	}
	relayed.Inc(int64(tokens))
	c.state.budget.Deposit(tokens, c.state.inFlight.Load())
	c.state.usual.ObserveGaps(w.gaps)
}

// limits of the first token of an attempt.
func (c *carry) firstLimits() retry.Timeouts {
	return c.state.usual.FirstToken(c.length())
}
