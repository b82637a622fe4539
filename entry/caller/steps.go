package caller

import (
	"slices"
	"time"
)

// maxSteps bounds the steps that are kept of one request. The first and the last ones are.
const maxSteps = 32

// Step is something that began or ended on behalf of a request.
type Step struct {
	// Age is the age of the request.
	Age time.Duration
	// What is what began or ended, and Detail where, or why.
	What   Event
	Detail string
}

// Event is what began or ended.
type Event string

// The events of a request.
const (
	// Read means that the whole request has been read.
	Read Event = "read"
	// Queued and Unqueued mean that the request began and ceased to wait for capacity.
	Queued   Event = "queued"
	Unqueued Event = "unqueued"
	// AttemptBegun and AttemptEnded are those of an attempt at a server, which is the detail.
	AttemptBegun Event = "attempt"
	AttemptEnded Event = "attempt ended"
	// Sent means that the attempt has a connection and that the request is written to it.
	Sent Event = "sent"
	// Unsent means that it is not written, because the caller has left.
	Unsent Event = "not sent"
	// SearchBegun and SearchEnded are those of a search for a second attempt.
	SearchBegun Event = "search"
	SearchEnded Event = "search ended"
	// OrderBegun and OrderEnded are those of an order to use another chain.
	OrderBegun Event = "order"
	OrderEnded Event = "order ended"
)

// Add records a step.
func (w *Watch) Add(what Event, detail string) {
	if w == nil {
		return
	}
	s := Step{Age: time.Since(w.Begun), What: what, Detail: detail}
	w.mu.Lock()
	ended := w.ended
	if len(w.steps) == maxSteps {
		w.steps = slices.Delete(w.steps, maxSteps/2, maxSteps/2+1)
		w.dropped++
	}
	w.steps = append(w.steps, s)
	w.mu.Unlock()
	if ended && w.OnLate != nil {
		w.OnLate(s)
	}
}

// Steps returns the steps of the request in their order, and how many are left out after the first
// half of them.
func (w *Watch) Steps() (list []Step, dropped int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.steps), w.dropped
}

// String returns the step as the log shows it, with the age to a tenth of a millisecond.
func (s Step) String() string {
	text := s.Age.Round(time.Millisecond/10).String() + " " + string(s.What)
	if s.Detail != "" {
		text += " " + s.Detail
	}
	return text
}
