// Package trace keeps a time line of events. Each process holds its latest
// events in a ring; a tool merges the rings of all processes into one line.
//
// Events carry a hybrid logical clock: wall time in nanoseconds, pushed ahead
// whenever a message with a later clock arrives. So an effect never sorts
// before its cause, even when the clocks of two hosts differ.
package trace

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Event is one thing that happened.
type Event struct {
	// Clock is the hybrid logical clock, in nanoseconds.
	Clock uint64 `json:"clock"`
	// Process is the name of the entry host.
	Process string `json:"process"`
	// Component names the part of the program, as the logs do.
	Component string `json:"part"`
	// Request is the request that the event belongs to, if any.
	Request string `json:"request,omitempty"`
	// Message is a short sentence.
	Message string `json:"what"`
}

// RingSize is how many events a process keeps.
const RingSize = 4096

// Recorder is the time line of one process. Set Process before first use.
type Recorder struct {
	// Process is written into each event.
	Process string

	clock  atomic.Uint64
	mu     sync.Mutex
	events []Event
	next   int
}

// Now returns the next reading of the clock.
func (l *Recorder) Now() uint64 {
	for {
		last := l.clock.Load()
		now := max(uint64(time.Now().UnixNano()), last+1)
		if l.clock.CompareAndSwap(last, now) {
			return now
		}
	}
}

// Observe pushes the clock past one that came with a message.
func (l *Recorder) Observe(clock uint64) {
	for {
		last := l.clock.Load()
		if clock <= last || l.clock.CompareAndSwap(last, clock) {
			return
		}
	}
}

// Record records an event. A nil line records nothing.
func (l *Recorder) Record(part, request, what string) {
	if l == nil {
		return
	}
	event := Event{Clock: l.Now(), Process: l.Process, Component: part, Request: request, Message: what}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) < RingSize {
		l.events = append(l.events, event)
		return
	}
	l.events[l.next] = event
	l.next = (l.next + 1) % RingSize
}

// Find returns the kept events of a request, or all for an empty name, in
// the order of their clocks.
func (l *Recorder) Find(request string) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Event
	for _, e := range l.events {
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
