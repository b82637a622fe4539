package invoke

import (
	"context"
	"fmt"
	"time"

	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/ticket"
)

// Issue returns a ticket of this entry host for a call of a team.
func (p *Forwarder) Issue(team string) (string, error) {
	count("pass.tickets")
	return p.Signer.Issue(ticket.Ticket{
		Entry: p.Holder.Entry, Incarnation: p.Holder.Incarnation,
		Serial: p.serial.Add(1), Issued: time.Since(p.Started),
	}, team)
}

// Redeem runs a call under a ticket of this entry host that came in at
// another.
func (p *Forwarder) Redeem(ctx context.Context, call *Call) (*Reply, *fault.Error) {
	t, err := p.Signer.Parse(call.ID, call.Team)
	if err != nil || t.Entry != p.Holder.Entry {
		return nil, repeated("not a ticket of this entry host", 0)
	}
	return p.Call(ctx, call)
}

// ticketed runs a call under a ticket of this entry host, and hands any
// other to the issuer of its ticket.
func (p *Forwarder) ticketed(ctx, work context.Context, call *Call) (*Reply, *fault.Error) {
	t, err := p.Signer.Parse(call.ID, call.Team)
	if err != nil {
		return nil, &fault.Error{
			Code: fault.BadRequest, Verdict: fault.NotRun, Field: IDHeader, Message: err.Error(),
		}
	}
	if t.Entry != p.Holder.Entry {
		p.Trace.Record("pass", call.Request, "handed to "+t.Entry+", which issued its ticket")
		return p.Peers.Forward(work, t.Entry, call)
	}
	// A ticket of an earlier run: whether the call ran is forgotten.
	if t.Incarnation != p.Holder.Incarnation {
		return nil, repeated("the entry host that issued the ticket has restarted", 0)
	}
	usable := func() bool { return !t.Expired(time.Since(p.Started)) }
	if !usable() {
		return nil, repeated("the ticket has expired", 0)
	}
	return p.redeem(ctx, work, call, t, usable)
}

// redeem sends a call under a ticket of this run, or joins the one that was
// sent. The table remembers a ticket until no call can leave under it.
func (p *Forwarder) redeem(ctx, work context.Context, call *Call, t ticket.Ticket, usable func() bool) (*Reply, *fault.Error) {
	key := claim.KeyOf(call.Team, fmt.Sprintf("%s%d", ticket.Prefix, t.Serial))
	body := claim.DigestOf(call.Method, call.URI, call.Body)
	until := p.Started.Add(t.Issued + ticket.TTL + p.ClaimTerms.MaxDeadline)
	f, own, _ := p.table.Begin(key, body, t.Serial, until)
	if !own {
		return p.join(ctx, work, call, f, body)
	}
	f.Start()
	reply, e := p.once(work, call, func() bool {
		return usable() && time.Now().Before(call.Deadline)
	})
	// A ticket that expired on the way may have been used and forgotten.
	if e != nil && !usable() {
		e.Verdict = e.Verdict.Weaken(fault.MayHaveRun)
	}
	f.Finish(end{reply, e}, e != nil && e.Verdict == fault.NotRun)
	return reply, e
}

// ClaimStatus answers another entry host that asks after a call which this one
// has claimed.
func (p *Forwarder) ClaimStatus(ctx context.Context, key claim.Key, nonce uint64) ClaimStatus {
	f, known := p.table.Find(key, nonce)
	if !known {
		return ClaimStatus{}
	}
	select {
	case <-f.Done:
	case <-ctx.Done():
		return ClaimStatus{Pending: true}
	}
	if f.Phase() == claim.NotSent {
		return ClaimStatus{NeverSent: true}
	}
	return ClaimStatus{Reply: f.Result().reply}
}
