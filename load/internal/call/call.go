// Package call makes the calls of a load run and checks the responses.
package call

import (
	"context"
	"net"
	"net/http"
	"time"

	"fuchsiashelf.dev/load/internal/plan"
)

// Result classifies the outcome of a call.
type Result uint8

// The results of calls.
const (
	// Complete: the caller got its own complete and correct response.
	Complete Result = iota
	// Refused: the response is an error.
	Refused
	// Failed: the stream contains an error event.
	Failed
	// Lost: the connection ended without a complete response or an error.
	Lost
	// Wrong: the response is incorrect, too short or another caller's.
	Wrong
)

// Outcome is the outcome of one call.
type Outcome struct {
	Result Result
	// Code and Verdict are the code and verdict of an error.
	Code, Verdict string
	// Entry is the entry host that was called.
	Entry string
}

// TokenObserver is notified of each token as it arrives.
type TokenObserver interface {
	Token(at time.Time)
}

// Caller makes calls. Set the exported fields before first use.
type Caller struct {
	// Entries are the callers' addresses of entry hosts, called round-robin.
	Entries []string
	// Service is the model service to call.
	Service string
	// Layers is the number of layers of the model, to check tokens with; zero
	// means no check.
	Layers int
	// Plain describes the plain calls.
	Plain Plain
	// Timeout is the longest duration of one call.
	Timeout time.Duration
}

// Plain describes the plain calls of a run.
type Plain struct {
	Method, URI string
	// ID sends a unique idempotency key with each call.
	ID bool
}

// maxIdle is the most idle connections kept to one entry host. It equals the default
// of -max-open, so that calls seldom need a new connection.
const maxIdle = 4096

var client = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	MaxIdleConns:        0,
	MaxIdleConnsPerHost: maxIdle,
	DisableCompression:  true,
}}

// Do makes the call of an arrival and checks the response.
func (c *Caller) Do(ctx context.Context, arrival plan.Arrival, observer TokenObserver) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	entry := c.Entries[arrival.Serial%len(c.Entries)]
	var outcome Outcome
	if arrival.Plain {
		outcome = c.plain(ctx, entry, arrival, observer)
	} else {
		outcome = c.generate(ctx, entry, arrival, observer)
	}
	outcome.Entry = entry
	return outcome
}

// authorization returns the Authorization header of a team. Sessions configure the
// API token "token-TEAM" for each team.
func authorization(team string) string {
	return "Bearer token-" + team
}
