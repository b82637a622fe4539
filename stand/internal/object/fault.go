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
	// Lose: the connection is closed before the write takes effect.
	Lose inject.Kind = "lose"
	// Hold: the write takes effect and its answer waits until the faults are
	// cleared. The counts tell under "held" how many were held.
	Hold inject.Kind = "hold"
	// Old: reads are answered with the value before the newest, as by a
	// replica that was restored from an older copy.
	Old inject.Kind = "old"
	// Break: waiting watches are cut off.
	Break inject.Kind = "break"
	// Cut: calls of the entry hosts in the value, separated by commas, have
	// their connection closed.
	Cut inject.Kind = "cut"
)

// guard counts a call and applies the faults that all calls share.
func (f *Face) guard(kind string, limit *limit, next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		f.Store.Count(kind, entry(c))
		if f.isCut(c) {
			hangUp(c)
			return
		}
		if !limit.allow() {
			f.Store.Count("limited", entry(c))
			c.Header("Retry-After", "1")
			c.String(429, "over the rate")
			return
		}
		if slow, on := f.Faults.On(Slow); on {
			more, _ := time.ParseDuration(slow.Value)
			wait.For(ctx, more)
		}
		if _, on := f.Faults.On(Outage); on {
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

func (f *Face) isCut(c *app.RequestContext) bool {
	cut, on := f.Faults.On(Cut)
	return on && slices.Contains(strings.Split(cut.Value, ","), entry(c))
}

// strikes uses a fault of writes up if it is meant for the key.
func (f *Face) strikes(kind inject.Kind, key string) bool {
	_, hit := f.Faults.StrikeIf(kind, func(value string) bool { return strings.HasPrefix(key, value) })
	return hit
}

// disturbed reports whether a waiting watch is to be cut off.
func (f *Face) disturbed(c *app.RequestContext) bool {
	if f.isCut(c) {
		return true
	}
	_, broken := f.Faults.Strike(Break)
	return broken
}

// hangUp closes the connection without an answer.
func hangUp(c *app.RequestContext) {
	_ = c.GetConn().Close()
	c.Abort()
}
