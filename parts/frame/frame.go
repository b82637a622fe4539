// Package frame accepts or rejects the frames of an answer.
//
// A frame is accepted only for the current attempt of its request, with
// exactly the next index, and with spans that tile all layers of the model.
// So answers that arrive late or crossed cannot mix, and that each layer ran
// once and in order is checked for every token.
package frame

import (
	"fmt"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
)

// Result is what to do with a frame.
type Result uint8

// The verdicts.
const (
	// Drop means that the frame belongs to another attempt or request.
	Drop Result = iota
	// Token means that the frame carries the next token.
	Token
	// End means that the answer is whole.
	End
	// Failed means that a server of the chain failed.
	Failed
	// Invalid means that the attempt cannot be trusted any more.
	Invalid
)

// Validator holds the state of one attempt. Set the fields, then call Next for
// each frame.
type Validator struct {
	Request string
	Attempt int
	Layers  int
	// Chain is the chain that the request was sent to. Each token has to come
	// from exactly these servers and ranges; nil leaves that unchecked.
	Chain []engine.Stage
	// Index is the index that the next token must have.
	Index int
}

// Next judges a frame and moves on past a token. The error is set with
// Failed and Broken.
func (c *Validator) Next(f *engine.Frame) (Result, *fault.Error) {
	if f.Request != c.Request || f.Attempt != c.Attempt {
		return Drop, nil
	}
	if f.Fail != nil {
		return Failed, failed(f.Fail)
	}
	if f.End {
		if f.Count != c.Index {
			return Invalid, broken("the end counts %d tokens, %d came", f.Count, c.Index)
		}
		return End, nil
	}
	if f.Index != c.Index {
		return Invalid, broken("token %d came in place of %d", f.Index, c.Index)
	}
	if e := c.cover(f.Spans); e != nil {
		return Invalid, e
	}
	c.Index++
	return Token, nil
}

// failed is the error that a failure frame stands for. A server that refused
// did not run the request, but those before it in the chain may have.
func failed(f *engine.Failure) *fault.Error {
	e := &fault.Error{
		Code: fault.ServerFailed, Verdict: fault.MayHaveRun,
		Server: f.Server, Message: f.Message,
	}
	if f.Refused {
		e.Code = fault.ServerRefused
	}
	return e
}

// cover checks that the spans tile [0, Layers) in order.
func (c *Validator) cover(spans []engine.Span) *fault.Error {
	// A server that stops short leaves a gap before the next one. Compared
	// with the chain first, the error names the server that is at fault; were
	// the next one blamed, each later attempt would meet the faulty one again.
	if e := c.same(spans); e != nil {
		return e
	}
	at := 0
	for _, s := range spans {
		if s.First != at || s.End <= s.First || s.End > c.Layers {
			e := broken("layers %d to %d ran where layer %d was due", s.First, s.End, at)
			e.Server = s.Server
			return e
		}
		at = s.End
	}
	if at != c.Layers {
		return broken("layers ran up to %d of %d", at, c.Layers)
	}
	return nil
}

// same checks that the spans are the stages of the chain. Spans of other
// servers that happen to tile the layers too come from another request's
// chain, or from a server that handed on to one that it was not told of.
func (c *Validator) same(spans []engine.Span) *fault.Error {
	if c.Chain == nil {
		return nil
	}
	if len(spans) != len(c.Chain) {
		return broken("%d servers ran, not the %d of the chain", len(spans), len(c.Chain))
	}
	for i, s := range spans {
		due := &c.Chain[i]
		if s.Server != due.Server || s.First != due.First || s.End != due.End {
			e := broken("server %s ran layers %d to %d, not %s %d to %d",
				s.Server, s.First, s.End, due.Server, due.First, due.End)
			e.Server = due.Server
			return e
		}
	}
	return nil
}

func broken(format string, args ...any) *fault.Error {
	return &fault.Error{
		Code: fault.BrokenAnswer, Verdict: fault.MayHaveRun,
		Message: fmt.Sprintf(format, args...),
	}
}
