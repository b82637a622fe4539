package stream

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// Guards against a reservation for a stream that ended while the order to reroute it
// was in flight: it would never be released, and after hours of such streams every
// request would be refused.
func TestEndedStreamReservesNothing(t *testing.T) {
	load := &router.LoadTracker{}
	m := &Monitor{Load: load}
	chain := router.Chain{{Server: &fleet.Server{ID: "i-1"}, First: 0, End: 4}}
	j := &call.Job{Request: &call.Request{PromptTokens: 10, TokensHint: 5}, Route: testRoute, Service: &route.Service{Engine: &route.Engine{}}}
	ctx, cancel := context.WithCancelCause(context.Background())
	stream := m.add(ctx, j, chain, cancel, nil)
	qt.Assert(t, load.Used("i-1"), qt.Equals, router.Usage{TokenLayers: 60, Requests: 1, Starts: 1})
	m.remove(stream)
	stream.switchChain(load, chain)
	qt.Assert(t, load.Used("i-1"), qt.Equals, router.Usage{})
}
