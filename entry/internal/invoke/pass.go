// Package pass hands calls through to plain services, and back.
//
// A call of a service that may be repeated goes to another backend server
// when one fails. Any other call runs at most once, in one of three ways:
// under a claim in the object API (package claim), under a ticket that this
// or another entry host issued (package ticket), or, where the service asks
// for no id, as a call of its own.
package invoke

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/rule"
	"fuchsiashelf.dev/parts/ticket"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Forwarder hands calls through. Set the exported fields, then Run.
type Forwarder struct {
	View  *view.Publisher
	Trace *trace.Recorder
	Log   *slog.Logger
	// Claims writes claims.
	Claims *claim.Writer
	// ClaimTerms are the times that claims rest on.
	ClaimTerms claim.Timing
	// Holder is this run of this entry host.
	Holder claim.Holder
	// Started is when this run began.
	Started time.Time
	// Signer issues and reads tickets.
	Signer ticket.Signer
	// Peers reaches the other entry hosts.
	Peers Peers
	// Done is closed when Run has ended. Make it before Run.
	Done chan struct{}

	table  claim.Table[end]
	serial atomic.Uint64
	// budgets holds a *retry.Budget for each pool by its name.
	budgets sync.Map
}

// Peers asks other entry hosts about calls.
type Peers interface {
	// AwaitClaim asks the holder of a claim what has become of its call, and waits
	// a while for its answer.
	AwaitClaim(ctx context.Context, holder claim.Holder, call *Call, nonce uint64) ClaimStatus
	// Forward hands a call to the entry host that issued its ticket.
	Forward(ctx context.Context, entry string, call *Call) (*Reply, *fault.Error)
}

// ClaimStatus is what a holder says of a call that it has claimed.
type ClaimStatus struct {
	// NeverSent says that the call was not sent and never will be.
	NeverSent bool
	// Reply is the answer, if it has come.
	Reply *Reply
	// Pending says that the holder is there and the call is under way.
	Pending bool
}

// Call is a call of a caller.
type Call struct {
	Request string
	Team    string
	// ID is the caller's own id of the call, from Idempotency-Key.
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

// Reply is the answer of a backend server.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// end is how a call ended: one of the two.
type end struct {
	reply *Reply
	err   *fault.Error
}

// IDHeader carries the caller's id of a call.
const IDHeader = "Idempotency-Key"

// sweepTick is how often forgotten flights are looked for.
const sweepTick = 30 * time.Second

// Run forgets calls that can't be sent again any more, until the context
// ends.
func (p *Forwarder) Run(ctx context.Context) error {
	defer close(p.Done)
	tick := time.NewTicker(sweepTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			p.table.Sweep(now)
		}
	}
}

// Call hands a call through and returns the answer, or the error that the
// caller is to see.
func (p *Forwarder) Call(ctx context.Context, call *Call) (*Reply, *fault.Error) {
	reply, e := p.route(ctx, call)
	if e != nil {
		p.Trace.Record("pass", call.Request, "refused: "+e.Verdict.String()+": "+e.Error())
		count("pass.refused." + e.Verdict.String())
	}
	return reply, e
}

func (p *Forwarder) route(ctx context.Context, call *Call) (*Reply, *fault.Error) {
	if call.Service.Retryable {
		ctx, cancel := context.WithDeadline(ctx, call.Deadline)
		defer cancel()
		return p.repeat(ctx, call)
	}
	// A claim outlives any call by far only if no call lasts longer.
	if latest := time.Now().Add(p.ClaimTerms.MaxDeadline); call.Deadline.After(latest) {
		call.Deadline = latest
	}
	// A call that was sent runs on without its caller, to learn its outcome.
	work, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	switch {
	case ticket.Is(call.ID):
		return p.ticketed(ctx, work, call)
	case call.ID != "":
		return p.claimed(ctx, work, call)
	case call.Service.OptionalID:
		return p.once(work, call, func() bool { return time.Now().Before(call.Deadline) })
	}
	return nil, &fault.Error{
		Code: fault.IDNeeded, Verdict: fault.NotRun, Field: IDHeader,
		Message: "calls of service " + call.Service.Name + " need an id",
	}
}
