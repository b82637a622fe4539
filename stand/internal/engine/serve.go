package engine

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	wire "fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/stand/token"
)

// Routes adds the calls of an engine.
func (e *Engine) Routes(h *server.Hertz) {
	e.start()
	h.POST("/v1/generate", e.generate)
	h.POST("/v1/steps", e.steps)
	h.POST("/v1/orders", e.order)
	h.GET("/v1/orders", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, e.orders.list())
	})
	h.GET("/v1/status", func(ctx context.Context, c *app.RequestContext) {
		if e.thawed(ctx) == nil {
			c.JSON(200, e.lagged())
		}
	})
}

// Control adds the calls of the control listener.
func (e *Engine) Control(h *server.Hertz) {
	e.Faults.Routes(h)
	h.GET("/counts", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, e.Counts())
	})
}

func (e *Engine) generate(ctx context.Context, c *app.RequestContext) {
	var ask wire.Request
	if err := json.Unmarshal(c.Request.Body(), &ask); err != nil || len(ask.Chain) == 0 {
		c.String(400, "bad request: %v", err)
		return
	}
	if e.thawed(ctx) != nil {
		return
	}
	first := step{Request: ask.RequestID, Attempt: ask.Attempt, Prompt: ask.Prompt}
	if err := e.admit(&first); err != nil {
		c.Header(wire.NotRunHeader, wire.Leaving)
		c.String(503, wire.Leaving)
		return
	}
	e.count.inFlight.Add(1)
	defer e.count.inFlight.Add(-1)
	c.Header("Content-Type", "application/x-ndjson")
	c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
	a := &answer{Engine: e, ask: &ask, w: writer{c}}
	if err := a.run(ctx); err != nil {
		e.count.cancelled.Add(1)
	}
}

// answer is one stream of tokens.
type answer struct {
	*Engine
	ask *wire.Request
	w   writer
	// pair is set while this stream is swapped with another.
	pair *side
}

// run streams the answer. It fails only if the reader has left.
func (a *answer) run(ctx context.Context) error {
	if _, on := a.Faults.Active(SwapStreams); on {
		a.pair = a.swap.join(ctx)
	}
	if a.pair != nil {
		defer close(a.pair.left)
	}
	sent := len(a.ask.Sent)
	read := len(strings.Fields(a.ask.Prompt)) + sent
	for index := sent; index < a.ask.Max; index++ {
		if a.closes(index - sent) {
			return nil
		}
		out, err := a.Engine.run(ctx, step{
			Request: a.ask.RequestID, Attempt: a.ask.Attempt, Index: index, Prompt: a.ask.Prompt,
			Priority: a.ask.Priority, Read: read, State: token.Start(a.ask.Prompt, index), Rest: a.ask.Chain,
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			f := a.blame(err)
			return a.send(ctx, wire.Frame{Fail: &wire.Failure{Server: f.Server, Message: f.What, Refused: f.Refused}})
		}
		read = 0
		if err := a.send(ctx, wire.Frame{Index: index, Token: out.State.Token(), Spans: out.Spans}); err != nil {
			return err
		}
	}
	if _, on := a.Faults.Trigger(OmitEnd); on {
		return nil
	}
	return a.send(ctx, wire.Frame{End: true, Count: a.ask.Max})
}

// send writes a frame of this answer, or what a fault makes of it.
func (a *answer) send(ctx context.Context, f wire.Frame) error {
	f.Request, f.Attempt = a.ask.RequestID, a.ask.Attempt
	if a.pair != nil {
		f = a.pair.trade(ctx, f)
	}
	if err := a.strays(a.w, f); err != nil {
		return err
	}
	return a.w.write(&f)
}

func (e *Engine) steps(ctx context.Context, c *app.RequestContext) {
	var s step
	if err := json.Unmarshal(c.Request.Body(), &s); err != nil || len(s.Rest) == 0 {
		c.String(400, "bad step: %v", err)
		return
	}
	if e.thawed(ctx) != nil {
		return
	}
	e.count.inFlight.Add(1)
	defer e.count.inFlight.Add(-1)
	err := e.admit(&s)
	if err != nil {
		c.JSON(502, e.blame(err))
		return
	}
	out, err := e.run(ctx, s)
	if err != nil {
		c.JSON(502, e.blame(err))
		return
	}
	c.JSON(200, out)
}

// writer writes frames, each at once.
type writer struct{ c *app.RequestContext }

func (w writer) write(f *wire.Frame) error {
	line, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if _, err := w.c.Write(append(line, '\n')); err != nil {
		return err
	}
	return w.c.Flush()
}
