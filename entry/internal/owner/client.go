// Package owner forwards calls that must run at most once to the entry host that
// owns them, because it holds their claim or issued their ticket, and handles the
// requests of the others about calls that this entry host owns.
package owner

import (
	"context"
	"net/http"
	"time"

	"fuchsiashelf.dev/entry/internal/invoke"
	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// Client queries other entry hosts about calls that they own, and handles their
// queries. Set the exported fields before first use.
type Client struct {
	View   *view.Publisher
	Secret string
	// Forwarder runs the calls of this entry host.
	Forwarder *invoke.Forwarder
	// NewClient returns a client of another entry host.
	NewClient func(ctx context.Context, h host.Host) (wire.DRPCEntryClient, error)
}

var _ invoke.Peers = (*Client)(nil)

const (
	// claimStatusTimeout bounds the wait for the holder of a claim. A frozen
	// holder does not answer, and the caller should learn soon that its call may
	// have run.
	claimStatusTimeout = 2 * time.Second
	// deadlineMargin is how much earlier the deadline of the remote entry host
	// is, so that its reply arrives in time.
	deadlineMargin = 200 * time.Millisecond
	// maxForwardBytes bounds the body of a forwarded response, well below the
	// largest message of drpc.
	maxForwardBytes = 3 << 20
)

// call sends a request to another entry host and cancels it once the membership
// no longer counts that entry host as alive. A frozen entry host keeps its
// connections, so a caller would otherwise wait for its whole deadline.
func (c *Client) call(ctx context.Context, h host.Host, ask *wire.CallAsk) (*wire.CallReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.cancelWhenDead(ctx, cancel, h.Name)
	client, err := c.NewClient(ctx, h)
	if err != nil {
		return nil, err
	}
	ask.Secret = c.Secret
	return client.Call(ctx, ask)
}

// cancelWhenDead calls cancel once an entry host is no longer alive. It returns
// then, or when the context ends.
func (c *Client) cancelWhenDead(ctx context.Context, cancel context.CancelFunc, entry string) {
	for {
		changed := c.View.Changed()
		if p, known := c.View.Load().Peers[entry]; known && !p.Alive {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// findEntry returns an entry host of the host list.
func (c *Client) findEntry(entry string) (host.Host, bool) {
	h, listed := c.View.Load().Hosts[entry]
	return h, listed && h.Role == host.Entry
}

// AwaitClaim implements invoke.Peers.
func (c *Client) AwaitClaim(ctx context.Context, holder claim.Holder, call *invoke.Call, nonce uint64) invoke.ClaimStatus {
	h, listed := c.findEntry(holder.Entry)
	if !listed {
		return invoke.ClaimStatus{}
	}
	end := time.Now().Add(claimStatusTimeout)
	if call.Deadline.Before(end) {
		end = call.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	reply, err := c.call(ctx, h, &wire.CallAsk{
		Team: call.Team, Id: call.ID, Nonce: nonce,
		Incarnation: holder.Incarnation, DeadlineMs: end.Add(-deadlineMargin).UnixMilli(),
	})
	switch {
	case err != nil:
		return invoke.ClaimStatus{}
	case reply.Never:
		return invoke.ClaimStatus{NeverSent: true}
	case reply.Code == "":
		return invoke.ClaimStatus{Response: decodeResponse(reply)}
	}
	return invoke.ClaimStatus{Pending: reply.RetryAfterMs > 0}
}

// Forward implements invoke.Peers. If the issuer cannot be reached the verdict is
// MayHaveRun: an earlier call under the ticket may have run, and only its issuer
// knows.
func (c *Client) Forward(ctx context.Context, entry string, call *invoke.Call) (*invoke.Response, *fault.Error) {
	unknownOutcome := func(message string, cause error) *fault.Error {
		return &fault.Error{Code: fault.Repeated, Verdict: fault.MayHaveRun, Message: message, Cause: cause}
	}
	h, listed := c.findEntry(entry)
	if !listed {
		return nil, unknownOutcome("entry host "+entry+", which issued the ticket, is not listed", nil)
	}
	reply, err := c.call(ctx, h, &wire.CallAsk{
		Team: call.Team, Id: call.ID, Service: call.Service.Name,
		Method: call.Method, Uri: call.URI, Headers: encodeHeader(call.Header), Body: call.Body,
		DeadlineMs: call.Deadline.Add(-deadlineMargin).UnixMilli(),
	})
	if err != nil {
		e := unknownOutcome("entry host "+entry+", which issued the ticket, does not answer", err)
		e.RetryAfter = time.Second
		return nil, e
	}
	if reply.Code != "" {
		return nil, decodeError(reply)
	}
	return decodeResponse(reply), nil
}

// encodeHeader returns the wire form of a header.
func encodeHeader(source http.Header) []*wire.Header {
	var list []*wire.Header
	for name, values := range source {
		for _, value := range values {
			list = append(list, &wire.Header{Name: name, Value: value})
		}
	}
	return list
}

// decodeHeader returns the header of a wire form.
func decodeHeader(source []*wire.Header) http.Header {
	h := http.Header{}
	for _, field := range source {
		h.Add(field.Name, field.Value)
	}
	return h
}

// decodeResponse returns the response that a remote entry host sent.
func decodeResponse(reply *wire.CallReply) *invoke.Response {
	return &invoke.Response{Status: int(reply.Status), Header: decodeHeader(reply.Headers), Body: reply.Body}
}

// decodeError returns the error that a remote entry host sent.
func decodeError(reply *wire.CallReply) *fault.Error {
	e := &fault.Error{
		Code: fault.Code(reply.Code), Message: reply.Message,
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
	}
	// An unknown verdict leaves the zero value, MayHaveRun.
	_ = e.Verdict.UnmarshalText([]byte(reply.Verdict))
	return e
}
