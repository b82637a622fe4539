package invoke

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/fault"
)

// claimed runs a call under a claim, or finds what has become of it. ctx is
// the caller's, work goes on without the caller.
func (p *Forwarder) claimed(ctx, work context.Context, call *Call) (*Reply, *fault.Error) {
	key := claim.KeyOf(call.Team, call.ID)
	body := claim.DigestOf(call.Method, call.URI, call.Body)
	// Zero stands for no nonce.
	nonce := rand.Uint64() | 1
	now := time.Now()
	f, own, over := p.table.Begin(key, body, nonce, now.Add(p.ClaimTerms.Expiry))
	if !own {
		return p.join(ctx, work, call, f, body)
	}
	c := &claiming{Forwarder: p, call: call, flight: f, at: now, over: over, record: claim.Record{
		Key: key, Body: body, Nonce: nonce, Holder: p.Holder, Until: p.ClaimTerms.Until(now),
	}}
	c.run(work)
	result := f.Result()
	return result.reply, result.err
}

// join waits for a call that is under way on this entry host.
func (p *Forwarder) join(ctx, work context.Context, call *Call, f *claim.Flight[end], body claim.Digest) (*Reply, *fault.Error) {
	if f.Body != body {
		return nil, reused()
	}
	p.Trace.Record("pass", call.Request, "joined the same call")
	select {
	case <-f.Done:
		result := f.Result()
		return result.reply, result.err
	case <-ctx.Done():
	case <-work.Done():
	}
	return nil, repeated("the same call is under way", time.Second)
}

// claiming is one call on its way through a claim.
type claiming struct {
	*Forwarder
	call   *Call
	flight *claim.Flight[end]
	record claim.Record
	// at is when the claim was asked for, before it was written.
	at time.Time
	// over is the nonce of a void claim that may be replaced.
	over uint64
	// tries counts the claims asked for.
	tries int
}

// maxClaims bounds how often a call claims over a void claim.
const maxClaims = 3

// run gives the flight a result.
func (c *claiming) run(work context.Context) {
	c.tries++
	found, e := c.Claims.Acquire(work, claim.Take{Record: c.record, Replaces: c.over})
	if e != nil {
		c.unclaimed(work, found, e)
		return
	}
	switch found := found.(type) {
	case claim.Granted:
		c.dispatch(work)
	case claim.Completed:
		c.tell(replay(found.Record))
	case claim.Reused:
		c.tell(nil, reused())
	case claim.Full:
		c.tell(nil, &fault.Error{
			Code: fault.Overloaded, Verdict: fault.NotRun,
			Message: "too many calls are claimed", RetryAfter: time.Minute,
		})
	case claim.Held:
		c.held(work, found.Record)
	}
}

// unclaimed ends a call whose claim could not be written.
func (c *claiming) unclaimed(work context.Context, found claim.OpResult, e *fault.Error) {
	if c.call.Service.Guarded && work.Err() == nil {
		c.Trace.Record("pass", c.call.Request, "sent without a claim, its servers refuse repeats")
		c.dispatch(work)
		return
	}
	// The verdict is that of this sending. Whether an earlier one under the
	// id ran is in the store, which can't be asked.
	told := *e
	told.Message += "; this sending was not run"
	c.flight.Finish(end{err: &told}, true)
	if _, doubt := found.(claim.Unknown); doubt {
		c.forgetAfter(c.Claims.Release(claim.Void{Key: c.record.Key, Nonce: c.record.Nonce}), 0)
		return
	}
	c.table.Forget(c.flight)
}

// fresh reports whether the claim is far enough from its expiry.
func (c *claiming) fresh() bool {
	return claim.Fresh(c.at, time.Now(), c.call.Deadline.Sub(c.at))
}

// dispatch sends a call whose claim is granted and records the outcome.
func (c *claiming) dispatch(work context.Context) {
	c.flight.Start()
	reply, e := c.once(work, c.call, c.fresh)
	switch {
	case e == nil:
		c.flight.Finish(end{reply: reply}, false)
		c.record.Done = time.Now().UnixMilli()
		c.record.Outcome = outcome(reply)
		c.forgetAfter(c.Claims.Settle(claim.Settle{Record: c.record}), c.kept())
	case e.Verdict == fault.NotRun:
		c.flight.Finish(end{err: e}, true)
		c.forgetAfter(c.Claims.Release(claim.Void{Key: c.record.Key, Nonce: c.record.Nonce}), 0)
	default:
		// The claim stays: whoever comes back learns that the call may have
		// run, and it is never sent again.
		c.tell(nil, e)
	}
}

// held ends a call that another flight has claimed, on this entry host in an
// earlier run or on another one.
func (c *claiming) held(work context.Context, r claim.Record) {
	told := ClaimStatus{}
	if r.Holder != c.Holder {
		told = c.Peers.AwaitClaim(work, r.Holder, c.call, r.Nonce)
	}
	switch {
	case told.Reply != nil:
		c.tell(told.Reply, nil)
	case told.NeverSent && c.tries < maxClaims:
		c.over = r.Nonce
		c.run(work)
	case told.Pending:
		c.tell(nil, repeated("the same call is under way on "+r.Holder.Entry, time.Second))
	default:
		c.tell(nil, repeated("the call was taken by "+r.Holder.Entry+", which does not tell its outcome", 0))
	}
}

// tell ends a flight that has sent nothing under its own claim, or whose
// claim says all that is known.
func (c *claiming) tell(reply *Reply, e *fault.Error) {
	c.flight.Finish(end{reply, e}, false)
	c.table.Forget(c.flight)
}

// kept is how long an answer is remembered here after it was recorded. A
// caller that comes back to the same entry host gets it even when the store
// is down. A large one is not worth the memory.
func (c *claiming) kept() time.Duration {
	if c.record.Outcome == nil {
		return 0
	}
	return claim.OutcomeTTL
}

// forgetAfter drops the flight some time after the store knows its end.
func (c *claiming) forgetAfter(written <-chan struct{}, kept time.Duration) {
	go func() {
		select {
		case <-written:
			time.AfterFunc(kept, func() { c.table.Forget(c.flight) })
		case <-c.Claims.Done:
		}
	}()
}

// outcome returns the part of an answer that is recorded; nil if it is too
// large.
func outcome(reply *Reply) *claim.Outcome {
	kind := reply.Header.Get("Content-Type")
	if len(reply.Body)+len(kind) > claim.MaxOutcome {
		return nil
	}
	return &claim.Outcome{Status: reply.Status, Type: kind, Body: reply.Body}
}

// replay returns the recorded answer to a call that ran before.
func replay(r claim.Record) (*Reply, *fault.Error) {
	if r.Outcome == nil {
		return nil, &fault.Error{
			Code: fault.Repeated, Verdict: fault.Ran,
			Message: "the call has run; its answer is not kept",
		}
	}
	reply := &Reply{Status: r.Outcome.Status, Header: http.Header{}, Body: r.Outcome.Body}
	if r.Outcome.Type != "" {
		reply.Header.Set("Content-Type", r.Outcome.Type)
	}
	return reply, nil
}

func reused() *fault.Error {
	return &fault.Error{
		Code: fault.IDReused, Verdict: fault.NotRun, Field: IDHeader,
		Message: "the id belongs to another call",
	}
}

func repeated(message string, after time.Duration) *fault.Error {
	return &fault.Error{
		Code: fault.Repeated, Verdict: fault.MayHaveRun, Message: message, RetryAfter: after,
	}
}
