// Package invoke forwards calls to plain services and returns their responses.
//
// A call of a retryable service goes to another backend server when one fails.
// Any other call runs at most once, in one of three ways: under a claim in the
// object API (package claim), under a ticket that this or another entry host
// issued (package ticket), or, if the service does not require an id, without
// protection against a resend by the caller.
package invoke

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/httpd"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/rule"
	"fuchsiashelf.dev/parts/ticket"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Forwarder forwards calls. Set the exported fields, then call Run.
type Forwarder struct {
	View  *view.Publisher
	Trace *trace.Recorder
	Log   *slog.Logger
	// Claims writes claims to the object API.
	Claims *claim.Writer
	// ClaimTiming holds the longest deadline of a call and the expiry of claims.
	ClaimTiming claim.Timing
	// Holder identifies this incarnation of this entry host.
	Holder claim.Holder
	// Started is when this incarnation started.
	Started time.Time
	// Signer issues and verifies tickets.
	Signer ticket.Signer
	// Peers queries the other entry hosts.
	Peers Peers
	// Dial connects to backend servers; nil means TCP connections without a time limit.
	Dial DialFunc
	// Done is closed when Run returns. It must be set before Run.
	Done chan struct{}

	flights      claim.Table[callResult]
	ticketSerial atomic.Uint64
	clientOnce   sync.Once
	client       *http.Client
	// budgets holds the *retry.Budget of each pool by pool name.
	budgets sync.Map
}

// httpClient returns the client that sends calls.
func (f *Forwarder) httpClient() *http.Client {
	f.clientOnce.Do(func() {
		dial := f.Dial
		if dial == nil {
			dial = (&net.Dialer{}).DialContext
		}
		f.client = newClient(dial)
	})
	return f.client
}

// CloseIdleConnections closes the idle connections to backend servers.
func (f *Forwarder) CloseIdleConnections() { f.httpClient().CloseIdleConnections() }

// Peers queries other entry hosts about calls.
type Peers interface {
	// AwaitClaim asks the holder of a claim for the status of its call, and waits
	// for the answer for a bounded time.
	AwaitClaim(ctx context.Context, holder claim.Holder, call *Call, nonce uint64) ClaimStatus
	// Forward forwards a call to the entry host that issued its ticket.
	Forward(ctx context.Context, entry string, call *Call) (*Response, *fault.Error)
}

// ClaimStatus is the status of a claimed call as its holder reports it. The zero
// value means that it is unknown.
type ClaimStatus struct {
	// NeverSent means that the call was not sent and never will be.
	NeverSent bool
	// Response is the response to the call; nil if there is none.
	Response *Response
	// Pending means that the holder is alive and the call is in progress.
	Pending bool
}

// Call is one call of a plain service.
type Call struct {
	RequestID string
	Team      string
	// ID is the caller's id of the call, from the Idempotency-Key header.
	ID      string
	Service rule.Service
	Pool    pool.Pool
	Method  string
	// URI is the path and query.
	URI      string
	Header   http.Header
	Body     []byte
	Deadline time.Time
}

// Response is what a backend server sent back for a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// callResult is the outcome of a call: either a response or an error.
type callResult struct {
	response *Response
	err      *fault.Error
}

// IDHeader is the header with the caller's id of a call.
const IDHeader = "Idempotency-Key"

// sweepInterval is the interval at which expired flights are dropped.
const sweepInterval = 30 * time.Second

// Run drops calls that can no longer be sent, until the context ends.
func (f *Forwarder) Run(ctx context.Context) error {
	defer close(f.Done)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			f.flights.RemoveExpired(now)
		}
	}
}

// Call forwards a call and returns the response, or the error to report to the
// caller.
func (f *Forwarder) Call(ctx context.Context, call *Call) (*Response, *fault.Error) {
	response, e := f.forward(ctx, call)
	if e != nil {
		f.Trace.Record("pass", call.RequestID, "refused: "+e.Verdict.String()+": "+e.Error())
		increment("pass.refused." + e.Verdict.String())
	}
	return response, e
}

// forward runs a call by the mechanism that its service and its id require.
func (f *Forwarder) forward(ctx context.Context, call *Call) (*Response, *fault.Error) {
	if call.Service.Retryable {
		ctx, cancel := context.WithDeadline(ctx, call.Deadline)
		defer cancel()
		return f.callRetryable(ctx, call)
	}
	// The expiry of claims is safe only for calls within MaxDeadline.
	if latest := time.Now().Add(f.ClaimTiming.MaxDeadline); call.Deadline.After(latest) {
		call.Deadline = latest
	}
	// A call that was sent continues after its caller disconnects, so that its
	// outcome is known.
	callCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	switch {
	case ticket.Is(call.ID):
		return f.callWithTicket(ctx, callCtx, call)
	case call.ID != "":
		return f.callWithClaim(ctx, callCtx, call)
	case call.Service.OptionalID:
		// Nobody else waits for the outcome of a call without an id, so it is not sent once its caller
		// has left.
		return f.callOnce(callCtx, call, func() bool { return !httpd.ClientLeft(ctx) && time.Now().Before(call.Deadline) })
	}
	return nil, &fault.Error{
		Code: fault.IDNeeded, Verdict: fault.NotRun, Field: IDHeader,
		Message: "calls of service " + call.Service.Name + " need an id",
	}
}
