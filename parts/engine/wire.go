// Package engine implements the wire protocol of model engines.
//
// An engine runs a range of the layers of a model. A request is sent to the
// first server of a chain and contains the whole chain. The servers forward
// the work to each other, and the first one streams [Frame]s back.
package engine

import "fuchsiashelf.dev/parts/host"

// Stage is a backend server of a chain and the layers that it runs.
type Stage struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Address is the host:port of the server.
	Address string `json:"address"`
	// First is the first layer that it runs.
	First int `json:"first"`
	// End is one past the last layer that it runs.
	End int `json:"end"`
}

// Request is a request to the first server of a chain.
type Request struct {
	RequestID string `json:"request"`
	// Attempt numbers the chains that the request has been sent to, from 1.
	Attempt int    `json:"attempt"`
	Model   string `json:"model"`
	Prompt  string `json:"prompt"`
	// Sent holds the tokens that the caller has already received.
	Sent []string `json:"sent,omitempty"`
	// Max is the maximum number of tokens in the response, including Sent.
	Max int `json:"max"`
	// DeadlineMs is the deadline of the caller, in Unix milliseconds.
	DeadlineMs int64 `json:"deadlineMs"`
	// Priority is 1 if the team uses less than its share, else 0. Engines at
	// capacity run tokens with higher priority first.
	Priority int     `json:"priority,omitempty"`
	Chain    []Stage `json:"chain"`
}

// Span describes the work of one server for one token.
type Span struct {
	Server string `json:"server"`
	First  int    `json:"first"`
	End    int    `json:"end"`
	// RunUs is the compute time on the server, in microseconds.
	RunUs int64 `json:"runUs"`
	// WaitUs is the time that the token waited for compute, in microseconds.
	WaitUs int64 `json:"waitUs,omitempty"`
	// LinkUs is the one-way delay to the next server, in microseconds, as last
	// measured by the sender.
	LinkUs int64 `json:"linkUs,omitempty"`
}

// Failure reports which server of a chain failed.
type Failure struct {
	Server  string `json:"server"`
	Message string `json:"what"`
	// Refused is true if the server refused the request and did not run it.
	Refused bool `json:"refused,omitempty"`
}

// Frame is one line of a response stream: a token, the end, or a failure.
type Frame struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	// Index is the position of Token in the response, including Request.Sent.
	Index int    `json:"index,omitempty"`
	Token string `json:"token,omitempty"`
	Spans []Span `json:"spans,omitempty"`
	End   bool   `json:"end,omitempty"`
	// Count is the total number of tokens in the response. It is set with End.
	Count int      `json:"count,omitempty"`
	Fail  *Failure `json:"fail,omitempty"`
}

// Status is what an engine reports about itself.
type Status struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	First int    `json:"first"`
	End   int    `json:"end"`
	// Kind is the kind of accelerator.
	Kind  string     `json:"kind"`
	State host.State `json:"state"`
	// InFlight is the number of requests in flight.
	InFlight int `json:"inFlight"`
	// Waiting is the number of tokens that wait for a step.
	Waiting int `json:"waiting"`
	// Capacity is the number of tokens that one step processes.
	Capacity int `json:"capacity"`
	// TokenUs is the duration of one step, in microseconds. A step runs up to
	// Capacity tokens as a batch, so the maximum throughput is Capacity/TokenUs.
	TokenUs int64 `json:"tokenUs"`
	// Links maps other servers to the one-way delay to them, in microseconds.
	Links map[string]int64 `json:"links"`
	// Number is the highest fencing number that the engine has seen.
	Number uint64 `json:"number"`
	// AgeMs is the age of the report, in milliseconds.
	AgeMs int64 `json:"ageMs"`
}

// NotRunHeader is set on the response of a server that did not accept a
// request. Its value is the reason.
const NotRunHeader = "Not-Run"

// Order instructs an engine to load a model or to change its role.
type Order struct {
	// Order is the action, for example load.
	Order string `json:"order"`
	Model string `json:"model,omitempty"`
	// Holder is the entry host that holds the lease for giving orders.
	Holder string `json:"holder"`
	// Number is the fencing number of the lease; it grows with each holder.
	Number uint64 `json:"number"`
	// DeadlineMs is when the order expires, in Unix milliseconds; zero means
	// never. An engine refuses an order that arrives later.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
}

// Values of NotRunHeader for an order that an engine refused.
const (
	// Fenced: the engine has seen an order with a higher number.
	Fenced = "fenced"
	// Expired: the deadline of the order has passed.
	Expired = "lapsed"
	// Leaving: the server takes no new work because it is draining.
	Leaving = "leaving"
)
