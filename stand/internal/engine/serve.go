package engine

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	wire "fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/stand/token"
)

// Routes adds the calls of an engine.
func (e *Engine) Routes(h *server.Hertz) {
	h.POST("/v1/generate", e.generate)
	h.POST("/v1/steps", e.steps)
	h.POST("/v1/orders", e.order)
	h.GET("/v1/orders", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, e.orders.list())
	})
	h.GET("/v1/status", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, e.Status())
	})
}

// Control adds the calls of the control listener.
func (e *Engine) Control(h *server.Hertz) {
	e.Faults.Routes(h)
	h.GET("/counts", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, map[string]int64{"runs": e.runs.Load(), "inFlight": e.inFlight.Load()})
	})
}

func (e *Engine) generate(ctx context.Context, c *app.RequestContext) {
	var ask wire.Ask
	if err := json.Unmarshal(c.Request.Body(), &ask); err != nil || len(ask.Chain) == 0 {
		c.String(400, "bad request: %v", err)
		return
	}
	if _, on := e.Faults.Strike(Refuse); on {
		c.Header(wire.NotRunHeader, "leaving")
		c.String(503, "leaving")
		return
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	c.Header("Content-Type", "application/x-ndjson")
	c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
	for index := len(ask.Sent); index < ask.Max; index++ {
		out, err := e.run(ctx, step{State: token.Start(ask.Prompt, index), Rest: ask.Chain})
		if err != nil {
			e.fail(c, &ask, err)
			return
		}
		f := wire.Frame{
			Request: ask.Request, Attempt: ask.Attempt, Index: index,
			Token: out.State.Text(), Spans: out.Spans,
		}
		if write(c, &f) != nil {
			return
		}
	}
	_ = write(c, &wire.Frame{Request: ask.Request, Attempt: ask.Attempt, End: true, Count: ask.Max})
}

func (e *Engine) fail(c *app.RequestContext, ask *wire.Ask, err error) {
	var f *failure
	if !errors.As(err, &f) {
		f = &failure{e.Name, err.Error()}
	}
	_ = write(c, &wire.Frame{
		Request: ask.Request, Attempt: ask.Attempt,
		Fail: &wire.Fail{Server: f.Server, What: f.What},
	})
}

func (e *Engine) steps(ctx context.Context, c *app.RequestContext) {
	var s step
	if err := json.Unmarshal(c.Request.Body(), &s); err != nil || len(s.Rest) == 0 {
		c.String(400, "bad step: %v", err)
		return
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	out, err := e.run(ctx, s)
	if err != nil {
		var f *failure
		if !errors.As(err, &f) {
			f = &failure{e.Name, err.Error()}
		}
		c.JSON(502, f)
		return
	}
	c.JSON(200, out)
}

func write(c *app.RequestContext, f *wire.Frame) error {
	line, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if _, err := c.Write(append(line, '\n')); err != nil {
		return err
	}
	return c.Flush()
}
