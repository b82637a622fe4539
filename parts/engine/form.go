// Package engine knows the wire form of model engines; nothing else does.
//
// An engine holds a range of a model's layers. A request goes to the first
// server of a chain with the whole chain in it; the servers hand on to each
// other, and the first one streams [Frame]s back.
package engine

import "fuchsiashelf.dev/parts/host"

// Stage is one server of a chain and the layers that it runs.
type Stage struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Address is its host:port.
	Address string `json:"address"`
	// First is the first layer that it runs.
	First int `json:"first"`
	// End is one past the last layer that it runs.
	End int `json:"end"`
}

// Request is a request to the first server of a chain.
type Request struct {
	RequestID string `json:"request"`
	// Attempt counts the chains that this request has been sent to, from 1.
	Attempt int    `json:"attempt"`
	Model   string `json:"model"`
	Prompt  string `json:"prompt"`
	// Sent holds the tokens that the caller already has.
	Sent []string `json:"sent,omitempty"`
	// Max is the number of tokens of the whole answer, Sent included.
	Max int `json:"max"`
	// DeadlineMs is when the caller stops waiting, in Unix milliseconds.
	DeadlineMs int64 `json:"deadlineMs"`
	// Priority is 1 for a request whose team uses less than its share, else 0.
	// Engines take tokens of higher priority first when they are full.
	Priority int     `json:"priority,omitempty"`
	Chain    []Stage `json:"chain"`
}

// Span says which server ran which layers for one token.
type Span struct {
	Server string `json:"server"`
	First  int    `json:"first"`
	End    int    `json:"end"`
	// RunUs is the time that the step took on the server, in microseconds.
	RunUs int64 `json:"runUs"`
	// WaitUs is the time that the token waited for the step, in microseconds.
	WaitUs int64 `json:"waitUs,omitempty"`
	// LinkUs is the one-way delay of the link to the next server, in
	// microseconds, as the sender last measured it.
	LinkUs int64 `json:"linkUs,omitempty"`
}

// Failure says which server of the chain failed.
type Failure struct {
	Server  string `json:"server"`
	Message string `json:"what"`
	// Refused says that the server did not take the request.
	Refused bool `json:"refused,omitempty"`
}

// Frame is one line of an engine's answer: a token, the end, or a failure.
type Frame struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index,omitempty"`
	Token   string `json:"token,omitempty"`
	Spans   []Span `json:"spans,omitempty"`
	End     bool   `json:"end,omitempty"`
	// Count is the number of tokens of the whole answer; set with End.
	Count int      `json:"count,omitempty"`
	Fail  *Failure `json:"fail,omitempty"`
}

// Status is what an engine reports of itself.
type Status struct {
	Name     string     `json:"name"`
	Model    string     `json:"model"`
	First    int        `json:"first"`
	End      int        `json:"end"`
	Kind     string     `json:"kind"`
	State    host.State `json:"state"`
	InFlight int        `json:"inFlight"`
	Waiting  int        `json:"waiting"`
	Capacity int        `json:"capacity"`
	// TokenUs is the time of one step, in microseconds. A step runs up to
	// Capacity tokens together, so a server runs Capacity/TokenUs at most.
	TokenUs int64 `json:"tokenUs"`
	// Links holds one-way delays to other servers, in microseconds.
	Links map[string]int64 `json:"links"`
	// Number is the highest fencing number that the engine has seen.
	Number uint64 `json:"number"`
	// AgeMs is how old the report is, in milliseconds.
	AgeMs int64 `json:"ageMs"`
}

// NotRunHeader is set on an answer of a server that did not take the request.
const NotRunHeader = "Not-Run"

// Order tells an engine to load a model or to change its role.
type Order struct {
	// Order names what to do, for example load.
	Order string `json:"order"`
	Model string `json:"model,omitempty"`
	// Holder is the entry host that holds the lease under which orders are
	// given.
	Holder string `json:"holder"`
	// Number is the fencing number of the lease; it grows with each holder.
	Number uint64 `json:"number"`
	// DeadlineMs is when the order lapses, in Unix milliseconds; zero means
	// never. An engine refuses an order that arrives later.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
}

// Why an engine did not carry out an order, in NotRunHeader.
const (
	// Fenced: the engine has seen an order with a higher number.
	Fenced = "fenced"
	// Expired: the deadline of the order has passed.
	Expired = "lapsed"
	// Leaving: the server takes no new work since it is leaving.
	Leaving = "leaving"
)
