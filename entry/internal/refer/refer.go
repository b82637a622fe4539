// Package refer takes calls that may not be repeated to the entry host that
// holds their claim or issued their ticket, and answers the others for those
// that this one holds.
package refer

import (
	"context"
	"net"
	"net/http"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"fuchsiashelf.dev/entry/internal/pass"
	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// Refer talks to the other entry hosts about calls. Set the exported fields
// before first use, and Close after last use.
type Refer struct {
	View   *view.Holder
	Secret string
	// Pass runs the calls of this entry host.
	Pass *pass.Pass
	// Conns holds idle connections; a connection carries one call at a time,
	// and a call may take long, so they are not those of the mesh.
	Conns *drpcpool.Pool[string, *drpcconn.Conn]
}

var _ pass.Peers = (*Refer)(nil)

const (
	// dialTimeout bounds the time to reach another entry host.
	dialTimeout = time.Second
	// joinWait bounds the time that a caller waits for a holder's answer. A
	// holder that is frozen doesn't answer, and the caller had better hear
	// soon that its call may have run.
	joinWait = 2 * time.Second
	// lateBy is how much earlier than the caller the holder gives up, so that
	// its word arrives.
	lateBy = 200 * time.Millisecond
	// maxIdle bounds the idle connections to one entry host.
	maxIdle = 8
	// idleTime is how long a connection may be idle.
	idleTime = time.Minute
	// maxForward bounds an answer that is handed on, well below the largest
	// message of drpc.
	maxForward = 3 << 20
)

// Pool returns a pool for Conns.
func Pool() *drpcpool.Pool[string, *drpcconn.Conn] {
	return drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration: idleTime, KeyCapacity: maxIdle,
	})
}

func (r *Refer) client(ctx context.Context, address string) wire.DRPCEntryClient {
	return wire.NewDRPCEntryClient(r.Conns.Get(ctx, address,
		func(ctx context.Context, address string) (*drpcconn.Conn, error) {
			conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return drpcconn.New(conn), nil
		}))
}

func (r *Refer) find(entry string) (host.Host, bool) {
	h, listed := r.View.Load().Hosts[entry]
	return h, listed && h.Role == host.Entry
}

// Join implements pass.Peers.
func (r *Refer) Join(ctx context.Context, holder claim.Holder, call *pass.Call, nonce uint64) pass.Told {
	h, listed := r.find(holder.Entry)
	if !listed {
		return pass.Told{}
	}
	end := time.Now().Add(joinWait)
	if call.Deadline.Before(end) {
		end = call.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	reply, err := r.client(ctx, h.Address).Call(ctx, &wire.CallAsk{
		Secret: r.Secret, Team: call.Team, Id: call.ID, Nonce: nonce,
		Incarnation: holder.Incarnation, DeadlineMs: end.Add(-lateBy).UnixMilli(),
	})
	switch {
	case err != nil:
		return pass.Told{}
	case reply.Never:
		return pass.Told{Never: true}
	case reply.Code == "":
		return pass.Told{Reply: received(reply)}
	}
	return pass.Told{Waiting: reply.RetryAfterMs > 0}
}

// Forward implements pass.Peers. Whatever fails, the verdict is MayHaveRun:
// an earlier call under the ticket may have run, and only its issuer knows.
func (r *Refer) Forward(ctx context.Context, entry string, call *pass.Call) (*pass.Reply, *fault.Error) {
	lost := func(message string, cause error) *fault.Error {
		return &fault.Error{Code: fault.Repeated, Verdict: fault.MayHaveRun, Message: message, Cause: cause}
	}
	h, listed := r.find(entry)
	if !listed {
		return nil, lost("entry host "+entry+", which issued the ticket, is not listed", nil)
	}
	reply, err := r.client(ctx, h.Address).Call(ctx, &wire.CallAsk{
		Secret: r.Secret, Team: call.Team, Id: call.ID, Service: call.Service.Name,
		Method: call.Method, Uri: call.URI, Headers: headers(call.Header), Body: call.Body,
		DeadlineMs: call.Deadline.Add(-lateBy).UnixMilli(),
	})
	if err != nil {
		return nil, lost("entry host "+entry+", which issued the ticket, does not answer", err)
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

func received(reply *wire.CallReply) *pass.Reply {
	return &pass.Reply{Status: int(reply.Status), Header: header(reply.Headers), Body: reply.Body}
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
