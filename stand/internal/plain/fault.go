package plain

import (
	"context"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	wire "fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/stand/inject"
)

// The faults of a plain service. Those without a time strike as a call
// comes in.
const (
	// Refuse: the call is refused with Not-Run; the value is the reason.
	Refuse inject.Kind = "refuse"
	// CloseConn: the connection is closed before the call takes effect, as a
	// server does that closes an idle connection while the call is written.
	CloseConn inject.Kind = "close"
	// DropReply: the call takes effect and the connection is closed
	// unanswered.
	DropReply inject.Kind = "drop"
	// HoldReply: the call takes effect and its answer waits until the faults are
	// cleared.
	HoldReply inject.Kind = "hold"
	// Freeze: calls wait without effect while the fault is on.
	Freeze inject.Kind = "freeze"
	// Exit: the process ends with the call.
	Exit inject.Kind = "die"
	// Slow: the answer takes the given time longer.
	Slow inject.Kind = "slow"
)

// deadStatus is the exit status of a process that Die has ended.
const deadStatus = 3

// before applies the faults that come before the effect. It reports whether
// the call ends there.
func (s *Service) before(ctx context.Context, c *app.RequestContext) bool {
	if f, hit := s.Faults.Trigger(Refuse); hit {
		why := f.Value
		if why == "" {
			why = "leaving"
		}
		c.Header(wire.NotRunHeader, why)
		c.String(503, "%s", why)
		return true
	}
	if _, hit := s.Faults.Trigger(CloseConn); hit {
		hangUp(c)
		return true
	}
	if _, hit := s.Faults.Trigger(Exit); hit {
		os.Exit(deadStatus)
	}
	s.Faults.WaitInactive(ctx, Freeze)
	return false
}

// after applies the faults that come between the effect and the answer. It
// reports whether the call ends there.
func (s *Service) after(ctx context.Context, c *app.RequestContext) bool {
	released := s.Faults.Cleared()
	if _, hit := s.Faults.Trigger(HoldReply); hit {
		wait(ctx, released)
	}
	if f, hit := s.Faults.Trigger(Slow); hit {
		d, _ := time.ParseDuration(f.Value)
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if _, hit := s.Faults.Trigger(DropReply); hit {
		hangUp(c)
		return true
	}
	return false
}

func wait(ctx context.Context, released <-chan struct{}) {
	select {
	case <-released:
	case <-ctx.Done():
	}
}

// hangUp closes the connection without an answer.
func hangUp(c *app.RequestContext) {
	_ = c.GetConn().Close()
	c.Abort()
}
