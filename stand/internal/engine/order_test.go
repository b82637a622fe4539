package engine

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	wire "fuchsiashelf.dev/parts/engine"
)

// Guards against loading a model that the current lease holder never ordered: an
// earlier holder was paused past the end of its lease and then sends its orders.
// An engine with fencing refuses them by their number, one without by their
// deadline.
func TestStaleOrderIsRefused(t *testing.T) {
	c := quicktest.New(t)
	now := time.UnixMilli(10_000)
	for _, test := range []struct {
		name     string
		fencing  bool
		number   uint64
		deadline int64
		want     string
	}{
		{"same holder", true, 7, 0, ""},
		{"older number", true, 6, 0, wire.Fenced},
		{"older number, no fencing", false, 6, 0, ""},
		{"expired", true, 7, 9_999, wire.Expired},
		{"expired, no fencing", false, 7, 9_999, wire.Expired},
	} {
		log := &orderLog{}
		c.Assert(log.accept(wire.Order{Number: 7}, test.fencing, now), quicktest.Equals, "")
		got := log.accept(wire.Order{Number: test.number, DeadlineMs: test.deadline}, test.fencing, now)
		c.Check(got, quicktest.Equals, test.want, quicktest.Commentf(test.name))
	}
}
