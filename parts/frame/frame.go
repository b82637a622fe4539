// Package frame validates the frames of a response.
//
// A frame is accepted only for the current attempt of its request, with exactly
// the next index, and with spans that tile all layers of the model. So frames
// that arrive late or belong to another request cannot be mixed into a
// response, and every token is checked to have passed through each layer once
// and in order.
package frame

import (
	"fmt"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
)

// Result is the result of the validation of a frame.
type Result uint8

// The results.
const (
	// Drop means that the frame belongs to another attempt or request.
	Drop Result = iota
	// Token means that the frame carries the next token.
	Token
	// End means that the response is complete.
	End
	// Failed means that a server of the chain failed.
	Failed
	// Invalid means that the attempt can no longer be trusted.
	Invalid
)

// Validator holds the state of one attempt. Set the fields, then call Next for
// each frame.
type Validator struct {
	Request string
	Attempt int
	Layers  int
	// Chain is the chain that the request was sent to. Each token must come
	// from exactly these servers and ranges; nil disables this check.
	Chain []engine.Stage
	// Index is the index that the next token must have.
	Index int
}

// Next validates a frame, and advances Index after a token. The error is set
// with Failed and Invalid.
func (v *Validator) Next(f *engine.Frame) (Result, *fault.Error) {
	if f.Request != v.Request || f.Attempt != v.Attempt {
		return Drop, nil
	}
	if f.Fail != nil {
		return Failed, failureError(f.Fail)
	}
	if f.End {
		if f.Count != v.Index {
			return Invalid, invalidResponse("the end counts %d tokens, %d came", f.Count, v.Index)
		}
		return End, nil
	}
	if f.Index != v.Index {
		return Invalid, invalidResponse("token %d came in place of %d", f.Index, v.Index)
	}
	if e := v.checkSpans(f.Spans); e != nil {
		return Invalid, e
	}
	v.Index++
	return Token, nil
}

// failureError returns the error for a failure frame. A server that refused did
// not run the request, but those before it in the chain may have.
func failureError(f *engine.Failure) *fault.Error {
	e := &fault.Error{
		Code: fault.ServerFailed, Verdict: fault.MayHaveRun,
		Server: f.Server, Message: f.Message,
	}
	if f.Refused {
		e.Code = fault.ServerRefused
	}
	return e
}

// checkSpans checks that the spans tile [0, Layers) in order.
func (v *Validator) checkSpans(spans []engine.Span) *fault.Error {
	// A server that stops short leaves a gap before the next one. The spans are
	// compared with the chain first, so that the error names the faulty server;
	// if it named the next one, later attempts would use the faulty server
	// again.
	if e := v.matchChain(spans); e != nil {
		return e
	}
	next := 0
	for _, s := range spans {
		if s.First != next || s.End <= s.First || s.End > v.Layers {
			e := invalidResponse("layers %d to %d ran where layer %d was due", s.First, s.End, next)
			e.Server = s.Server
			return e
		}
		next = s.End
	}
	if next != v.Layers {
		return invalidResponse("layers ran up to %d of %d", next, v.Layers)
	}
	return nil
}

// matchChain checks that the spans are the stages of the chain. Spans of other
// servers that tile the layers come from the chain of another request, or from
// a server that forwarded to one that is not in its chain.
func (v *Validator) matchChain(spans []engine.Span) *fault.Error {
	if v.Chain == nil {
		return nil
	}
	if len(spans) != len(v.Chain) {
		return invalidResponse("%d servers ran, not the %d of the chain", len(spans), len(v.Chain))
	}
	for i, s := range spans {
		want := &v.Chain[i]
		if s.Server != want.Server || s.First != want.First || s.End != want.End {
			e := invalidResponse("server %s ran layers %d to %d, not %s %d to %d",
				s.Server, s.First, s.End, want.Server, want.First, want.End)
			e.Server = want.Server
			return e
		}
	}
	return nil
}

func invalidResponse(format string, args ...any) *fault.Error {
	return &fault.Error{
		Code: fault.InvalidResponse, Verdict: fault.MayHaveRun,
		Message: fmt.Sprintf(format, args...),
	}
}
