// Package call makes the calls of a load run and judges their answers.
package call

import (
	"context"
	"net"
	"net/http"
	"time"

	"fuchsiashelf.dev/load/internal/plan"
)

// Result says what became of a call.
type Result uint8

// The grades.
const (
	// Complete: the caller got its own whole and correct answer.
	Complete Result = iota
	// Refused: an error came and no part of an answer.
	Refused
	// Failed: an error came after a part of the answer.
	Failed
	// Lost: the connection ended with neither an answer nor an error.
	Lost
	// Wrong: an answer came that is not the caller's own whole one.
	Wrong
)

// Outcome is what became of one call.
type Outcome struct {
	Result Result
	// Code and Verdict are those of an error.
	Code, Verdict string
	// Entry is the entry host that was called.
	Entry string
}

// TokenObserver is told of each token as it arrives.
type TokenObserver interface {
	Token(at time.Time)
}

// Caller makes calls. Set the exported fields before first use.
type Caller struct {
	// Entries are callers' addresses of entry hosts; calls go round them.
	Entries []string
	// Service is the model service asked for.
	Service string
	// Layers is the number of layers of the model, to check tokens with.
	Layers int
	// Plain describes the plain calls.
	Plain Plain
	// Timeout bounds one call.
	Timeout time.Duration
}

// Plain describes the plain calls of a run.
type Plain struct {
	Method, URI string
	// ID says that each call carries an id of its own.
	ID bool
}

// maxIdle bounds the idle connections kept to one entry host. It lies above
// the open calls of any run here, so that a call seldom has to dial.
const maxIdle = 4096

var client = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	MaxIdleConns:        0,
	MaxIdleConnsPerHost: maxIdle,
	DisableCompression:  true,
}}

// Do makes the call of a shot and judges the answer.
func (c *Caller) Do(ctx context.Context, shot plan.Arrival, watch TokenObserver) Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	entry := c.Entries[shot.Serial%len(c.Entries)]
	var o Outcome
	if shot.Plain {
		o = c.plain(ctx, entry, shot, watch)
	} else {
		o = c.generate(ctx, entry, shot, watch)
	}
	o.Entry = entry
	return o
}

// bearer returns the bearer token of a team in the stand-in book of teams.
func bearer(team string) string {
	return "Bearer token-" + team
}
