package plain

import (
	"context"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	wire "fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/stand/inject"
)

// The faults of a plain service.
const (
	// Refuse: the call is refused with the Not-Run header; the value is the reason.
	Refuse inject.Kind = "refuse"
	// CloseConn: the connection is closed before the call takes effect, like a
	// server that closes an idle connection while the call is being written.
	CloseConn inject.Kind = "close"
	// DropReply: the call takes effect and the connection is closed without a
	// response.
	DropReply inject.Kind = "drop"
	// HoldReply: the call takes effect and its response waits until the faults are
	// cleared.
	HoldReply inject.Kind = "hold"
	// Freeze: calls wait without effect while the fault is active.
	Freeze inject.Kind = "freeze"
	// Exit: the process exits when a call arrives, before it takes effect.
	Exit inject.Kind = "die"
	// Slow: the response is delayed by the duration that is the value.
	Slow inject.Kind = "slow"
)

// exitStatus is the status that the fault Exit exits with.
const exitStatus = 3

// beforeCall applies the faults that act before the call takes effect. It reports
// whether the call is finished.
func (s *Service) beforeCall(ctx context.Context, c *app.RequestContext) bool {
	if f, triggered := s.Faults.Trigger(Refuse); triggered {
		reason := f.Value
		if reason == "" {
			reason = "leaving"
		}
		c.Header(wire.NotRunHeader, reason)
		c.String(503, "%s", reason)
		return true
	}
	if _, triggered := s.Faults.Trigger(CloseConn); triggered {
		closeConn(c)
		return true
	}
	if _, triggered := s.Faults.Trigger(Exit); triggered {
		os.Exit(exitStatus)
	}
	s.Faults.WaitInactive(ctx, Freeze)
	return false
}

// afterCall applies the faults that act between the effect of the call and its
// response. It reports whether the call is finished.
func (s *Service) afterCall(ctx context.Context, c *app.RequestContext) bool {
	released := s.Faults.Cleared()
	if _, triggered := s.Faults.Trigger(HoldReply); triggered {
		waitReleased(ctx, released)
	}
	if f, triggered := s.Faults.Trigger(Slow); triggered {
		delay, _ := time.ParseDuration(f.Value)
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if _, triggered := s.Faults.Trigger(DropReply); triggered {
		closeConn(c)
		return true
	}
	return false
}

func waitReleased(ctx context.Context, released <-chan struct{}) {
	select {
	case <-released:
	case <-ctx.Done():
	}
}

// closeConn closes the connection without a response.
func closeConn(c *app.RequestContext) {
	_ = c.GetConn().Close()
	c.Abort()
}
