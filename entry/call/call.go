// Package call defines the values that the parts of the request path pass to each
// other: a caller's request, what is added to it for a backend server, and the
// response.
//
// A [Codec] and an [EngineClient] implement the wire formats. Each system that the
// entry host serves provides its own.
package call

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// Request is a caller's request.
type Request struct {
	// ID identifies this attempt of the caller.
	ID string
	// Method, Host, Path and Target are those of the request line; Target is the
	// path with its query, byte for byte.
	Method, Host, Path, Target string
	// Header is the header that is forwarded to the backend server.
	Header http.Header
	Body   []byte
	// Key authenticates the caller's team; empty if it sent none.
	Key string
	// Timeout is how long the caller waits; zero if not given.
	Timeout time.Duration
	// PromptTokens is the number of tokens of the prompt, MaxTokens the maximum
	// number of tokens of the response, and TokensHint the caller's estimate of it;
	// zero if not given.
	PromptTokens, MaxTokens, TokensHint int
	// PromptParts holds the IDs of the parts of the prompt, in order. Other requests may share
	// all of them but the last.
	PromptParts []string
	// LastEvent is the ID of the last event that the caller has of a resumed stream.
	LastEvent string
	// Arrived is the time at which the request had been read.
	Arrived time.Time
}

// ExpectedTokens returns the expected number of tokens of the response.
func (r *Request) ExpectedTokens(engine *route.Engine) int {
	expected := r.TokensHint
	if expected <= 0 {
		expected = engine.MeanResponseTokens
	}
	if r.MaxTokens > 0 {
		expected = min(expected, r.MaxTokens)
	}
	return expected
}

// SendOptions is what the entry host adds to a request that it forwards.
type SendOptions struct {
	Server *fleet.Server
	// Chain is nil for a plain service.
	Chain router.Chain
	// Timeout is the time after which the response is of no use; zero if unbounded.
	Timeout time.Duration
	// Team is the name of the caller's team, if the request needs one.
	Team string
	// Priority is negative if the request has none.
	Priority int
	// LastEvent, if set, is the ID of the event after which the stream resumes.
	LastEvent string
}

// Reply is the head of a backend server's response.
type Reply struct {
	Status int
	// ID identifies the request that the server responds to.
	ID string
	// NotRun is set if the backend server did not and will not run the request.
	NotRun bool
	// Misdirected is set if the server is not the expected one, or holds other
	// layers.
	Misdirected bool
	// RefusedBy is the address of the server of the chain that refused the request, if
	// the first server names one.
	RefusedBy string
	// Closing is set if the backend server closes this connection.
	Closing bool
	// IdleTimeout is how long the backend server keeps an idle connection open; zero
	// if it did not say.
	IdleTimeout time.Duration
	// RateLimited is set if the backend server names the rate of requests that it
	// takes from all entry hosts together, and RateLimit is that rate in requests per
	// second.
	RateLimited bool
	RateLimit   float64
	// RetryAfter is the time during which the backend server asks this entry host to send
	// it no requests; zero if it does not ask.
	RetryAfter time.Duration
	// Leaving is set if the backend server says that it leaves.
	Leaving bool
}

// LimitResponse returns what the response to a request that was sent at the given
// time says about the rate limit of the backend server.
func (r *Reply) LimitResponse(sentAt time.Time) limit.Response {
	ran := !r.NotRun && r.Status < http.StatusInternalServerError
	return limit.Response{Limited: r.RateLimited, Rate: r.RateLimit, Ran: ran, SentAt: sentAt, ReceivedAt: time.Now()}
}

// Codec translates the requests and responses of a protocol.
type Codec interface {
	// ParseRequest parses a caller's request, except for its body. An error is a
	// *fault.Error with the status that the caller gets.
	ParseRequest(r *http.Request) (*Request, error)
	// RequestID returns the ID of a caller's request; empty if it has none.
	RequestID(r *http.Request) string
	// NewRequest builds the request that is sent to a backend server.
	NewRequest(req *Request, options SendOptions) *http.Request
	// ParseReply parses the head of a backend server's response.
	ParseReply(r *http.Response) Reply
	// SetRetryAfter sets the delay after which to retry in the header of a refusal.
	SetRetryAfter(h http.Header, after time.Duration)
}

// Stalled is a request that waits for a server of its chain.
type Stalled struct {
	// ID identifies the request.
	ID string
	// Address is the address of the server that does not respond.
	Address string
}

// Report is the state that an engine reports. It is as old as the report lag of the
// engine.
type Report struct {
	// StartedAt is the start time of the engine.
	StartedAt time.Time
	// OrderCount is the number of orders that the engine has started to carry out
	// since.
	OrderCount uint64
	// Busy is set while an order is being carried out.
	Busy bool
	// First and End bound the range of layers that the engine holds, [First, End).
	First, End int
	// SlowdownFactor is the ratio of the engine's processing time to the usual one;
	// zero if the engine did not report it.
	SlowdownFactor float64
	// Stalled holds the requests that wait for another server of their chain. The
	// engine is the first server of these chains.
	Stalled []Stalled
}

// NoReportError is the error of a request for a report to a server that responds
// without one, as plain servers do, or that has requested a pause. It means that the
// server is alive.
type NoReportError struct {
	// Status is the HTTP status of the response.
	Status int
	// Paused says that the server has requested a pause. It was only checked that it
	// accepts connections.
	Paused bool
}

// Error implements error.
func (e *NoReportError) Error() string {
	if e.Paused {
		return "no report: the server has requested a pause"
	}
	return fmt.Sprintf("no report: status %d", e.Status)
}

// OrderResult is the result of an order.
type OrderResult uint8

// Results of an order.
const (
	// OrderUnknown means that there was no response: the order may be carried out
	// now, later, or not at all.
	OrderUnknown OrderResult = iota
	// OrderStarted means that the order is being carried out or done.
	OrderStarted
	// OrderConflict means that the engine has started other orders since, or that
	// the order does not fit its state.
	OrderConflict
	// OrderNotFound means that the engine does not know the request.
	OrderNotFound
	// OrderRejected means that the order can never be carried out.
	OrderRejected
)

const (
	// ReportTimeout bounds a request for a report, which decides whether a server is
	// alive and what it holds. An answer takes one to three milliseconds.
	ReportTimeout = probe.MaxTimeout
	// OrderTimeout bounds an order. The response takes as long as that to a request
	// for a report.
	OrderTimeout = 500 * time.Millisecond
)

// EngineClient sends orders to engines and reads their reports.
type EngineClient interface {
	// Report asks a server for its report. The error is a *NoReportError if the server
	// responds without one.
	Report(ctx context.Context, address string) (Report, error)
	// Place orders a server to hold the layers [first, end). The result is
	// OrderConflict if the server's order count is no longer the given one.
	Place(ctx context.Context, s *fleet.Server, first, end int, orders uint64) (OrderResult, error)
	// Reroute orders the first server of a chain to change the chain of a request in
	// flight, except for the first stage. If a server of the new chain cannot take
	// part, refusedBy is its address.
	Reroute(ctx context.Context, id string, chain router.Chain) (result OrderResult, refusedBy string, err error)
}

// String returns the name of the result.
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
