package engine

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	wire "fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/stand/inject"
	"fuchsiashelf.dev/stand/token"
)

// The faults of an engine.
const (
	// Refuse: new requests are refused with Not-Run, those under way go on.
	Refuse inject.Kind = "refuse"
	// Exit: the process ends at once.
	Exit inject.Kind = "die"
	// ExitAtToken: the process ends as it is to run the token with this index.
	ExitAtToken inject.Kind = "diesat"
	// CrashOnPrompt: the process ends as it runs the prompt that is the value.
	CrashOnPrompt inject.Kind = "crash"
	// Freeze: connections are accepted, and nothing is answered.
	Freeze inject.Kind = "freeze"
	// DelayLinks: links take the delays of the value, as in "b1=20ms,b2=cut".
	DelayLinks inject.Kind = "link"
	// Slow: a step takes the time that is the value.
	Slow inject.Kind = "slow"
	// StaleFrames: each frame comes after one of an older attempt.
	StaleFrames inject.Kind = "late"
	// ForeignFrames: each frame comes after one of another request.
	ForeignFrames inject.Kind = "cross"
	// Truncate: the stream closes without an end after this many tokens.
	Truncate inject.Kind = "truncate"
	// OmitEnd: the stream closes after the last token, without an end.
	OmitEnd inject.Kind = "noend"
	// SwapStreams: the streams of two callers go to each other's connection.
	SwapStreams inject.Kind = "swap"
	// OmitLastLayer: the server leaves its last layer out.
	OmitLastLayer inject.Kind = "wrongrange"
)

// The exit statuses of an engine that ends by a fault. A session tells by
// them why an engine ended.
const (
	ExitDied    = 3
	ExitCrashed = 4
)

// dieWait lets the control listener answer before the process ends.
const dieWait = 20 * time.Millisecond

// start readies the parts that faults act on.
func (e *Engine) start() {
	e.links.start(e.Links)
	e.Faults.OnAdd = e.added
	e.Faults.OnClear = e.links.reset
}

func (e *Engine) added(f inject.Fault) error {
	switch f.Kind {
	case DelayLinks:
		delays, err := ParseLinks(f.Value)
		if err != nil {
			return err
		}
		e.links.set(delays)
	case Exit:
		time.AfterFunc(dieWait, func() { e.exit(ExitDied) })
	case Slow:
		_, err := time.ParseDuration(f.Value)
		return err
	case Truncate, ExitAtToken:
		_, err := strconv.Atoi(f.Value)
		return err
	}
	return nil
}

// tokenTime is the time of one step.
func (e *Engine) tokenTime() time.Duration {
	if f, on := e.Faults.Active(Slow); on {
		if slow, err := time.ParseDuration(f.Value); err == nil {
			return slow
		}
	}
	return e.TokenTime
}

// strike ends the process or holds it, if a fault says so for this step.
func (e *Engine) strike(ctx context.Context, s *step) error {
	if f, on := e.Faults.Active(CrashOnPrompt); on && f.Value == s.Prompt {
		slog.Error("engine: crashed", "server", e.Name, "request", s.Request, "prompt", s.Prompt)
		e.exit(ExitCrashed)
	}
	if f, on := e.Faults.Active(ExitAtToken); on && f.Value == strconv.Itoa(s.Index) {
		slog.Error("engine: died", "server", e.Name, "request", s.Request, "index", s.Index)
		e.exit(ExitDied)
	}
	return e.thawed(ctx)
}

// strays writes the frames that late or crossed streams add before a frame.
func (e *Engine) strays(w writer, f wire.Frame) error {
	if _, on := e.Faults.Trigger(StaleFrames); on {
		old := f
		old.Attempt--
		old.Token = token.Start("an older attempt", f.Index).Token()
		if err := w.write(&old); err != nil {
			return err
		}
	}
	if _, on := e.Faults.Trigger(ForeignFrames); on {
		other := f
		other.Request = "another-" + f.Request
		other.Token = token.Start("another request", f.Index).Token()
		return w.write(&other)
	}
	return nil
}

// closes reports whether the stream is to close after so many tokens.
func (e *Engine) closes(tokens int) bool {
	f, on := e.Faults.Active(Truncate)
	if !on || f.Value != strconv.Itoa(tokens) {
		return false
	}
	_, on = e.Faults.Trigger(Truncate)
	return on
}

// thawed returns once the engine is not frozen, or with the context's error.
func (e *Engine) thawed(ctx context.Context) error {
	e.Faults.WaitInactive(ctx, Freeze)
	return ctx.Err()
}
