// Package router chooses the chain of backend servers that a request passes through:
// which servers run which layers, in order.
//
// A [Chain] covers the layers of a model: the first stage starts at layer 0, each next
// one starts where the previous one ends, and the last one ends at the last layer.
// [Query.Pick] is the only way to get one, so no layer is skipped or run twice, even
// if the view of the servers is wrong. It finds a shortest path over the boundaries
// between layers; a server may run only a part of the layers that it holds.
//
// The cost of a stage is the time that the request will spend there: the prefill of
// its prompt and the decode of its response at the speed of the accelerator, increased
// with the fill of the server's memory. A chain that crosses from one failure domain
// to another moves the activations of the whole prompt over a shared link, so a chain
// crosses only where layers are missing or other servers are much slower.
package router

import (
	"fmt"
	"slices"
	"strings"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/subset"
)

// Stage is the range of layers that one server of a chain runs.
type Stage struct {
	Server *fleet.Server
	// First and End bound the layers that the server runs.
	First, End int
}

// Chain is a sequence of stages that together run all layers of a model in order.
type Chain []Stage

// Has reports whether the server with the given address is part of the chain.
func (c Chain) Has(address string) bool {
	return slices.ContainsFunc(c, func(s Stage) bool { return s.Server.Address == address })
}

// Complete reports whether the chain runs each layer exactly once and in order.
func (c Chain) Complete(layers int) bool {
	next := 0
	for _, s := range c {
		if s.First != next || s.End <= s.First {
			return false
		}
		next = s.End
	}
	return next == layers
}

// Query describes a request, and the servers among which Pick chooses a chain for it.
type Query struct {
	Engine *route.Engine
	// Servers are the backend servers of the service.
	Servers []*fleet.Server
	// LocalDomain is the failure domain of the entry host.
	LocalDomain domain.Name
	// PromptTokens and ResponseTokens are the expected sizes of the prompt and of the response, in
	// tokens.
	PromptTokens, ResponseTokens int
	// Avoid holds addresses that must not be used.
	Avoid map[string]bool
	// NoStart holds the IDs of servers where the chain must not start. They may run
	// later stages.
	NoStart map[string]bool
	// Used returns the load of a server.
	Used func(id string) Usage
	// Paused reports whether a server has requested a pause. It gets no stage, except
	// the cached one that it runs already. Nil means that none has.
	Paused func(s *fleet.Server) bool
	// Delay returns the expected cost, in seconds, of starting at a server beyond the
	// work itself, such as waits and failures there. Nil means none.
	Delay func(id string) float64
	// Subset holds the servers that the entry host prefers as the first of a chain, because
	// it keeps connections to them. Nil means all.
	Subset *subset.Set
	// FixedFirst is the first stage, if it must not change.
	FixedFirst *Stage
	// Cached holds the stages that already have the tokens of the request in memory,
	// by their servers' addresses. A server avoids the prefill only if it runs the
	// same layers again.
	Cached map[string]Stage
	// Overcommit permits reserving more than the memory of the servers; their engines
	// queue the requests that do not fit.
	Overcommit bool
	// Headroom is the share of the usable memory and slots of each server that the request
	// leaves free for others. Servers that hold its tokens already are exempt as to memory,
	// and unused ones if it would need more than the rest of their memory.
	Headroom float64
	// Partitioned reports whether servers of one failure domain cannot reach those of
	// another; nil means that all can.
	Partitioned func(from, to domain.Name) bool
	// SingleDomain keeps the chain within one failure domain.
	SingleDomain bool
	// AllowSuspected permits servers that are suspected of having failed.
	AllowSuspected bool
	// AllowSilent permits those of them that are silent but accept connections.
	AllowSilent bool
}

// Usage is the load of a server.
type Usage struct {
	// TokenLayers is the number of tokens x layers that are reserved in memory.
	TokenLayers float64
	// Requests is the number of requests in flight.
	Requests float64
	// Starts is the number of those requests whose chain begins at the server. Each
	// takes one of its slots.
	Starts float64
	// Full says that the server refused a request and counts as saturated.
	Full bool
}

// Pick returns the cheapest chain, or nil if there is none.
func (q *Query) Pick() Chain {
	chain := q.search(false)
	if chain != nil && repeatsServer(chain) {
		// The chain passes through a server twice, which engines refuse. If each
		// server runs to the end of its range, the chain cannot return to it.
		chain = q.search(true)
	}
	if chain == nil || !chain.Complete(q.Engine.Layers) {
		return nil
	}
	return chain
}

func repeatsServer(c Chain) bool {
	seen := map[string]bool{}
	for _, s := range c {
		if seen[s.Server.Address] {
			return true
		}
		seen[s.Server.Address] = true
	}
	return false
}

// Crossings returns how often the chain crosses from one failure domain to another.
func (c Chain) Crossings() int {
	n := 0
	for i := 1; i < len(c); i++ {
		if c[i].Server.Domain != c[i-1].Server.Domain {
			n++
		}
	}
	return n
}

// String lists the stages as SERVER=FIRST-END, for logs.
func (c Chain) String() string {
	var b strings.Builder
	for i, s := range c {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d-%d", s.Server.ID, s.First, s.End)
	}
	return b.String()
}
