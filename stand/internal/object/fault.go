package object

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/wait"
	"fuchsiashelf.dev/stand/inject"
)

// The faults of the store. DropReply, DropWrite and HoldReply apply only to writes
// of keys that start with the fault's value, so that a test can affect one write
// among many.
const (
	// Outage: every call is answered with 503.
	Outage inject.Kind = "outage"
	// Slow: every call is delayed by the duration that is the value.
	Slow inject.Kind = "slow"
	// DropReply: the write takes effect and the connection is closed without a
	// response.
	DropReply inject.Kind = "drop"
	// DropWrite: the connection is closed before the write takes effect.
	DropWrite inject.Kind = "lose"
	// HoldReply: the write takes effect and its response waits until the faults
	// are cleared. GET /counts counts held responses as "held".
	HoldReply inject.Kind = "hold"
	// StaleReads: reads return the value before the newest write, like a replica
	// that was restored from an older copy.
	StaleReads inject.Kind = "old"
	// BreakWatches: the connections of pending watches are closed.
	BreakWatches inject.Kind = "break"
	// Disconnect: calls and pending watches of the entry hosts in the value, a
	// comma-separated list of names, have their connection closed.
	Disconnect inject.Kind = "cut"
)

// wrap returns a handler that counts a call and applies the rate limit and the
// faults that affect all calls, before it calls next.
func (s *Server) wrap(kind string, limit *rateLimit, next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		s.Store.CountCall(kind, entryHost(c))
		if s.isDisconnected(c) {
			closeConn(c)
			return
		}
		if !limit.allow() {
			s.Store.CountCall("limited", entryHost(c))
			c.Header("Retry-After", "1")
			c.String(429, "over the rate")
			return
		}
		if slow, active := s.Faults.Active(Slow); active {
			delay, _ := time.ParseDuration(slow.Value)
			wait.For(ctx, delay)
		}
		if _, active := s.Faults.Active(Outage); active {
			c.String(503, "outage")
			return
		}
		next(ctx, c)
	}
}

// entryHost returns the name of the calling entry host, or "" if the call has
// none.
func entryHost(c *app.RequestContext) string {
	return string(c.GetHeader(store.EntryHeader))
}

// isDisconnected reports whether Disconnect applies to the calling entry host.
func (s *Server) isDisconnected(c *app.RequestContext) bool {
	disconnect, active := s.Faults.Active(Disconnect)
	return active && slices.Contains(strings.Split(disconnect.Value, ","), entryHost(c))
}

// triggerFor triggers a fault that affects writes if it applies to the key.
func (s *Server) triggerFor(kind inject.Kind, key string) bool {
	_, triggered := s.Faults.TriggerIf(kind, func(value string) bool { return strings.HasPrefix(key, value) })
	return triggered
}

// breaksWatch reports whether a fault closes the connection of a pending watch.
func (s *Server) breaksWatch(c *app.RequestContext) bool {
	if s.isDisconnected(c) {
		return true
	}
	_, triggered := s.Faults.Trigger(BreakWatches)
	return triggered
}

// closeConn closes the connection without a response.
func closeConn(c *app.RequestContext) {
	_ = c.GetConn().Close()
	c.Abort()
}
