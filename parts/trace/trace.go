// Package trace records a timeline of events. Each process keeps its latest
// events in a ring buffer; a tool merges those of all processes into one
// timeline.
//
// Events carry a hybrid logical clock: wall time in nanoseconds, advanced
// whenever a message with a later clock arrives. An effect therefore never sorts
// before its cause, even if the clocks of two hosts differ.
package trace

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Event is one recorded event.
type Event struct {
	// Clock is the reading of the hybrid logical clock, in nanoseconds.
	Clock uint64 `json:"clock"`
	// Process is the name of the process that recorded the event.
	Process string `json:"process"`
	// Component is the part of the program, as in the logs.
	Component string `json:"part"`
	// Request is the request that the event belongs to, if any.
	Request string `json:"request,omitempty"`
	// Message is a short description.
	Message string `json:"what"`
}

// RingSize is the number of events that a process keeps.
const RingSize = 4096

// Recorder is the timeline of one process. Set Process before first use.
type Recorder struct {
	// Process is the name of the process, copied into each event.
	Process string

	clock  atomic.Uint64
	mu     sync.Mutex
	events []Event
	// next is the position of the oldest event, which the next one replaces once
	// events holds RingSize events.
	next int
}

// Now returns the next reading of the clock.
func (r *Recorder) Now() uint64 {
	for {
		last := r.clock.Load()
		now := max(uint64(time.Now().UnixNano()), last+1)
		if r.clock.CompareAndSwap(last, now) {
			return now
		}
	}
}

// Observe advances the clock past one that came with a message.
func (r *Recorder) Observe(clock uint64) {
	for {
		last := r.clock.Load()
		if clock <= last || r.clock.CompareAndSwap(last, clock) {
			return
		}
	}
}

// Record records an event. It does nothing on a nil Recorder.
func (r *Recorder) Record(component, request, message string) {
	if r == nil {
		return
	}
	event := Event{Clock: r.Now(), Process: r.Process, Component: component, Request: request, Message: message}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < RingSize {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % RingSize
}

// Find returns the events of a request, or all events if request is empty,
// ordered by their clocks.
func (r *Recorder) Find(request string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for _, e := range r.events {
		if request == "" || e.Request == request {
			found = append(found, e)
		}
	}
	Sort(found)
	return found
}

// Sort orders events by clock, then by process.
func Sort(events []Event) {
	slices.SortFunc(events, func(a, b Event) int {
		if a.Clock != b.Clock {
			if a.Clock < b.Clock {
				return -1
			}
			return 1
		}
		if a.Process < b.Process {
			return -1
		}
		return 1
	})
}
