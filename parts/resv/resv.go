// Package resv tells refused callers when to return, and recognizes them when they do.
package resv

import (
	"log/slog"
	"time"

	"fuchsiashelf.dev/parts/fair"
)

// Book holds the promises of this entry host and of others. Set the exported fields before use. It is
// safe for concurrent use.
type Book struct {
	// Log is the log; nil discards.
	Log *slog.Logger
}

// Promise is a promise in a message. The names of its fields are part of the encoding.
type Promise struct {
	Key uint64
	// Due counts from the moment of the message and is negative once past.
	Due time.Duration
}

// Stats counts promises since the start of the process.
type Stats struct {
	// Promised is the number of promises made here. Kept, Early and Lapsed count the outcomes of
	// promises seen here.
	Promised, Kept, Early, Lapsed int64
}

// Served records that a request took capacity.
func (b *Book) Served(now time.Time) {}

// Promise returns the Retry-After of a refused request and remembers it. earliest and latest bound it,
// and ahead is the number of requests that wait for capacity before it.
func (b *Book) Promise(key uint64, earliest, latest time.Duration, ahead int, now time.Time) time.Duration {
	return earliest
}

// Arrive reports whether a request that arrives now returns as it was told. It consumes the promise if
// it is due.
func (b *Book) Arrive(key uint64, now time.Time) fair.Return { return fair.New }

// Promises returns the promises for the next message.
func (b *Book) Promises(now time.Time) []Promise { return nil }

// Merge adds the promises of a message from another entry host.
func (b *Book) Merge(list []Promise, now time.Time) {}

// Sweep drops promises that nobody kept in time.
func (b *Book) Sweep(now time.Time) {}

// Stats returns the counts.
func (b *Book) Stats() Stats { return Stats{} }
