// Package call holds what the parts of the request path hand to each other:
// a caller's request, what is sent to a backend server, and its answer.
//
// The forms on the wire are the business of a [Codec] and of an [EngineClient].
// Each outside system that the entry host runs in front of brings its own.
package call

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// Request is a caller's request.
type Request struct {
	// ID names this attempt of the caller.
	ID string
	// Method, Host, Path and Target are those of the request line; Target is
	// the path with its query, byte for byte.
	Method, Host, Path, Target string
	// Header is forwarded to the backend server.
	Header http.Header
	Body   []byte
	// Key is what the caller proves its team with; empty if it sent none.
	Key string
	// Timeout is how long the caller waits; zero if it did not say.
	Timeout time.Duration
	// PromptTokens is the number of prompt tokens, MaxTokens the highest number of tokens
	// of the answer, and TokensHint the caller's guess of it; zero if not told.
	PromptTokens, MaxTokens, TokensHint int
	// LastEvent is the last event that the caller has of a resumed stream.
	LastEvent string
	// Arrived is when the request had been read.
	Arrived time.Time
}

// ExpectedTokens returns the number of tokens that the answer is expected to have.
func (r *Request) ExpectedTokens(engine *route.Engine) int {
	expected := r.TokensHint
	if expected <= 0 {
		expected = engine.MeanAnswer
	}
	if r.MaxTokens > 0 {
		expected = min(expected, r.MaxTokens)
	}
	return expected
}

// SendOptions is what the entry host adds to a request that it passes on.
type SendOptions struct {
	Server *fleet.Server
	// Chain is nil for a plain service.
	Chain router.Chain
	// Timeout is the time after which the answer is of no use; zero if unbounded.
	Timeout time.Duration
	// Team is the name of the caller's team, if the request needs one.
	Team string
	// Priority is the rank of the request; negative means none.
	Priority int
	// LastEvent resumes a stream after the event, if set.
	LastEvent string
}

// Reply is the head of a backend server's answer.
type Reply struct {
	Status int
	// ID is the request that it answers.
	ID string
	// NotRun says that the backend server did not and will not run the
	// request.
	NotRun bool
	// Misdirected says that the server is another than the one expected, or
	// holds other layers.
	Misdirected bool
	// RefusedBy is the address of the server of the chain that refused.
	RefusedBy string
	// Closing says that the backend server closes this connection.
	Closing bool
	// IdleTimeout is how long the backend server keeps an unused connection; zero if
	// it did not say.
	IdleTimeout time.Duration
}

// Codec is the form of requests and answers of an outside system.
type Codec interface {
	// ParseRequest reads a caller's request, all but its body. An error is a
	// *fault.Error with the status that the caller gets.
	ParseRequest(r *http.Request) (*Request, error)
	// NewRequest builds what is sent to a backend server.
	NewRequest(r *Request, o SendOptions) *http.Request
	// ParseReply reads the head of a backend server's answer.
	ParseReply(r *http.Response) Reply
	// SetRetryAfter writes when to come back into the header of a refusal.
	SetRetryAfter(h http.Header, after time.Duration)
}

// Stalled is a request that waits for a server of its chain.
type Stalled struct {
	// ID names the request.
	ID string
	// Address is that of the server which does not answer.
	Address string
}

// Report is what an engine says of itself. It is as old as the engine's
// report lag.
type Report struct {
	// StartedAt is the time of its start.
	StartedAt time.Time
	// OrderCount counts the orders that it has begun to carry out since.
	OrderCount uint64
	// Busy says that an order is being carried out.
	Busy bool
	// First and End bound the layers that it holds.
	First, End int
	// Slowness is how many times as long as usual its work takes; zero if it did
	// not say.
	Slowness float64
	// Stalled are the requests that it is the first server of, and that wait
	// for another one.
	Stalled []Stalled
}

// NoReportError is the error of a question for a report to a server that answers
// and gives none: plain servers do not. It tells that the server lives.
type NoReportError struct {
	// Status is that of the answer.
	Status int
}

// Error implements error.
func (e *NoReportError) Error() string {
	return fmt.Sprintf("no report: status %d", e.Status)
}

// OrderResult is the outcome of an order.
type OrderResult uint8

// The outcomes of an order.
const (
	// OrderUnknown means that no answer came: the order may be carried out
	// now, later, or not at all.
	OrderUnknown OrderResult = iota
	// OrderStarted means that it is being carried out or done.
	OrderStarted
	// OrderConflict means that the engine has had other orders since, or that
	// the order does not fit its state.
	OrderConflict
	// OrderNotFound means that the engine does not know the request.
	OrderNotFound
	// OrderRejected means that the order can never be carried out.
	OrderRejected
)

const (
	// ReportTimeout bounds a question that decides whether a server lives, or what
	// it holds. An answer takes one to three milliseconds.
	ReportTimeout = probe.MaxTimeout
	// OrderTimeout bounds an order, which is answered as fast.
	OrderTimeout = 500 * time.Millisecond
)

// EngineClient gives orders to engines and asks for their reports.
type EngineClient interface {
	// Report asks a server for its report. The error is a *NoReport if it lives
	// and gives none.
	Report(ctx context.Context, address string) (Report, error)
	// Place tells a server to hold the layers [first, end), if it has begun no
	// order since its count of orders was the given one.
	Place(ctx context.Context, s *fleet.Server, first, end int, orders uint64) (OrderResult, error)
	// Reroute changes the chain of a request that runs; its first part stays.
	// If a server of the chain cannot take part, its address is returned.
	Reroute(ctx context.Context, id string, chain router.Chain) (result OrderResult, refusedBy string, err error)
}

// String returns the name of the outcome.
func (r OrderResult) String() string {
	switch r {
	case OrderStarted:
		return "begun"
	case OrderConflict:
		return "conflict"
	case OrderNotFound:
		return "absent"
	case OrderRejected:
		return "refused"
	case OrderUnknown:
		return "unknown"
	}
	return "unknown"
}
