// Package engine is a stand-in for a model engine that holds a range of
// layers. It runs no model: it spends the time that a model would take and
// derives its tokens with package token.
//
// An engine batches continuously: it works in steps, and a step runs up to
// Capacity tokens of different requests together in TokenTime. So it runs at
// most Capacity/TokenTime tokens a second, however they arrive.
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

// Engine is one stand-in engine. Set the exported fields before its first
// request.
type Engine struct {
	Name  string
	Model string
	// First and End bound the layers that the engine holds.
	First, End int
	// Kind names the kind of accelerator.
	Kind string
	// TokenTime is the time of one step.
	TokenTime time.Duration
	// PrefillTime is the time to read one word of a prompt, or one token that
	// the caller already has, before the first token.
	PrefillTime time.Duration
	// Capacity is how many tokens one step runs; others wait.
	Capacity int
	// LinkDelay is the one-way delay of links that Links does not name.
	LinkDelay time.Duration
	// Links holds the one-way delays of links to other servers.
	Links map[string]time.Duration
	// ReportLag is how old the reports are.
	ReportLag time.Duration
	// Fencing says that the engine refuses an order whose number is older
	// than one it has seen.
	Fencing bool
	Faults  *inject.Set
	// Exit ends the process; nil means os.Exit.
	Exit func(status int)

	orders orders
	batch  batch
	links  links
	report report
	known  known
	swap   swap
	count  counts
}

// counts tell what an engine did.
type counts struct {
	// runs counts tokens that the engine ran its layers for.
	runs atomic.Int64
	// taken counts chains that the engine took, as any stage of them.
	taken atomic.Int64
	// refused counts requests that it did not take.
	refused atomic.Int64
	// cancelled counts answers whose reader left before their end.
	cancelled atomic.Int64
	// inFlight counts the calls in progress.
	inFlight atomic.Int64

	mu sync.Mutex
	// prompts counts the chains taken by prompt.
	prompts map[string]int
}

// took counts a chain that the engine took.
func (c *counts) took(prompt string) {
	c.taken.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prompts == nil {
		c.prompts = map[string]int{}
	}
	c.prompts[prompt]++
}

// Counts is what the control listener tells.
type Counts struct {
	Runs      int64          `json:"runs"`
	Taken     int64          `json:"taken"`
	Refused   int64          `json:"refused"`
	Cancelled int64          `json:"cancelled"`
	InFlight  int64          `json:"inFlight"`
	Prompts   map[string]int `json:"prompts"`
}

// Counts tells what the engine did.
func (e *Engine) Counts() Counts {
	c := &e.count
	c.mu.Lock()
	defer c.mu.Unlock()
	prompts := map[string]int{}
	for prompt, n := range c.prompts {
		prompts[prompt] = n
	}
	return Counts{
		Runs: c.runs.Load(), Taken: c.taken.Load(), Refused: c.refused.Load(),
		Cancelled: c.cancelled.Load(), InFlight: c.inFlight.Load(), Prompts: prompts,
	}
}

// Status returns the engine's report as of now, without the lag.
func (e *Engine) Status() wire.Status {
	state := host.Live
	if _, on := e.Faults.Active(Refuse); on {
		state = host.Leaving
	}
	waiting := e.batch.waiting()
	return wire.Status{
		Name: e.Name, Model: e.Model, First: e.First, End: e.End, Kind: e.Kind,
		State:    state,
		InFlight: int(e.count.inFlight.Load()), Waiting: waiting,
		Capacity: e.Capacity, TokenUs: e.tokenTime().Microseconds(),
		Links: e.links.list(), Number: e.orders.seen(),
	}
}

func (e *Engine) exit(status int) {
	if e.Exit != nil {
		e.Exit(status)
		return
	}
	os.Exit(status)
}
