package router_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/router"
	_ "fuchsiashelf.dev/parts/seed"
)

// Guards against a request that takes the memory or the slots which it should leave free
// for others, and against one that is refused although what it leaves free remains.
func TestHeadroomLeavesCapacityFree(t *testing.T) {
	s := server("a1", "a", "small", 0, 80)
	s.Slots = 10
	q := query(s)
	capacity := router.Capacity(q.Engine, s)
	need := float64(q.PromptTokens+q.ResponseTokens) * layers
	for _, test := range []struct {
		headroom, fill, starts float64
		fits                   bool
	}{
		{0, 0.91, 0, true},
		{0, 0.93, 0, false},
		{0.5, 0.45, 0, true},
		{0.5, 0.47, 0, false},
		{0, 0, 9, true},
		{0, 0, 10, false},
		{0.5, 0, 4, true},
		{0.5, 0, 5, false},
	} {
		q.Headroom = test.headroom
		q.Used = func(string) router.Usage {
			return router.Usage{TokenLayers: test.fill*capacity - need, Starts: test.starts}
		}
		qt.Check(t, q.Pick() != nil, qt.Equals, test.fits, qt.Commentf("%+v", test))
	}
}

// Guards against a request that cannot be served even by unused servers, since it needs more
// than the headroom leaves, and against one that takes a server beside others for that reason.
func TestLargeRequestTakesUnusedServer(t *testing.T) {
	s := server("a1", "a", "small", 0, 80)
	q := query(s)
	q.Headroom = 0.5
	capacity := router.Capacity(q.Engine, s)
	for _, test := range []struct {
		need, used float64
		fits       bool
	}{
		{0.45, 0, true},
		{0.6, 0, true},
		{0.9, 0, true},
		{0.95, 0, false},
		{0.6, 0.01, false},
		{0.4, 0.1, false},
	} {
		q.PromptTokens = int(test.need*capacity/layers) - q.ResponseTokens
		q.Used = func(string) router.Usage { return router.Usage{TokenLayers: test.used * capacity} }
		qt.Check(t, q.Pick() != nil, qt.Equals, test.fits, qt.Commentf("%+v", test))
	}
}
