package edge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/server"
	"fuchsiashelf.dev/parts/view"
)

// One stage of a pool is full and the other idle. A mean over all servers would
// halve the measured wait, and twice the pool's capacity would be admitted.
func TestLongestWaitIsPerStage(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	snap := &view.Snapshot{
		Hosts:  map[string]host.Host{"a": {First: 0}, "b": {First: 8}, "old": {First: 8}},
		Meters: map[string]*server.Meter{"a": {}, "b": {}, "old": {}},
	}
	p := &pool.Pool{Servers: []string{"a", "b", "old", "unknown"}}
	_, known := longestWait(snap, p, now)
	c.Assert(known, qt.IsFalse)
	for range 200 {
		at := now.UnixNano()
		snap.Meters["a"].Observe(at, 10*time.Millisecond, time.Millisecond)
		snap.Meters["b"].Observe(at, 10*time.Millisecond, 30*time.Millisecond)
		snap.Meters["old"].Observe(at-int64(time.Minute), 10*time.Millisecond, time.Hour)
	}
	got, known := longestWait(snap, p, now)
	c.Assert(known, qt.IsTrue)
	c.Assert(got > 2.9 && got < 3.1, qt.IsTrue, qt.Commentf("%v", got))
}
