package engine

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	wire "fuchsiashelf.dev/parts/engine"
)

// A holder that was paused past its lease wakes up and goes on giving orders.
// An engine that checks numbers refuses them; one that does not is protected
// by the deadline alone. Without both, an operator would see a model loaded
// that the present holder never asked for.
func TestOldOrderRefused(t *testing.T) {
	c := quicktest.New(t)
	now := time.UnixMilli(10_000)
	for _, test := range []struct {
		name     string
		checks   bool
		number   uint64
		deadline int64
		want     string
	}{
		{"same holder", true, 7, 0, ""},
		{"older number", true, 6, 0, wire.Fenced},
		{"older number, not checked", false, 6, 0, ""},
		{"lapsed", true, 7, 9_999, wire.Expired},
		{"lapsed, not checked", false, 7, 9_999, wire.Expired},
	} {
		o := &orders{}
		c.Assert(o.take(wire.Order{Number: 7}, test.checks, now), quicktest.Equals, "")
		got := o.take(wire.Order{Number: test.number, DeadlineMs: test.deadline}, test.checks, now)
		c.Check(got, quicktest.Equals, test.want, quicktest.Commentf(test.name))
	}
}
