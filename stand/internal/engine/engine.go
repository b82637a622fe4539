// Package engine implements a stand-in for a model engine that holds a range of
// layers. It runs no model: it waits as long as a model would take and computes
// its tokens with package token.
//
// An engine uses continuous batching: it works in steps, and a step runs up to
// Capacity tokens of different requests together in TokenTime. So it runs at
// most Capacity/TokenTime tokens per second, however they arrive.
package engine

import (
	"os"
	"sync"
	"sync/atomic"
	"time"

	wire "fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/stand/inject"
)

// Engine is one engine. Set the exported fields before its first request.
type Engine struct {
	Name  string
	Model string
	// First and End are the range [First, End) of layers that the engine holds.
	First, End int
	// Kind is the kind of accelerator.
	Kind string
	// TokenTime is the duration of one step.
	TokenTime time.Duration
	// PrefillTime is the time to read one word of a prompt, or one token that
	// the client already has, before the first new token.
	PrefillTime time.Duration
	// Capacity is the most tokens that one step runs; further ones are queued.
	Capacity int
	// LinkDelay is the one-way delay of links that are not in Links.
	LinkDelay time.Duration
	// Links holds one-way delays of links by the name of the other server.
	Links map[string]time.Duration
	// ReportLag is how old the reports are.
	ReportLag time.Duration
	// Fencing makes the engine refuse an order whose fencing number is lower than
	// one it has accepted.
	Fencing bool
	Faults  *inject.Set
	// Exit ends the process; nil means os.Exit.
	Exit func(status int)

	orders   orderLog
	batch    batch
	links    links
	reports  reportHistory
	accepted acceptedChains
	swap     streamSwap
	counts   counts
}

// counts holds the counters of an engine.
type counts struct {
	// runs counts the tokens that the engine ran its layers for.
	runs atomic.Int64
	// accepted counts the chains that the engine accepted, whichever its stage.
	accepted atomic.Int64
	// refused counts the requests that the engine refused.
	refused atomic.Int64
	// cancelled counts the streams whose client disconnected before the end.
	cancelled atomic.Int64
	// inFlight counts the calls in progress.
	inFlight atomic.Int64

	mu sync.Mutex
	// prompts counts the accepted chains by prompt.
	prompts map[string]int
}

// countChain counts an accepted chain.
func (c *counts) countChain(prompt string) {
	c.accepted.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prompts == nil {
		c.prompts = map[string]int{}
	}
	c.prompts[prompt]++
}

// Counts is the response of GET /counts on the control listener.
type Counts struct {
	Runs      int64          `json:"runs"`
	Accepted  int64          `json:"taken"`
	Refused   int64          `json:"refused"`
	Cancelled int64          `json:"cancelled"`
	InFlight  int64          `json:"inFlight"`
	Prompts   map[string]int `json:"prompts"`
}

// Counts returns the current counters.
func (e *Engine) Counts() Counts {
	c := &e.counts
	c.mu.Lock()
	defer c.mu.Unlock()
	prompts := map[string]int{}
	for prompt, n := range c.prompts {
		prompts[prompt] = n
	}
	return Counts{
		Runs: c.runs.Load(), Accepted: c.accepted.Load(), Refused: c.refused.Load(),
		Cancelled: c.cancelled.Load(), InFlight: c.inFlight.Load(), Prompts: prompts,
	}
}

// Status returns the current load report, without ReportLag.
func (e *Engine) Status() wire.Status {
	state := host.Live
	if _, active := e.Faults.Active(Refuse); active {
		state = host.Leaving
	}
	queued := e.batch.queued()
	return wire.Status{
		Name: e.Name, Model: e.Model, First: e.First, End: e.End, Kind: e.Kind,
		State:    state,
		InFlight: int(e.counts.inFlight.Load()), Waiting: queued,
		Capacity: e.Capacity, TokenUs: e.tokenTime().Microseconds(),
		Links: e.links.list(), Number: e.orders.highest(),
	}
}

func (e *Engine) exit(status int) {
	if e.Exit != nil {
		e.Exit(status)
		return
	}
	os.Exit(status)
}
