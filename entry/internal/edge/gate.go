// Package gate is the callers' side of an entry host: it knows who calls,
// finds the route, and hands a request to package relay or package pass.
package edge

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"fuchsiashelf.dev/entry/internal/invoke"
	"fuchsiashelf.dev/entry/internal/relay"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/rule"
	"fuchsiashelf.dev/parts/team"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Handler answers callers. Set the exported fields, then add Routes.
type Handler struct {
	View  *view.Publisher
	Relay *relay.Forwarder
	Pass  *invoke.Forwarder
	// Admission holds requests back when their pool is full; nil lets all
	// through.
	Admission *Admission
	Trace     *trace.Recorder
	Log       *slog.Logger
	// MaxBody is the largest request body, in bytes.
	MaxBody int
	// Ready says whether the balancer may send callers here.
	Ready func() bool

	serial atomic.Uint64
}

// RequestHeader names the request in an answer.
const RequestHeader = "Fuchsia-Request"

// RejectTooLarge answers a request whose body is too large.
func (g *Handler) RejectTooLarge(_ context.Context, c *app.RequestContext) {
	refuse(c, &fault.Error{
		Code: fault.TooLarge, Verdict: fault.NotRun, Field: "body",
		Message: fmt.Sprintf("larger than %d bytes", g.MaxBody),
	})
}

// RejectDraining answers a request that comes after this entry host has stopped
// taking callers.
func (g *Handler) RejectDraining(_ context.Context, c *app.RequestContext) {
	if string(c.Path()) == healthPath {
		c.String(200, "ok\n")
		return
	}
	refuse(c, &fault.Error{
		Code: fault.Draining, Verdict: fault.NotRun, RetryAfter: time.Second,
		Message: "this entry host is stopping",
	})
}

// healthPath is where a process is asked whether it lives.
const healthPath = "/health"

// RegisterRoutes adds the callers' calls.
func (g *Handler) RegisterRoutes(h *server.Hertz) {
	g.RegisterHealth(h)
	h.POST("/v1/generate", g.generate)
	h.POST("/v1/tickets", g.ticket)
	h.NoRoute(g.plain)
}

// RegisterHealth adds the balancer's calls.
func (g *Handler) RegisterHealth(h *server.Hertz) {
	h.GET(healthPath, func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	h.GET("/ready", func(_ context.Context, c *app.RequestContext) {
		if g.Ready() {
			c.String(200, "ready\n")
			return
		}
		c.String(503, "not ready\n")
	})
}

// next returns a request number that no other entry host gives.
func (g *Handler) next(snap *view.Snapshot) string {
	return fmt.Sprintf("%s-%d", snap.Self, g.serial.Add(1))
}

func caller(c *app.RequestContext, snap *view.Snapshot) (team.Team, *fault.Error) {
	token, found := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if found {
		if t, known := snap.Teams.ByToken(token); known {
			return t, nil
		}
	}
	return team.Team{}, &fault.Error{
		Code: fault.Unauthorized, Verdict: fault.NotRun, Field: "Authorization",
		Message: "no team has this token",
	}
}

func route(snap *view.Snapshot, service, team string) (pool.Pool, *fault.Error) {
	p, ok := snap.Config.Route(service, team)
	if !ok {
		return p, &fault.Error{
			Code: fault.NoRoute, Verdict: fault.NotRun,
			Message: fmt.Sprintf("no rule leads service %s of team %s to a pool", service, team),
		}
	}
	return p, nil
}

func refuse(c *app.RequestContext, e *fault.Error) {
	countRefusal(e.Code)
	c.Header(fault.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.Itoa(seconds))
	}
	c.JSON(e.Status(), problem(e))
}

// trouble is the body of an error.
type trouble struct {
	Code         fault.Code    `json:"code"`
	Verdict      fault.Verdict `json:"verdict"`
	Field        string        `json:"field,omitempty"`
	Message      string        `json:"message"`
	RetryAfterMs int64         `json:"retryAfterMs,omitempty"`
}

func problem(e *fault.Error) trouble {
	message := e.Message
	if message == "" && e.Cause != nil {
		message = e.Cause.Error()
	}
	return trouble{
		Code: e.Code, Verdict: e.Verdict, Field: e.Field,
		Message: message, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// service returns the service of a name, or of a plain call's path.
func service(snap *view.Snapshot, match func(rule.Service) bool) (rule.Service, *fault.Error) {
	if snap.Config != nil {
		for _, s := range snap.Config.Services {
			if match(s) {
				return s, nil
			}
		}
	}
	return rule.Service{}, &fault.Error{
		Code: fault.NoRoute, Verdict: fault.NotRun, Message: "no such service",
	}
}

func (g *Handler) generate(ctx context.Context, c *app.RequestContext) {
	snap := g.View.Load()
	who, e := caller(c, snap)
	if e != nil {
		refuse(c, e)
		return
	}
	in, e := parse(c.Request.Body())
	if e != nil {
		refuse(c, e)
		return
	}
	s, e := service(snap, func(s rule.Service) bool { return s.Name == in.Service && !s.IsPlain() })
	if e != nil {
		e.Field = "service"
		refuse(c, e)
		return
	}
	p, e := route(snap, s.Name, who.Name)
	if e != nil {
		refuse(c, e)
		return
	}
	request := g.next(snap)
	c.Header(RequestHeader, request)
	g.Trace.Record("gate", request, "took a model request of team "+who.Name)
	g.answer(ctx, c, snap, &entering{
		request: request, team: who, pool: p, cost: in.Max,
		bytes: len(c.Request.Body()), deadline: time.Now().Add(s.EffectiveDeadline()),
	}, in.Prompt)
}

// answer carries a model request once its pool has room.
func (g *Handler) answer(ctx context.Context, c *app.RequestContext, snap *view.Snapshot, in *entering, prompt string) {
	out := &timed{answer: &answer{c: c}, began: time.Now()}
	taken.Inc(1)
	grant, e := g.Admission.enter(ctx, snap, in)
	if e != nil {
		refuse(c, e)
		return
	}
	defer grant.Release()
	queueWait.UpdateSince(out.began)
	open.Inc(1)
	defer open.Dec(1)
	out.door = g.Admission.known(in.pool.Name)
	defer out.done()
	count, e := g.Relay.Do(ctx, &relay.Request{
		ID: in.request, Team: in.team.Name, Pool: in.pool, Prompt: prompt, MaxTokens: in.cost,
		Deadline: in.deadline, Priority: priority(grant),
	}, out)
	if e != nil && out.count > 0 {
		countRefusal(e.Code)
	}
	out.finish(count, e)
}
