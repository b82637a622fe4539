// Package queue admits requests to services that may lack capacity.
//
// An [Admission] keeps a line of waiting requests for each service. A request of which none goes
// before it looks for capacity at once; another one waits in the order of package fair: by rank,
// then by team, then by when it was told to return. The line looks for capacity on behalf of the
// first waiters at intervals, and at once when a request of this host ends.
//
// A request is accepted if it can be expected to be served within its longest wait, and displaced,
// which means refused at once, when requests that go before it make that impossible. A request
// leaves free what package share reserves for others, and a refused one is told by package resv
// when to return.
package queue

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/share"
)

// Admission admits requests to all services. Set the exported fields before use. It is safe for
// concurrent use.
type Admission struct {
	// Shares tracks the demand of all hosts, and Book the promises to refused callers.
	Shares *share.Tracker
	Book   *resv.Book
	Log    *slog.Logger

	mu    sync.Mutex
	lines map[string]*line

	counts counts
	logged limiter
}

// Request describes a request for admission.
type Request struct {
	Class share.Class
	// Key identifies what the caller asks for, also when it asks again.
	Key uint64
	// Return is what Book.Arrive returned for the request.
	Return fair.Return
	// Cost is the work of the request, in tokens of prompt and response.
	Cost float64
	// Restricted says that servers which others may use are of no use to the request.
	Restricted bool
	// MaxWait is the longest wait for capacity, and Deadline when the caller stops waiting.
	MaxWait  time.Duration
	Deadline time.Time
}

// Find looks for capacity that leaves the given share of each server free. It reports whether it
// took some, or returns an error if the request cannot be served for another reason.
type Find func(headroom float64) (found bool, err *fault.Error)

// Enter waits until find has found capacity. The caller ends the ticket when the request has ended.
// Calls of find never overlap; they may come from another goroutine while Enter waits.
func (a *Admission) Enter(ctx context.Context, r Request, find Find) (Ticket, *fault.Error) {
	l := a.line(r.Class.Service)
	w := newWaiter(r, find, time.Now())
	if l.isFirst(w) {
		if found, e := l.look(w); found || e != nil {
			return l.conclude(w, found, e)
		}
	}
	if !l.join(w, time.Now()) {
		return l.findOrRefuse(w)
	}
	return l.wait(ctx, w)
}

// TryEnter looks for capacity once, if no request waits. It neither waits nor refuses.
func (a *Admission) TryEnter(r Request, find Find) (ticket Ticket, found bool) {
	l := a.line(r.Class.Service)
	if l.length() > 0 {
		return Ticket{}, false
	}
	w := newWaiter(r, find, time.Now())
	if found, _ = l.look(w); !found {
		return Ticket{}, false
	}
	return l.serve(w, time.Now()), true
}

// Sweep charges the teams for what they got at other hosts, and removes expired state. Call it
// every 100 ms.
func (a *Admission) Sweep(now time.Time) {
	for _, l := range a.allLines() {
		l.chargeRemote()
	}
	a.logged.sweep(now)
}

// line returns the line of a service. Lines are kept: they are as many as there are services.
func (a *Admission) line(service string) *line {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lines[service]
	if l == nil {
		if a.lines == nil {
			a.lines = map[string]*line{}
		}
		l = newLine(a, service)
		a.lines[service] = l
	}
	return l
}

func (a *Admission) allLines() []*line {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*line, 0, len(a.lines))
	for _, l := range a.lines {
		list = append(list, l)
	}
	return list
}
