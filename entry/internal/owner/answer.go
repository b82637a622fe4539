package owner

import (
	"context"
	"time"

	"fuchsiashelf.dev/entry/internal/invoke"
	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/ticket"
	"fuchsiashelf.dev/parts/wire"
)

// Answer answers another entry host. The secret has been checked.
func (r *Client) Answer(ctx context.Context, ask *wire.CallAsk) *wire.CallReply {
	deadline := time.UnixMilli(ask.DeadlineMs)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if ask.Nonce != 0 {
		return r.standing(ctx, ask)
	}
	reply, e := r.redeem(ctx, ask, deadline)
	if e != nil {
		return refusal(e)
	}
	return answer(reply)
}

// standing tells what has become of a claimed call, and runs nothing.
func (r *Client) standing(ctx context.Context, ask *wire.CallAsk) *wire.CallReply {
	unknown := &wire.CallReply{Code: string(fault.NotFound), Verdict: fault.MayHaveRun.String()}
	if ask.Incarnation != r.Pass.Holder.Incarnation {
		return unknown
	}
	told := r.Pass.ClaimStatus(ctx, claim.KeyOf(ask.Team, ask.Id), ask.Nonce)
	switch {
	case told.NeverSent:
		return &wire.CallReply{Code: string(fault.NotFound), Verdict: fault.NotRun.String(), Never: true}
	case told.Reply != nil:
		return answer(told.Reply)
	case told.Pending:
		unknown.RetryAfterMs = time.Second.Milliseconds()
	}
	return unknown
}

// redeem runs a call under a ticket of this entry host. It goes by this
// host's own configuration.
func (r *Client) redeem(ctx context.Context, ask *wire.CallAsk, deadline time.Time) (*invoke.Reply, *fault.Error) {
	if !ticket.Is(ask.Id) {
		return nil, &fault.Error{Code: fault.BadRequest, Verdict: fault.MayHaveRun, Message: "not a ticket"}
	}
	snap := r.View.Load()
	p, routed := snap.Config.Route(ask.Service, ask.Team)
	if !routed {
		return nil, &fault.Error{
			Code: fault.NoRoute, Verdict: fault.MayHaveRun,
			Message: "the entry host that issued the ticket knows no route for service " + ask.Service,
		}
	}
	return r.Pass.Redeem(ctx, &invoke.Call{
		Request: ask.Id, Team: ask.Team, ID: ask.Id, Service: snap.Config.Services[ask.Service], Pool: p,
		Method: ask.Method, URI: ask.Uri, Header: header(ask.Headers), Body: ask.Body, Deadline: deadline,
	})
}

func answer(reply *invoke.Reply) *wire.CallReply {
	if len(reply.Body) > maxForward {
		return refusal(&fault.Error{
			Code: fault.BrokenAnswer, Verdict: fault.Ran, Message: "the answer is too large to be handed on",
		})
	}
	return &wire.CallReply{
		Status: uint32(reply.Status), Headers: headers(reply.Header), Body: reply.Body,
		Verdict: fault.Ran.String(),
	}
}

func refusal(e *fault.Error) *wire.CallReply {
	message := e.Message
	if message == "" {
		message = e.Error()
	}
	return &wire.CallReply{
		Code: string(e.Code), Verdict: e.Verdict.String(), Message: message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}
