// Package edge serves callers on an entry host: it authenticates them, routes and
// admits their requests, and forwards them with package relay or invoke.
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

// Handler handles the requests of callers. Set the exported fields, then call
// RegisterRoutes.
type Handler struct {
	View *view.Publisher
	// Relay forwards model requests.
	Relay *relay.Forwarder
	// PlainForwarder forwards calls of plain services.
	PlainForwarder *invoke.Forwarder
	// Admission queues or refuses requests whose pool is full; nil admits all.
	Admission *Admission
	Trace     *trace.Recorder
	Log       *slog.Logger
	// MaxBody is the largest request body, in bytes.
	MaxBody int
	// Ready reports whether the load balancer may send callers to this entry host.
	Ready func() bool

	lastID atomic.Uint64
}

// RequestHeader is the response header that holds the request id.
const RequestHeader = "Fuchsia-Request"

// RejectTooLarge rejects a request whose body is larger than MaxBody.
func (h *Handler) RejectTooLarge(_ context.Context, c *app.RequestContext) {
	writeError(c, &fault.Error{
		Code: fault.TooLarge, Verdict: fault.NotRun, Field: "body",
		Message: fmt.Sprintf("larger than %d bytes", h.MaxBody),
	})
}

// RejectDraining rejects a request that arrives after this entry host has stopped
// accepting callers. The liveness check still succeeds.
func (h *Handler) RejectDraining(_ context.Context, c *app.RequestContext) {
	if string(c.Path()) == healthPath {
		c.String(200, "ok\n")
		return
	}
	writeError(c, &fault.Error{
		Code: fault.Draining, Verdict: fault.NotRun, RetryAfter: time.Second,
		Message: "this entry host is stopping",
	})
}

// healthPath is the path of the liveness check.
const healthPath = "/health"

// RegisterRoutes registers the health checks and the callers' routes. Every
// other path is a call of a plain service.
func (h *Handler) RegisterRoutes(srv *server.Hertz) {
	h.RegisterHealth(srv)
	srv.POST("/v1/generate", h.handleGenerate)
	srv.POST("/v1/tickets", h.handleTicket)
	srv.NoRoute(h.handlePlain)
}

// RegisterHealth registers the health checks of the load balancer.
func (h *Handler) RegisterHealth(srv *server.Hertz) {
	srv.GET(healthPath, func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	srv.GET("/ready", func(_ context.Context, c *app.RequestContext) {
		if h.Ready() {
			c.String(200, "ready\n")
			return
		}
		c.String(503, "not ready\n")
	})
}

// nextID returns a request id that is unique across entry hosts.
func (h *Handler) nextID(snap *view.Snapshot) string {
	return fmt.Sprintf("%s-%d", snap.Self, h.lastID.Add(1))
}

// authenticate returns the team whose bearer token the request carries.
func authenticate(c *app.RequestContext, snap *view.Snapshot) (team.Team, *fault.Error) {
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

// route returns the pool that serves a team's requests to a service.
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

// writeError writes an error response and counts it.
func writeError(c *app.RequestContext, e *fault.Error) {
	countRefusal(e.Code)
	c.Header(fault.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.Itoa(seconds))
	}
	c.JSON(e.Status(), newErrorBody(e))
}

// errorBody is the body of an error response, and the data of an error event.
type errorBody struct {
	Code         fault.Code    `json:"code"`
	Verdict      fault.Verdict `json:"verdict"`
	Field        string        `json:"field,omitempty"`
	Message      string        `json:"message"`
	RetryAfterMs int64         `json:"retryAfterMs,omitempty"`
}

// newErrorBody returns the body for an error. Without a message, it shows that of
// the cause.
func newErrorBody(e *fault.Error) errorBody {
	message := e.Message
	if message == "" && e.Cause != nil {
		message = e.Cause.Error()
	}
	return errorBody{
		Code: e.Code, Verdict: e.Verdict, Field: e.Field,
		Message: message, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// findService returns a service that matches, or an error if none does.
func findService(snap *view.Snapshot, match func(rule.Service) bool) (rule.Service, *fault.Error) {
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

// handleGenerate handles a model request.
func (h *Handler) handleGenerate(ctx context.Context, c *app.RequestContext) {
	snap := h.View.Load()
	tm, e := authenticate(c, snap)
	if e != nil {
		writeError(c, e)
		return
	}
	req, e := parseRequest(c.Request.Body())
	if e != nil {
		writeError(c, e)
		return
	}
	s, e := findService(snap, func(s rule.Service) bool { return s.Name == req.Service && !s.IsPlain() })
	if e != nil {
		e.Field = "service"
		writeError(c, e)
		return
	}
	p, e := route(snap, s.Name, tm.Name)
	if e != nil {
		writeError(c, e)
		return
	}
	requestID := h.nextID(snap)
	c.Header(RequestHeader, requestID)
	h.Trace.Record("gate", requestID, "took a model request of team "+tm.Name)
	h.forward(ctx, c, snap, &admissionRequest{
		id: requestID, team: tm, pool: p, cost: req.Max,
		bytes: len(c.Request.Body()), deadline: time.Now().Add(s.EffectiveDeadline()),
	}, req.Prompt)
}

// forward admits a model request and forwards it to its pool.
func (h *Handler) forward(ctx context.Context, c *app.RequestContext, snap *view.Snapshot, req *admissionRequest, prompt string) {
	stream := &timedStream{eventStream: &eventStream{c: c}, startedAt: time.Now()}
	requestCount.Inc(1)
	grant, e := h.Admission.admit(ctx, snap, req)
	if e != nil {
		writeError(c, e)
		return
	}
	defer grant.Release()
	queueWait.UpdateSince(stream.startedAt)
	openResponses.Inc(1)
	defer openResponses.Dec(1)
	stream.controller = h.Admission.lookup(req.pool.Name)
	defer stream.report()
	count, e := h.Relay.Do(ctx, &relay.Request{
		ID: req.id, Team: req.team.Name, Pool: req.pool, Prompt: prompt, MaxTokens: req.cost,
		Deadline: req.deadline, Priority: priority(grant),
	}, stream)
	if e != nil && stream.count > 0 {
		countRefusal(e.Code)
		countEnded(e)
	}
	stream.end(count, e)
}
