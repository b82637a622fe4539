package engine

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	wire "fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/stand/inject"
	"fuchsiashelf.dev/stand/token"
)

// The faults of an engine.
const (
	// Refuse: new requests are refused with the Not-Run header; accepted ones continue.
	Refuse inject.Kind = "refuse"
	// Exit: the process exits once the control listener has answered.
	Exit inject.Kind = "die"
	// ExitAtToken: the process exits before it runs the token whose index is the
	// value.
	ExitAtToken inject.Kind = "diesat"
	// CrashOnPrompt: the process exits before it runs a token of the prompt that is
	// the value.
	CrashOnPrompt inject.Kind = "crash"
	// CrashOnParagraph: the process exits before it runs a token of a prompt of which a paragraph but
	// the last is the value.
	CrashOnParagraph inject.Kind = "crashpart"
	// Freeze: connections are accepted and nothing is answered.
	Freeze inject.Kind = "freeze"
	// DelayLinks: links get the delays in the value, as in "b1=20ms,b2=cut".
	DelayLinks inject.Kind = "link"
	// Slow: a step takes the duration that is the value.
	Slow inject.Kind = "slow"
	// StaleFrames: each frame is preceded by a frame of an older attempt.
	StaleFrames inject.Kind = "late"
	// ForeignFrames: each frame is preceded by a frame of another request.
	ForeignFrames inject.Kind = "cross"
	// Truncate: the stream closes without an end frame after the number of tokens
	// that is the value.
	Truncate inject.Kind = "truncate"
	// OmitEnd: the stream closes after the last token without an end frame.
	OmitEnd inject.Kind = "noend"
	// SwapStreams: two streams are sent on each other's connection.
	SwapStreams inject.Kind = "swap"
	// OmitLastLayer: the engine does not run its last layer.
	OmitLastLayer inject.Kind = "wrongrange"
)

// The exit statuses of the exit faults. They show tests which fault ended the
// engine.
const (
	exitFault       = 3
	exitCrashPrompt = 4
)

// exitDelay lets the control listener answer before the process ends.
const exitDelay = 20 * time.Millisecond

// init connects the faults to the engine.
func (e *Engine) init() {
	e.links.init(e.Links)
	e.Faults.OnAdd = e.faultAdded
	e.Faults.OnClear = e.links.reset
}

// faultAdded checks the value of a new fault and applies the faults that take effect
// at once.
func (e *Engine) faultAdded(f inject.Fault) error {
	switch f.Kind {
	case DelayLinks:
		delays, err := ParseLinks(f.Value)
		if err != nil {
			return err
		}
		e.links.set(delays)
	case Exit:
		time.AfterFunc(exitDelay, func() { e.exit(exitFault) })
	case Slow:
		_, err := time.ParseDuration(f.Value)
		return err
	case Truncate, ExitAtToken:
		_, err := strconv.Atoi(f.Value)
		return err
	}
	return nil
}

// tokenTime returns the duration of one step.
func (e *Engine) tokenTime() time.Duration {
	if f, active := e.Faults.Active(Slow); active {
		if slow, err := time.ParseDuration(f.Value); err == nil {
			return slow
		}
	}
	return e.TokenTime
}

// applyFaults exits if an exit fault applies to this step, and waits while the
// engine is frozen.
func (e *Engine) applyFaults(ctx context.Context, s *step) error {
	if f, active := e.Faults.Active(CrashOnPrompt); active && f.Value == s.Prompt {
		slog.Error("engine: exit by injected crash on prompt", "server", e.Name, "request", s.Request, "prompt", s.Prompt)
		e.exit(exitCrashPrompt)
	}
	if f, active := e.Faults.Active(CrashOnParagraph); active && hasParagraph(s.Prompt, f.Value) {
		slog.Error("engine: exit by injected crash on a paragraph", "server", e.Name, "request", s.Request, "prompt", s.Prompt)
		e.exit(exitCrashPrompt)
	}
	if f, active := e.Faults.Active(ExitAtToken); active && f.Value == strconv.Itoa(s.Index) {
		slog.Error("engine: exit by injected fault at token", "server", e.Name, "request", s.Request, "index", s.Index)
		e.exit(exitFault)
	}
	return e.waitUnfrozen(ctx)
}

// hasParagraph reports whether a paragraph of a prompt, but the last, is the given one.
func hasParagraph(prompt, paragraph string) bool {
	paragraphs := strings.Split(prompt, "\n\n")
	return slices.Contains(paragraphs[:len(paragraphs)-1], paragraph)
}

// writeExtraFrames writes the frames that StaleFrames and ForeignFrames add before a
// frame.
func (e *Engine) writeExtraFrames(w frameWriter, f wire.Frame) error {
	if _, active := e.Faults.Trigger(StaleFrames); active {
		stale := f
		stale.Attempt--
		stale.Token = token.Start("an older attempt", f.Index).Token()
		if err := w.write(&stale); err != nil {
			return err
		}
	}
	if _, active := e.Faults.Trigger(ForeignFrames); active {
		foreign := f
		foreign.Request = "another-" + f.Request
		foreign.Token = token.Start("another request", f.Index).Token()
		return w.write(&foreign)
	}
	return nil
}

// truncates reports whether the stream is to close after this number of tokens.
func (e *Engine) truncates(tokens int) bool {
	f, active := e.Faults.Active(Truncate)
	if !active || f.Value != strconv.Itoa(tokens) {
		return false
	}
	_, active = e.Faults.Trigger(Truncate)
	return active
}

// waitUnfrozen waits until the engine is not frozen or the context ends.
func (e *Engine) waitUnfrozen(ctx context.Context) error {
	e.Faults.WaitInactive(ctx, Freeze)
	return ctx.Err()
}
