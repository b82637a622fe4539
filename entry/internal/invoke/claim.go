package invoke

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/fault"
)

// callWithClaim runs a call under a claim, or returns the outcome of the call
// that has the claim. ctx ends when the caller disconnects, callCtx only at the
// deadline of the call.
func (f *Forwarder) callWithClaim(ctx, callCtx context.Context, call *Call) (*Response, *fault.Error) {
	key := claim.KeyOf(call.Team, call.ID)
	body := claim.DigestOf(call.Method, call.URI, call.Body)
	// The nonce must not be zero, which stands for no nonce.
	nonce := rand.Uint64() | 1
	now := time.Now()
	flight, own, voidNonce := f.flights.Begin(key, body, nonce, now.Add(f.ClaimTiming.Expiry))
	if !own {
		return f.joinFlight(ctx, callCtx, call, flight, body)
	}
	c := &claimedCall{Forwarder: f, call: call, flight: flight, claimedAt: now, voidNonce: voidNonce, record: claim.Record{
		Key: key, Body: body, Nonce: nonce, Holder: f.Holder, Until: f.ClaimTiming.Until(now),
	}}
	c.run(callCtx)
	result := flight.Result()
	return result.response, result.err
}

// joinFlight waits for a call that is in progress on this entry host.
func (f *Forwarder) joinFlight(ctx, callCtx context.Context, call *Call, flight *claim.Flight[callResult], body claim.Digest) (*Response, *fault.Error) {
	if flight.Body != body {
		return nil, idReusedError()
	}
	f.Trace.Record("pass", call.RequestID, "joined the same call")
	select {
	case <-flight.Done:
		result := flight.Result()
		return result.response, result.err
	case <-ctx.Done():
	case <-callCtx.Done():
	}
	return nil, repeatedError("the same call is under way", time.Second)
}

// claimedCall is a call that runs under a claim of this entry host.
type claimedCall struct {
	*Forwarder
	call   *Call
	flight *claim.Flight[callResult]
	record claim.Record
	// claimedAt is when the claim was requested, before it was written.
	claimedAt time.Time
	// voidNonce is the nonce of a void claim that may be replaced.
	voidNonce uint64
	// claimAttempts counts the claims requested.
	claimAttempts int
}

// maxClaimAttempts bounds the claims of one call, each of which after the first
// replaces a void claim.
const maxClaimAttempts = 3

// run acquires the claim, acts on the outcome and gives the flight a result.
func (c *claimedCall) run(callCtx context.Context) {
	c.claimAttempts++
	found, e := c.Claims.Acquire(callCtx, claim.Take{Record: c.record, Replaces: c.voidNonce})
	if e != nil {
		c.claimFailed(callCtx, found, e)
		return
	}
	switch found := found.(type) {
	case claim.Granted:
		c.dispatch(callCtx)
	case claim.Completed:
		c.finish(replay(found.Record))
	case claim.Reused:
		c.finish(nil, idReusedError())
	case claim.Full:
		c.finish(nil, &fault.Error{
			Code: fault.Overloaded, Verdict: fault.NotRun,
			Message: "too many calls are claimed", RetryAfter: time.Minute,
		})
	case claim.Held:
		c.claimHeld(callCtx, found.Record)
	}
}

// claimFailed handles a call whose claim could not be written. The backend servers
// of a guarded service reject repeats themselves, so it is sent without a claim.
func (c *claimedCall) claimFailed(callCtx context.Context, found claim.OpResult, e *fault.Error) {
	if c.call.Service.Guarded && callCtx.Err() == nil {
		c.Trace.Record("pass", c.call.RequestID, "sent without a claim, its servers refuse repeats")
		c.dispatch(callCtx)
		return
	}
	// The verdict covers this call only. Whether an earlier call with the id ran
	// is recorded in the object API, which cannot be read.
	notSent := *e
	notSent.Message += "; this sending was not run"
	c.flight.Finish(callResult{err: &notSent}, true)
	if _, uncertain := found.(claim.Unknown); uncertain {
		c.forgetWhenWritten(c.Claims.Release(claim.Void{Key: c.record.Key, Nonce: c.record.Nonce}), 0)
		return
	}
	c.flights.Forget(c.flight)
}

// claimFresh reports whether the claim is far enough from its expiry to send the
// call.
func (c *claimedCall) claimFresh() bool {
	return claim.Fresh(c.claimedAt, time.Now(), c.call.Deadline.Sub(c.claimedAt))
}

// dispatch sends a call whose claim is granted and records the outcome.
func (c *claimedCall) dispatch(callCtx context.Context) {
	c.flight.Start()
	response, e := c.callOnce(callCtx, c.call, c.claimFresh)
	switch {
	case e == nil:
		c.flight.Finish(callResult{response: response}, false)
		c.record.Done = time.Now().UnixMilli()
		c.record.Outcome = recordedOutcome(response)
		c.forgetWhenWritten(c.Claims.Settle(claim.Settle{Record: c.record}), c.resultTTL())
	case e.Verdict == fault.NotRun:
		c.flight.Finish(callResult{err: e}, true)
		c.forgetWhenWritten(c.Claims.Release(claim.Void{Key: c.record.Key, Nonce: c.record.Nonce}), 0)
	default:
		// The claim stays, so that the call is never sent again and a resend
		// learns that it may have run.
		c.finish(nil, e)
	}
}

// claimHeld handles a call that is already claimed, by another entry host or by
// an earlier incarnation of this one.
func (c *claimedCall) claimHeld(callCtx context.Context, r claim.Record) {
	status := ClaimStatus{}
	if r.Holder != c.Holder {
		status = c.Peers.AwaitClaim(callCtx, r.Holder, c.call, r.Nonce)
	}
	switch {
	case status.Response != nil:
		c.finish(status.Response, nil)
	case status.NeverSent && c.claimAttempts < maxClaimAttempts:
		c.voidNonce = r.Nonce
		c.run(callCtx)
	case status.Pending:
		c.finish(nil, repeatedError("the same call is under way on "+r.Holder.Entry, time.Second))
	default:
		c.finish(nil, repeatedError("the call was taken by "+r.Holder.Entry+", which does not tell its outcome", 0))
	}
}

// finish ends a flight and forgets it at once. Nothing was sent under its claim,
// or the claim stays in the object API and records that the call may have run.
func (c *claimedCall) finish(response *Response, e *fault.Error) {
	c.flight.Finish(callResult{response, e}, false)
	c.flights.Forget(c.flight)
}

// resultTTL is how long the response is kept in memory after it was recorded, so
// that a resend through this entry host gets it even while the object API is
// down. A large response is not kept, to save memory.
func (c *claimedCall) resultTTL() time.Duration {
	if c.record.Outcome == nil {
		return 0
	}
	return claim.OutcomeTTL
}

// forgetWhenWritten drops the flight after a delay that starts when the write to
// the object API is done.
func (c *claimedCall) forgetWhenWritten(written <-chan struct{}, delay time.Duration) {
	go func() {
		select {
		case <-written:
			time.AfterFunc(delay, func() { c.flights.Forget(c.flight) })
		case <-c.Claims.Done:
		}
	}()
}

// recordedOutcome returns the outcome to record for a response, nil if it is too
// large.
func recordedOutcome(response *Response) *claim.Outcome {
	contentType := response.Header.Get("Content-Type")
	if len(response.Body)+len(contentType) > claim.MaxOutcome {
		return nil
	}
	return &claim.Outcome{Status: response.Status, Type: contentType, Body: response.Body}
}

// replay returns the recorded response of a call that has run.
func replay(r claim.Record) (*Response, *fault.Error) {
	if r.Outcome == nil {
		return nil, &fault.Error{
			Code: fault.Repeated, Verdict: fault.Ran,
			Message: "the call has run; its answer is not kept",
		}
	}
	response := &Response{Status: r.Outcome.Status, Header: http.Header{}, Body: r.Outcome.Body}
	if r.Outcome.Type != "" {
		response.Header.Set("Content-Type", r.Outcome.Type)
	}
	return response, nil
}

func idReusedError() *fault.Error {
	return &fault.Error{
		Code: fault.IDReused, Verdict: fault.NotRun, Field: IDHeader,
		Message: "the id belongs to another call",
	}
}

func repeatedError(message string, after time.Duration) *fault.Error {
	return &fault.Error{
		Code: fault.Repeated, Verdict: fault.MayHaveRun, Message: message, RetryAfter: after,
	}
}
