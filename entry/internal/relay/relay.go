// Package relay carries a model request: it chooses a chain, checks each
// frame of the answer, and goes on with another chain when one fails.
package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"fuchsiashelf.dev/entry/internal/guard"
	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/frame"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Relay carries model requests. Set the exported fields before first use.
type Relay struct {
	View   *view.Holder
	Engine *engine.Client
	// Guard keeps requests that crash servers from going on; nil lets all.
	Guard *guard.Guard
	Trace *trace.Line
	Log   *slog.Logger
}

// Ask is a model request of a caller.
type Ask struct {
	Request string
	Team    string
	Pool    pool.Pool
	Prompt  string
	Max     int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Sink receives the tokens of an answer, in order and each once.
type Sink interface {
	Token(index int, text string) error
}

// maxAttempts bounds the chains that one request is sent to.
const maxAttempts = 6

// suspectFor is how long a server that failed is avoided.
const suspectFor = 2 * time.Second

// Run carries a request and returns the number of tokens, or the error that
// the caller is to see.
func (r *Relay) Run(ctx context.Context, ask *Ask, sink Sink) (int, *fault.Error) {
	ctx, cancel := context.WithDeadline(ctx, ask.Deadline)
	defer cancel()
	suspicion, e := r.Guard.Begin(ask.Request, ask.Team, ask.Pool.Name, ask.Pool.Model, ask.Prompt)
	if e != nil {
		return 0, e
	}
	defer suspicion.Close()
	c := &carry{Relay: r, ask: ask, sink: sink, suspicion: suspicion, verdict: fault.NotRun}
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		e := c.attempt(ctx, attempt)
		if e == nil {
			return len(c.sent), nil
		}
		c.last = e
		c.verdict = c.verdict.Weaken(e.Verdict)
		if !c.again(ctx, e) {
			break
		}
		r.Trace.Add("relay", ask.Request, "attempt failed: "+e.Error())
	}
	c.last.Verdict = c.verdict
	return len(c.sent), c.last
}

// carry is the state of one request over its attempts.
type carry struct {
	*Relay
	ask  *Ask
	sink Sink
	// suspicion is what the guard knows of this request.
	suspicion *guard.Case
	sent      []string
	// began is how many tokens had been sent when the attempt began.
	began   int
	verdict fault.Verdict
	last    *fault.Error
}

// again reports whether another chain may help.
func (c *carry) again(ctx context.Context, e *fault.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch e.Code {
	case fault.ServerFailed, fault.ServerRefused, fault.BrokenAnswer:
		return true
	}
	return false
}

func (c *carry) attempt(ctx context.Context, attempt int) *fault.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.began = len(c.sent)
	var stages []engine.Stage
	e := c.suspicion.Admit(ctx, func() (_ []string, e *fault.Error) {
		stages, e = c.choose(c.View.Load())
		return names(stages), e
	})
	if e != nil {
		return e
	}
	names := names(stages)
	if !c.View.Enter(names...) {
		return &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "a server is leaving"}
	}
	defer c.View.Leave(names...)
	stream, err := c.Engine.Generate(ctx, &engine.Ask{
		Request: c.ask.Request, Attempt: attempt, Model: c.ask.Pool.Model,
		Prompt: c.ask.Prompt, Sent: c.sent, Max: c.ask.Max,
		DeadlineMs: c.ask.Deadline.UnixMilli(), Chain: stages,
	})
	if err != nil {
		return c.failed(ctx, fault.As(err), stages)
	}
	defer stream.Close()
	check := &frame.Check{
		Request: c.ask.Request, Attempt: attempt,
		Layers: c.ask.Pool.Layers, Index: len(c.sent),
	}
	return c.failed(ctx, c.copy(stream, check), stages)
}

// names returns the servers of a chain.
func names(stages []engine.Stage) []string {
	all := make([]string, len(stages))
	for i, s := range stages {
		all[i] = s.Server
	}
	return all
}

func (c *carry) choose(snap *view.Snapshot) ([]engine.Stage, *fault.Error) {
	var usable []host.Host
	for _, name := range c.ask.Pool.Servers {
		h, listed := snap.Hosts[name]
		_, out := snap.Out[name]
		if listed && !out {
			usable = append(usable, h)
		}
	}
	g, err := chain.Make(c.ask.Pool.Layers, usable)
	if err != nil {
		return nil, fault.As(err)
	}
	now := time.Now()
	p := &pick.Picker{
		Meters: snap.Meters,
		Avoid:  func(name string) bool { return now.Before(snap.Suspects[name]) },
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	return p.Chain(g), nil
}

// copy passes tokens on until the answer is whole or the attempt fails.
func (c *carry) copy(stream *engine.Stream, check *frame.Check) *fault.Error {
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
			c.observe(&f)
			c.suspicion.Token()
			c.sent = append(c.sent, f.Token)
			if err := c.sink.Token(f.Index, f.Token); err != nil {
				return &fault.Error{Code: fault.Cancelled, Cause: err}
			}
		case frame.End:
			return nil
		case frame.Failed, frame.Broken:
			return e
		}
	}
}

func (c *carry) observe(f *engine.Frame) {
	snap := c.View.Load()
	for _, s := range f.Spans {
		if m := snap.Meters[s.Server]; m != nil {
			m.ObserveGap(time.Duration(s.RunUs) * time.Microsecond)
		}
	}
}

// failed marks the server that an error points to, so that the next attempt
// avoids it.
func (c *carry) failed(ctx context.Context, e *fault.Error, stages []engine.Stage) *fault.Error {
	if e == nil {
		return nil
	}
	if ctx.Err() != nil {
		return &fault.Error{Code: fault.Deadline, Verdict: e.Verdict, Cause: ctx.Err()}
	}
	name := e.Server
	if name == "" {
		name = stages[0].Server
	}
	if e.Code != fault.Cancelled {
		c.View.Update(func(s *view.Snapshot) {
			s.Suspects = view.Edit(s.Suspects, func(m map[string]time.Time) {
				m[name] = time.Now().Add(suspectFor)
			})
		})
	}
	// A server that never got the request did not die of it.
	if e.Verdict != fault.NotRun && (e.Code == fault.ServerFailed || e.Code == fault.BrokenAnswer) {
		if final := c.suspicion.Failed(ctx, name, address(stages, name), len(c.sent) > c.began); final != nil {
			return final
		}
	}
	return e
}

// address returns the address of a server of the chain.
func address(stages []engine.Stage, server string) string {
	for _, s := range stages {
		if s.Server == server {
			return s.Address
		}
	}
	return ""
}
