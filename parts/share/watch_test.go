package share_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/share"
)

// Guards against demand that is unknown to others while nothing waits, that stays in messages of a
// service which is not watched any more, or that is not extended from the hosts heard from to all.
func TestWatchedDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := newTracker(1, map[domain.Name]int{"a": 6}), newTracker(2, map[domain.Name]int{"a": 6})
	for range 8 {
		one.Begin(share.Class{Service: "s", Team: "x"}, 1, now)()
	}
	qt.Check(t, one.Rows(now), qt.HasLen, 0)
	own, others, age := other.Demand("s", now)
	qt.Check(t, own, qt.Equals, 0.0)
	qt.Check(t, others, qt.HasLen, 0)
	qt.Check(t, age > time.Hour, qt.IsTrue)
	one.Watch("s", now)
	other.Merge("1", "a", one.Rows(now), now)
	other.Refuse(share.Class{Service: "s", Team: "y"}, 1, now)
	other.Sweep(now)
	own, others, age = other.Demand("s", now.Add(time.Millisecond))
	qt.Check(t, own > 0.9 && own <= 1, qt.IsTrue, qt.Commentf("%f", own))
	qt.Check(t, others, qt.DeepEquals, []share.HostDemand{{Demand: 4, Hosts: 5}})
	qt.Check(t, age, qt.Equals, time.Millisecond)
	now = now.Add(2 * time.Second)
	one.Sweep(now)
	qt.Check(t, one.Rows(now), qt.HasLen, 0)
}
