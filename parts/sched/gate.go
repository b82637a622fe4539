package sched

import (
	"sync"
	"time"
)

const (
	// minLimit is the lowest limit, and startLimit the limit of a process that has not been
	// saturated for calmFor.
	minLimit   = 16
	startLimit = 200
	calmFor    = 3 * time.Second
	// growth is the ratio of the limit to the most requests in flight in an interval. What the
	// process falls behind by shows only when the work of new requests has begun.
	growth = 1.3
	// shrink is the ratio of the limit to the requests in flight when the process is saturated.
	// It takes effect once in shrinkInterval: requests in flight are served to their end.
	shrink         = 0.75
	shrinkInterval = window
	// regrowth is the ratio of two successive limits after that, while the limit is in use.
	regrowth = 1.05
	// reserve is the room above the limit for requests on connections that callers have kept.
	reserve = 1.25
	// maxRefusals is how many requests a second are read to be refused. The others' connections
	// are closed.
	maxRefusals = 50
	// minInterval is the longest time without a new request, however many are in flight.
	minInterval = 200 * time.Millisecond
)

// Gate limits the requests in flight. The zero value is ready to use. It is safe for concurrent
// use.
type Gate struct {
	mu    sync.Mutex
	limit float64
	// peak is the largest number of requests in flight since the last sample.
	peak     int
	shrunkAt time.Time
	// refusals is how many requests may be read to be refused now, as of refilledAt.
	refusals   float64
	refilledAt time.Time
	// acceptedAt is when a connection was last accepted within the limit or after minInterval, and
	// granted how many of the latter have not been admitted yet.
	acceptedAt time.Time
	granted    int
}

// Sample adapts the limit. lost is the share of its time in which the process waits for a
// processor.
func (g *Gate) Sample(inFlight int, lost float64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	peak := float64(max(g.peak, inFlight))
	g.peak = inFlight
	switch {
	case lost >= saturatedShare:
		if now.Sub(g.shrunkAt) >= shrinkInterval {
			g.limit, g.shrunkAt = max(minLimit, shrink*float64(inFlight)), now
		}
	case now.Sub(g.shrunkAt) >= calmFor:
		g.limit = max(startLimit, growth*peak)
	case peak >= g.limit:
		g.limit *= regrowth
	}
}

// Limit returns the current limit.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current()
}

// current returns the limit, which is startLimit before the first sample. The mutex is held.
func (g *Gate) current() int {
	if g.limit == 0 {
		return startLimit
	}
	return int(max(minLimit, g.limit))
}

// Accept decides whether to read the request on a new connection, besides those in flight. If
// alone is set, some requests beyond the limit are read, so that their callers learn when to retry:
// there is no other host for them.
func (g *Gate) Accept(inFlight int, alone bool, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peak = max(g.peak, inFlight)
	if inFlight < g.current() {
		g.acceptedAt = now
		return true
	}
	if now.Sub(g.acceptedAt) >= minInterval {
		g.acceptedAt = now
		g.granted++
		return true
	}
	g.refusals = min(maxRefusals, g.refusals+maxRefusals*now.Sub(g.refilledAt).Seconds())
	g.refilledAt = now
	if !alone || g.refusals < 1 {
		return false
	}
	g.refusals--
	return true
}

// Admit decides whether to serve a request that has been read, which is among those in flight. kept
// says that its connection has served others before.
func (g *Gate) Admit(inFlight int, kept bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peak = max(g.peak, inFlight)
	limit := g.current()
	if kept {
		limit = int(reserve * float64(limit))
	}
	if inFlight > limit && g.granted > 0 {
		g.granted--
		return true
	}
	return inFlight <= limit
}
