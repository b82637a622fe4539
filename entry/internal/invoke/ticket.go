package invoke

import (
	"context"
	"fmt"
	"time"

	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/ticket"
)

// Issue returns a new ticket of this entry host for one call of a team.
func (f *Forwarder) Issue(team string) (string, error) {
	increment("pass.tickets")
	return f.Signer.Issue(ticket.Ticket{
		Entry: f.Holder.Entry, Incarnation: f.Holder.Incarnation,
		Serial: f.ticketSerial.Add(1), Issued: time.Since(f.Started),
	}, team)
}

// Redeem runs a call that another entry host received with a ticket of this one.
func (f *Forwarder) Redeem(ctx context.Context, call *Call) (*Response, *fault.Error) {
	t, err := f.Signer.Parse(call.ID, call.Team)
	if err != nil || t.Entry != f.Holder.Entry {
		return nil, repeatedError("not a ticket of this entry host", 0)
	}
	return f.Call(ctx, call)
}

// callWithTicket runs a call under a ticket of this entry host, and forwards a
// call with another ticket to its issuer.
func (f *Forwarder) callWithTicket(ctx, callCtx context.Context, call *Call) (*Response, *fault.Error) {
	t, err := f.Signer.Parse(call.ID, call.Team)
	if err != nil {
		return nil, &fault.Error{
			Code: fault.BadRequest, Verdict: fault.NotRun, Field: IDHeader, Message: err.Error(),
		}
	}
	if t.Entry != f.Holder.Entry {
		f.Trace.Record("pass", call.RequestID, "handed to "+t.Entry+", which issued its ticket")
		return f.Peers.Forward(callCtx, t.Entry, call)
	}
	// An earlier incarnation issued the ticket; whether the call ran is not
	// known.
	if t.Incarnation != f.Holder.Incarnation {
		return nil, repeatedError("the entry host that issued the ticket has restarted", 0)
	}
	usable := func() bool { return !t.Expired(time.Since(f.Started)) }
	if !usable() {
		return nil, repeatedError("the ticket has expired", 0)
	}
	return f.callWithOwnTicket(ctx, callCtx, call, t, usable)
}

// callWithOwnTicket sends a call under a ticket of this incarnation, or joins the
// call that was sent under it. The flight is kept until no call can be sent under
// the ticket any more.
func (f *Forwarder) callWithOwnTicket(ctx, callCtx context.Context, call *Call, t ticket.Ticket, usable func() bool) (*Response, *fault.Error) {
	key := claim.KeyOf(call.Team, fmt.Sprintf("%s%d", ticket.Prefix, t.Serial))
	body := claim.DigestOf(call.Method, call.URI, call.Body)
	until := f.Started.Add(t.Issued + ticket.TTL + f.ClaimTiming.MaxDeadline)
	flight, own, _ := f.flights.Begin(key, body, t.Serial, until)
	if !own {
		return f.joinFlight(ctx, callCtx, call, flight, body)
	}
	flight.Start()
	response, e := f.callOnce(callCtx, call, func() bool {
		return usable() && time.Now().Before(call.Deadline)
	})
	// If the ticket expired during the call, an earlier call may have used it and
	// its flight been dropped.
	if e != nil && !usable() {
		e.Verdict = e.Verdict.Weaken(fault.MayHaveRun)
	}
	flight.Finish(callResult{response, e}, e != nil && e.Verdict == fault.NotRun)
	return response, e
}

// ClaimStatus returns the status of a call that this entry host has claimed, for
// another entry host. It waits for the result until the context ends.
func (f *Forwarder) ClaimStatus(ctx context.Context, key claim.Key, nonce uint64) ClaimStatus {
	flight, known := f.flights.Find(key, nonce)
	if !known {
		return ClaimStatus{}
	}
	select {
	case <-flight.Done:
	case <-ctx.Done():
		return ClaimStatus{Pending: true}
	}
	if flight.Phase() == claim.NotSent {
		return ClaimStatus{NeverSent: true}
	}
	return ClaimStatus{Response: flight.Result().response}
}
