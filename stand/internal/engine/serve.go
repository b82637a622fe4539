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

// Routes adds the routes of an engine.
func (e *Engine) Routes(h *server.Hertz) {
	e.init()
	h.POST("/v1/generate", e.generate)
	h.POST("/v1/steps", e.steps)
	h.POST("/v1/orders", e.postOrder)
	h.GET("/v1/orders", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, e.orders.list())
	})
	h.GET("/v1/status", func(ctx context.Context, c *app.RequestContext) {
		if e.waitUnfrozen(ctx) == nil {
			c.JSON(200, e.laggedStatus())
		}
	})
}

// Control adds the routes of the control listener.
func (e *Engine) Control(h *server.Hertz) {
	e.Faults.Routes(h)
	h.GET("/counts", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, e.Counts())
	})
}

func (e *Engine) generate(ctx context.Context, c *app.RequestContext) {
	var req wire.Request
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil || len(req.Chain) == 0 {
		c.String(400, "bad request: %v", err)
		return
	}
	if e.waitUnfrozen(ctx) != nil {
		return
	}
	first := step{Request: req.RequestID, Attempt: req.Attempt, Prompt: req.Prompt}
	if err := e.admit(&first); err != nil {
		c.Header(wire.NotRunHeader, wire.Leaving)
		c.String(503, wire.Leaving)
		return
	}
	e.counts.inFlight.Add(1)
	defer e.counts.inFlight.Add(-1)
	c.Header("Content-Type", "application/x-ndjson")
	c.Response.HijackWriter(resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()))
	s := &tokenStream{Engine: e, req: &req, w: frameWriter{c}}
	if err := s.run(ctx); err != nil {
		e.counts.cancelled.Add(1)
	}
}

// tokenStream is the token stream of one request.
type tokenStream struct {
	*Engine
	req *wire.Request
	w   frameWriter
	// peer is set while this stream is swapped with another.
	peer *swapPeer
}

// run streams the response. It fails only if the client disconnected.
func (s *tokenStream) run(ctx context.Context) error {
	if _, active := s.Faults.Active(SwapStreams); active {
		s.peer = s.swap.join(ctx)
	}
	if s.peer != nil {
		defer close(s.peer.done)
	}
	sent := len(s.req.Sent)
	read := len(strings.Fields(s.req.Prompt)) + sent
	for index := sent; index < s.req.Max; index++ {
		if s.truncates(index - sent) {
			return nil
		}
		out, err := s.Engine.run(ctx, step{
			Request: s.req.RequestID, Attempt: s.req.Attempt, Index: index, Prompt: s.req.Prompt,
			Priority: s.req.Priority, Read: read, State: token.Start(s.req.Prompt, index), Rest: s.req.Chain,
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			failure := s.asFailure(err)
			return s.send(ctx, wire.Frame{Fail: &wire.Failure{Server: failure.Server, Message: failure.Message, Refused: failure.Refused}})
		}
		read = 0
		if err := s.send(ctx, wire.Frame{Index: index, Token: out.State.Token(), Spans: out.Spans}); err != nil {
			return err
		}
	}
	if _, active := s.Faults.Trigger(OmitEnd); active {
		return nil
	}
	return s.send(ctx, wire.Frame{End: true, Count: s.req.Max})
}

// send writes a frame of this stream after applying the faults that affect frames.
func (s *tokenStream) send(ctx context.Context, f wire.Frame) error {
	f.Request, f.Attempt = s.req.RequestID, s.req.Attempt
	if s.peer != nil {
		f = s.peer.exchange(ctx, f)
	}
	if err := s.writeExtraFrames(s.w, f); err != nil {
		return err
	}
	return s.w.write(&f)
}

// steps runs one token for the previous stage of a chain.
func (e *Engine) steps(ctx context.Context, c *app.RequestContext) {
	var s step
	if err := json.Unmarshal(c.Request.Body(), &s); err != nil || len(s.Rest) == 0 {
		c.String(400, "bad step: %v", err)
		return
	}
	if e.waitUnfrozen(ctx) != nil {
		return
	}
	e.counts.inFlight.Add(1)
	defer e.counts.inFlight.Add(-1)
	err := e.admit(&s)
	if err != nil {
		c.JSON(502, e.asFailure(err))
		return
	}
	out, err := e.run(ctx, s)
	if err != nil {
		c.JSON(502, e.asFailure(err))
		return
	}
	c.JSON(200, out)
}

// frameWriter writes frames and flushes each one.
type frameWriter struct{ c *app.RequestContext }

func (w frameWriter) write(f *wire.Frame) error {
	line, err := json.Marshal(f)
	if err != nil {
		return err
	}
	if _, err := w.c.Write(append(line, '\n')); err != nil {
		return err
	}
	return w.c.Flush()
}
