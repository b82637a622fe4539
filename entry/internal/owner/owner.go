// Package owner takes calls that may not be repeated to the entry host that
// holds their claim or issued their ticket, and answers the others for those
// that this one holds.
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

// Client talks to the other entry hosts about calls. Set the exported fields
// before first use.
type Client struct {
	View   *view.Publisher
	Secret string
	// Pass runs the calls of this entry host.
	Pass *invoke.Forwarder
	// Client returns a client of another entry host.
	Client func(ctx context.Context, h host.Host) (wire.DRPCEntryClient, error)
}

var _ invoke.Peers = (*Client)(nil)

const (
	// joinWait bounds the time that a caller waits for a holder's answer. A
	// holder that is frozen doesn't answer, and the caller had better hear
	// soon that its call may have run.
	joinWait = 2 * time.Second
	// lateBy is how much earlier than the caller the holder gives up, so that
	// its word arrives.
	lateBy = 200 * time.Millisecond
	// maxForward bounds an answer that is handed on, well below the largest
	// message of drpc.
	maxForward = 3 << 20
)

// call makes a call to another entry host, and gives it up when the peers
// suspect that host. One that is frozen keeps its connections, so a caller
// would otherwise wait for its whole deadline.
func (r *Client) call(ctx context.Context, h host.Host, ask *wire.CallAsk) (*wire.CallReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.giveUp(ctx, cancel, h.Name)
	client, err := r.Client(ctx, h)
	if err != nil {
		return nil, err
	}
	ask.Secret = r.Secret
	return client.Call(ctx, ask)
}

// giveUp cancels a call to an entry host once that is no longer alive.
func (r *Client) giveUp(ctx context.Context, cancel context.CancelFunc, entry string) {
	for {
		changed := r.View.Changed()
		if p, known := r.View.Load().Peers[entry]; known && !p.Alive {
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

func (r *Client) find(entry string) (host.Host, bool) {
	h, listed := r.View.Load().Hosts[entry]
	return h, listed && h.Role == host.Entry
}

// AwaitClaim implements pass.Peers.
func (r *Client) AwaitClaim(ctx context.Context, holder claim.Holder, call *invoke.Call, nonce uint64) invoke.ClaimStatus {
	h, listed := r.find(holder.Entry)
	if !listed {
		return invoke.ClaimStatus{}
	}
	end := time.Now().Add(joinWait)
	if call.Deadline.Before(end) {
		end = call.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	reply, err := r.call(ctx, h, &wire.CallAsk{
		Team: call.Team, Id: call.ID, Nonce: nonce,
		Incarnation: holder.Incarnation, DeadlineMs: end.Add(-lateBy).UnixMilli(),
	})
	switch {
	case err != nil:
		return invoke.ClaimStatus{}
	case reply.Never:
		return invoke.ClaimStatus{NeverSent: true}
	case reply.Code == "":
		return invoke.ClaimStatus{Reply: received(reply)}
	}
	return invoke.ClaimStatus{Pending: reply.RetryAfterMs > 0}
}

// Forward implements pass.Peers. Whatever fails, the verdict is MayHaveRun:
// an earlier call under the ticket may have run, and only its issuer knows.
func (r *Client) Forward(ctx context.Context, entry string, call *invoke.Call) (*invoke.Reply, *fault.Error) {
	lost := func(message string, cause error) *fault.Error {
		return &fault.Error{Code: fault.Repeated, Verdict: fault.MayHaveRun, Message: message, Cause: cause}
	}
	h, listed := r.find(entry)
	if !listed {
		return nil, lost("entry host "+entry+", which issued the ticket, is not listed", nil)
	}
	reply, err := r.call(ctx, h, &wire.CallAsk{
		Team: call.Team, Id: call.ID, Service: call.Service.Name,
		Method: call.Method, Uri: call.URI, Headers: headers(call.Header), Body: call.Body,
		DeadlineMs: call.Deadline.Add(-lateBy).UnixMilli(),
	})
	if err != nil {
		e := lost("entry host "+entry+", which issued the ticket, does not answer", err)
		e.RetryAfter = time.Second
		return nil, e
	}
	if reply.Code != "" {
		return nil, failed(reply)
	}
	return received(reply), nil
}

func headers(from http.Header) []*wire.Header {
	var list []*wire.Header
	for name, values := range from {
		for _, value := range values {
			list = append(list, &wire.Header{Name: name, Value: value})
		}
	}
	return list
}

func header(from []*wire.Header) http.Header {
	h := http.Header{}
	for _, one := range from {
		h.Add(one.Name, one.Value)
	}
	return h
}

func received(reply *wire.CallReply) *invoke.Reply {
	return &invoke.Reply{Status: int(reply.Status), Header: header(reply.Headers), Body: reply.Body}
}

func failed(reply *wire.CallReply) *fault.Error {
	e := &fault.Error{
		Code: fault.Code(reply.Code), Message: reply.Message,
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
	}
	// An unreadable verdict is left at MayHaveRun.
	_ = e.Verdict.UnmarshalText([]byte(reply.Verdict))
	return e
}
