// Package resv tells refused callers when to return, and recognizes them when they do.
//
// A [Book] makes a promise for a refused request: a time at which there will probably be capacity for
// it, since few others were told the same time. Time is divided into slots. In each slot the host
// promises a share of what it serves of a service in that time, and leaves the rest to new requests. A
// request that arrives when its promise is due is on time, and goes before new requests; one that arrives
// before is early, and goes after them. A promise lapses if no request keeps it within grace.
//
// A promise belongs to the key of a request, see [NewKey], since each attempt has a new ID. Several
// callers with equal requests share a key. Each of them has a promise, and each arrival consumes one.
//
// Entry hosts tell each other their promises, and which of them were kept, since callers may return to
// another host. A promise has an ID, and is remembered for a while after it was kept or has lapsed, so
// that it does not return in the message of a host that still holds it. Messages hold durations, so that a
// promise is due later at other hosts by the transit time of the message; of several messages with a
// promise the earliest time counts.
package resv

import (
	"log/slog"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/fair"
)

const (
	// returnShare is the share of the served requests of a slot that is promised.
	returnShare = 0.5
	// minPerSlot is the minimum number of promises for a slot, on average.
	minPerSlot = 0.5
	// maxDelay bounds the time until a promise is due.
	maxDelay = 5 * time.Second
	// earlyTolerance is how long before a promise is due an arrival is on time.
	earlyTolerance = 50 * time.Millisecond
	// grace is how long after a promise was due an arrival is on time.
	grace = 2 * time.Second
	// earlySpread is the time over which callers that were early are spread. It is less than grace, so
	// that they are on time if they wait.
	earlySpread = time.Second
	// minLogInterval is the minimum time between two log lines with one message.
	minLogInterval = time.Second
)

// droppedMessage is logged when there are more than maxRecords promises.
const droppedMessage = "returns: too many promises, oldest dropped"

// Book holds the promises of this entry host and of others. Set the exported fields before use. It is
// safe for concurrent use.
type Book struct {
	// Log is the log; nil discards.
	Log *slog.Logger

	mu sync.Mutex
	// start is the first time that was passed to the book. Other times are relative to it.
	start time.Time
	// schedules holds the schedules by service: they are as many as there are services.
	schedules map[string]*schedule
	ledger    ledger
	stats     Stats
	// loggedAt is the time of the last log line, by message.
	loggedAt map[string]time.Time
}

// Stats counts promises since the start of the process.
type Stats struct {
	// Promised is the number of promises made by this entry host, and Lapsed the number of those that
	// lapsed. Kept and Early are the numbers of arrivals here that were on time
	// and early.
	Promised, Kept, Early, Lapsed int64
}

// schedule holds what promises for one service follow from.
type schedule struct {
	served meter
	slots  slots
}

// schedule returns the schedule of a service. The mutex is held.
func (b *Book) schedule(service string) *schedule {
	s := b.schedules[service]
	if s == nil {
		if b.schedules == nil {
			b.schedules = map[string]*schedule{}
		}
		s = &schedule{}
		b.schedules[service] = s
	}
	return s
}

// perSlot returns how many promises a slot should hold.
func (s *schedule) perSlot(at time.Duration) float64 {
	return max(minPerSlot, returnShare*s.served.rate(at)*slot.Seconds())
}

// Served records that a request took capacity of a service.
func (b *Book) Served(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.schedule(service).served.add(b.since(now))
}

// Promise returns the Retry-After of a request that a service refused: at least earliest, and at most latest unless
// earliest is longer. ahead is the number of requests that wait for capacity before it. A request that
// was early is told of its earlier promise again if it can keep it within these bounds. No promise is
// made beyond maxDelay.
func (b *Book) Promise(service string, key uint64, earliest, latest time.Duration, ahead int, now time.Time) time.Duration {
	earliest = max(earliest, 0)
	if earliest > maxDelay {
		return earliest
	}
	latest = min(latest, maxDelay)
	if latest <= earliest {
		// The spread over a slot avoids a burst of callers that are told the same time.
		latest = earliest + slot
	}
	delay, dropped := b.promise(service, key, earliest, latest, ahead, now)
	if dropped {
		b.warn(droppedMessage, 1, now)
	}
	return delay
}

// promise makes or repeats a promise, and reports whether the oldest was dropped for it.
func (b *Book) promise(
	service string, key uint64, earliest, latest time.Duration, ahead int, now time.Time,
) (delay time.Duration, dropped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, s := b.since(now), b.schedule(service)
	perSlot := s.perSlot(at)
	if delay, ok := b.promisedBefore(key, earliest, latest, at, perSlot); ok {
		return delay, false
	}
	from := at + earliest + s.served.duration(max(ahead, 0), at)
	due := s.slots.take(at+earliest, from, at+latest, perSlot)
	b.stats.Promised++
	dropped = b.ledger.add(&promise{promiseID: newPromiseID(key, now, b.stats.Promised), due: due, own: true})
	return due - at, dropped
}

// promisedBefore returns the Retry-After of a request that was early. Only the first of several such
// requests with one key may have a promise; the others are spread. The mutex is held.
func (b *Book) promisedBefore(key uint64, earliest, latest, at time.Duration, perSlot float64) (delay time.Duration, ok bool) {
	e := b.ledger.entries[key]
	if e == nil || e.early == 0 {
		return 0, false
	}
	e.early--
	p := e.next(at)
	if p == nil {
		return 0, false
	}
	delay = max(earliest, p.due-at)
	if delay > latest {
		// It was promised to another caller, with more time left.
		return 0, false
	}
	interval := time.Duration(float64(slot) / perSlot)
	spread := time.Duration(e.refused+1) * interval % earlySpread
	delay = min(delay+spread, latest)
	if p.lapsed(at + delay) {
		// The request has waited until after it was due.
		return 0, false
	}
	e.refused++
	return delay, true
}

// Arrive reports whether a request that arrives now returns as it was told. It consumes the promise if
// it is due.
func (b *Book) Arrive(key uint64, now time.Time) fair.Return {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, at := b.ledger.entries[key], b.since(now)
	if e == nil {
		return fair.New
	}
	p := e.next(at)
	switch {
	case p == nil:
		return fair.New
	case at < p.due-earlyTolerance:
		e.early++
		b.stats.Early++
		return fair.Early
	}
	b.ledger.end(p)
	b.stats.Kept++
	return fair.OnTime
}

// Sweep drops the promises that have lapsed.
func (b *Book) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Lapsed += b.ledger.sweep(b.since(now))
}

// Stats returns the counts.
func (b *Book) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// warn logs a message with a count, at most once per minLogInterval. The mutex is not held, since a
// handler may block.
func (b *Book) warn(message string, count int, now time.Time) {
	if b.Log != nil && b.mayLog(message, now) {
		b.Log.Warn(message, "count", count)
	}
}

// mayLog reports whether a message may be logged again.
func (b *Book) mayLog(message string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if last, logged := b.loggedAt[message]; logged && now.Sub(last) < minLogInterval {
		return false
	}
	if b.loggedAt == nil {
		b.loggedAt = map[string]time.Time{}
	}
	b.loggedAt[message] = now
	return true
}

// since returns the time since the start of the book. The mutex is held.
func (b *Book) since(now time.Time) time.Duration {
	if b.start.IsZero() {
		b.start = now
	}
	return max(now.Sub(b.start), 0)
}
