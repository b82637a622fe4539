package resv

import (
	"slices"
	"time"
)

const (
	// maxPromises bounds the promises in a message.
	maxPromises = 128
	// maxKept bounds those of them that were kept. Without it, with 33 hosts that refuse ten requests a
	// second each, 30% of the callers that returned after 1.5 s were taken for new, and 18% with it.
	maxKept = 16
	// passOnFor is how long after it was due a promise is passed on.
	passOnFor = time.Second
)

// Promise is a promise in a message. The numbers of its fields are part of the encoding.
type Promise struct {
	Key uint64 `cbor:"1,keyasint"`
	// Due counts from the moment of the message and is negative once past.
	Due time.Duration `cbor:"2,keyasint"`
	// ID distinguishes the promises for one key.
	ID uint16 `cbor:"3,keyasint,omitempty"`
	// Kept says that the caller has returned, so that the promise is no longer valid.
	Kept bool `cbor:"4,keyasint,omitempty"`
}

// valid reports whether a host may have sent the promise.
func (p Promise) valid() bool { return p.Due >= -passOnFor && p.Due <= maxDelay+slot }

// Promises returns promises for the next message: own and received, newest first, at most maxPromises.
// They include those that were kept a short time ago.
func (b *Book) Promises(now time.Time) []Promise {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.since(now)
	var promises []Promise
	kept := 0
	for element := b.ledger.order.Front(); element != nil && len(promises) < maxPromises; element = element.Next() {
		p := element.Value.(*promise)
		told := Promise{Key: p.key, Due: p.due - at, ID: p.number, Kept: p.ended}
		// A promise that has lapsed is too old to be valid.
		if !told.valid() || told.Kept && kept >= maxKept {
			continue
		}
		if told.Kept {
			kept++
		}
		promises = append(promises, told)
	}
	return promises
}

// Merge adds the promises of a message from another entry host. A promise that was kept here stays
// so. Invalid ones are dropped, and those beyond maxPromises.
func (b *Book) Merge(list []Promise, now time.Time) {
	invalid, dropped := b.mergeAll(list[:min(len(list), maxPromises)], now)
	if invalid > 0 {
		b.warn("returns: invalid promises dropped", invalid, now)
	}
	if dropped > 0 {
		b.warn(droppedMessage, dropped, now)
	}
}

// mergeAll adds the valid promises of a message. It returns how many were not, and how many others were
// dropped because there are too many.
func (b *Book) mergeAll(list []Promise, now time.Time) (invalid, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The newest is added last.
	for _, heard := range slices.Backward(list) {
		switch {
		case !heard.valid():
			invalid++
		case b.merge(heard, b.since(now)):
			dropped++
		}
	}
	return invalid, dropped
}

// merge adds a promise of another host, and reports whether the oldest was dropped. The mutex is held.
func (b *Book) merge(heard Promise, at time.Duration) (dropped bool) {
	id, due := promiseID{key: heard.Key, number: heard.ID}, at+heard.Due
	known := b.ledger.find(id)
	if known == nil {
		return b.ledger.add(&promise{promiseID: id, due: due, ended: heard.Kept})
	}
	if heard.Kept && !known.ended {
		b.ledger.end(known)
	}
	if !known.own {
		// Without the minimum, the transit times of messages would add up.
		known.due = min(known.due, due)
	}
	return false
}
