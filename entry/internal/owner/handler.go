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

// HandleCall implements mesh.CallHandler: with a nonce it reports the status of a
// claimed call, otherwise it runs a call under a ticket of this entry host.
func (c *Client) HandleCall(ctx context.Context, ask *wire.CallAsk) *wire.CallReply {
	deadline := time.UnixMilli(ask.DeadlineMs)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if ask.Nonce != 0 {
		return c.claimStatus(ctx, ask)
	}
	response, e := c.redeem(ctx, ask, deadline)
	if e != nil {
		return encodeError(e)
	}
	return encodeResponse(response)
}

// claimStatus reports the status of a claimed call without running anything.
func (c *Client) claimStatus(ctx context.Context, ask *wire.CallAsk) *wire.CallReply {
	unknown := &wire.CallReply{Code: string(fault.NotFound), Verdict: fault.MayHaveRun.String()}
	if ask.Incarnation != c.Forwarder.Holder.Incarnation {
		return unknown
	}
	status := c.Forwarder.ClaimStatus(ctx, claim.KeyOf(ask.Team, ask.Id), ask.Nonce)
	switch {
	case status.NeverSent:
		return &wire.CallReply{Code: string(fault.NotFound), Verdict: fault.NotRun.String(), Never: true}
	case status.Response != nil:
		return encodeResponse(status.Response)
	case status.Pending:
		unknown.RetryAfterMs = time.Second.Milliseconds()
	}
	return unknown
}

// redeem runs a call under a ticket of this entry host, routed by the
// configuration in force here.
func (c *Client) redeem(ctx context.Context, ask *wire.CallAsk, deadline time.Time) (*invoke.Response, *fault.Error) {
	if !ticket.Is(ask.Id) {
		return nil, &fault.Error{Code: fault.BadRequest, Verdict: fault.MayHaveRun, Message: "not a ticket"}
	}
	snap := c.View.Load()
	p, routed := snap.Config.Route(ask.Service, ask.Team)
	if !routed {
		return nil, &fault.Error{
			Code: fault.NoRoute, Verdict: fault.MayHaveRun,
			Message: "the entry host that issued the ticket knows no route for service " + ask.Service,
		}
	}
	return c.Forwarder.Redeem(ctx, &invoke.Call{
		RequestID: ask.Id, Team: ask.Team, ID: ask.Id, Service: snap.Config.Services[ask.Service], Pool: p,
		Method: ask.Method, URI: ask.Uri, Header: decodeHeader(ask.Headers), Body: ask.Body, Deadline: deadline,
	})
}

// encodeResponse returns the wire form of a response, or of an error if its body
// is too large to forward.
func encodeResponse(response *invoke.Response) *wire.CallReply {
	if len(response.Body) > maxForwardBytes {
		return encodeError(&fault.Error{
			Code: fault.InvalidResponse, Verdict: fault.Ran, Message: "the answer is too large to be handed on",
		})
	}
	return &wire.CallReply{
		Status: uint32(response.Status), Headers: encodeHeader(response.Header), Body: response.Body,
		Verdict: fault.Ran.String(),
	}
}

// encodeError returns the wire form of an error.
func encodeError(e *fault.Error) *wire.CallReply {
	message := e.Message
	if message == "" {
		message = e.Error()
	}
	return &wire.CallReply{
		Code: string(e.Code), Verdict: e.Verdict.String(), Message: message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}
