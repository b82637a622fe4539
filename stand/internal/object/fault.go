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

// The faults of the store. Those of writes strike only keys that start with
// the fault's value, so that a test can lose one write among many.
const (
	// Outage: every call fails with 503.
	Outage inject.Kind = "outage"
	// Slow: every call takes the given time longer.
	Slow inject.Kind = "slow"
	// DropReply: the write takes effect and the connection is closed without
	// an answer.
	DropReply inject.Kind = "drop"
	// DropWrite: the connection is closed before the write takes effect.
	DropWrite inject.Kind = "lose"
	// HoldReply: the write takes effect and its answer waits until the faults are
	// cleared. The counts tell under "held" how many were held.
	HoldReply inject.Kind = "hold"
	// StaleReads: reads are answered with the value before the newest, as by a
	// replica that was restored from an older copy.
	StaleReads inject.Kind = "old"
	// BreakWatches: waiting watches are cut off.
	BreakWatches inject.Kind = "break"
	// Disconnect: calls of the entry hosts in the value, separated by commas, have
	// their connection closed.
	Disconnect inject.Kind = "cut"
)

// guard counts a call and applies the faults that all calls share.
func (f *Server) guard(kind string, limit *limit, next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		f.Store.CountCall(kind, entry(c))
		if f.isCut(c) {
			hangUp(c)
			return
		}
		if !limit.allow() {
			f.Store.CountCall("limited", entry(c))
			c.Header("Retry-After", "1")
			c.String(429, "over the rate")
			return
		}
		if slow, on := f.Faults.Active(Slow); on {
			more, _ := time.ParseDuration(slow.Value)
			wait.For(ctx, more)
		}
		if _, on := f.Faults.Active(Outage); on {
			c.String(503, "outage")
			return
		}
		next(ctx, c)
	}
}

// entry names the entry host that makes a call, if it says so.
func entry(c *app.RequestContext) string {
	return string(c.GetHeader(store.EntryHeader))
}

func (f *Server) isCut(c *app.RequestContext) bool {
	cut, on := f.Faults.Active(Disconnect)
	return on && slices.Contains(strings.Split(cut.Value, ","), entry(c))
}

// strikes uses a fault of writes up if it is meant for the key.
func (f *Server) strikes(kind inject.Kind, key string) bool {
	_, hit := f.Faults.TriggerIf(kind, func(value string) bool { return strings.HasPrefix(key, value) })
	return hit
}

// disturbed reports whether a waiting watch is to be cut off.
func (f *Server) disturbed(c *app.RequestContext) bool {
	if f.isCut(c) {
		return true
	}
	_, broken := f.Faults.Trigger(BreakWatches)
	return broken
}

// hangUp closes the connection without an answer.
func hangUp(c *app.RequestContext) {
	_ = c.GetConn().Close()
	c.Abort()
}
