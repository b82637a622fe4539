// Package hops chooses the chain of backend servers that a request passes
// through: which servers run which layers, in order.
//
// A [Chain] tiles the layers of a model: the first part starts at layer 0,
// each next one starts where the one before ends, and the last one ends at the
// last layer. [Query.Pick] is the only way to get one, so no layer is left out
// or run twice whatever is believed of the servers. It is a shortest path over
// the boundaries between layers; a server may run a part of what it holds.
//
// The cost of a part is the time that the request will spend there: reading
// its prompt and writing its answer at the pace of the card, lengthened by how
// full the server's memory is. Crossing from one failure domain to another in
// the midst of a chain moves the activations of the whole prompt over a link
// that all share, so it is taken only where no other way is left.
package router

import (
	"fmt"
	"slices"
	"strings"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// Stage is what one server runs of a chain.
type Stage struct {
	Server *fleet.Server
	// First and End bound the layers that it runs.
	First, End int
}

// Chain is a sequence of parts that tiles the layers of a model.
type Chain []Stage

// Has reports whether the server with the address is part of the chain.
func (c Chain) Has(address string) bool {
	return slices.ContainsFunc(c, func(p Stage) bool { return p.Server.Address == address })
}

// Complete reports whether the chain runs each of the layers once and in order.
func (c Chain) Complete(layers int) bool {
	at := 0
	for _, p := range c {
		if p.First != at || p.End <= p.First {
			return false
		}
		at = p.End
	}
	return at == layers
}

// Query is one choice.
type Query struct {
	Engine *route.Engine
	// Servers are those of the service.
	Servers []*fleet.Server
	// LocalDomain is the failure domain of the entry host.
	LocalDomain domain.Name
	// Prompt and Answer are the expected sizes in tokens.
	Prompt, Answer int
	// Avoid holds addresses that must not be used.
	Avoid map[string]bool
	// Used says how many tokens x layers are taken on a server, and how many
	// requests it works on.
	Used func(id string) Usage
	// Delay returns the seconds that starting at a server is expected to cost
	// beyond the work itself: requests wait or fail there. Nil means none.
	Delay func(id string) float64
	// FixedFirst is the first part, if it is fixed.
	FixedFirst *Stage
	// Cached holds the parts that already hold the tokens, by their servers'
	// addresses. Only the same server with the same layers reads nothing again.
	Cached map[string]Stage
	// Overcommit permits promising more than the memory of the servers, as
	// far as the engines queue what does not fit.
	Overcommit bool
	// Partitioned says that servers of one failure domain do not reach those of
	// another; nil means that all do.
	Partitioned func(from, to domain.Name) bool
	// SingleDomain keeps the chain within one failure domain.
	SingleDomain bool
	// AllowSuspected permits servers that are suspected of having failed.
	AllowSuspected bool
}

// Usage is what is taken of a server.
type Usage struct {
	// TokenLayers counts tokens x layers in memory.
	TokenLayers float64
	// Requests are those under way.
	Requests float64
	// Starts are those of them whose chain begins at the server. Each takes one of
	// its slots.
	Starts float64
	// Full says that the server has just refused a request.
	Full bool
}

// Pick returns the cheapest chain, or nil if there is none.
func (q *Query) Pick() Chain {
	chain := q.search(false)
	if chain != nil && repeats(chain) {
		// A server would be passed through twice, which engines refuse. Where
		// each server is left only at its end, none can come again.
		chain = q.search(true)
	}
	if chain == nil || !chain.Complete(q.Engine.Layers) {
		return nil
	}
	return chain
}

func repeats(c Chain) bool {
	seen := map[string]bool{}
	for _, p := range c {
		if seen[p.Server.Address] {
			return true
		}
		seen[p.Server.Address] = true
	}
	return false
}

// Crossings counts how often the chain goes from one failure domain to another.
func (c Chain) Crossings() int {
	n := 0
	for i := 1; i < len(c); i++ {
		if c[i].Server.Domain != c[i-1].Server.Domain {
			n++
		}
	}
	return n
}

// String lists the parts, for logs.
func (c Chain) String() string {
	var b strings.Builder
	for i, p := range c {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d-%d", p.Server.ID, p.First, p.End)
	}
	return b.String()
}
