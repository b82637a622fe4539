package resv

import "time"

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
	b.mu.Lock()
	defer b.mu.Unlock()
	list = list[:min(len(list), maxPromises)]
	invalid := 0
	// The newest is added last.
	for i := len(list) - 1; i >= 0; i-- {
		if !list[i].valid() {
			invalid++
			continue
		}
		b.merge(list[i], now)
	}
	if invalid > 0 {
		b.warn("returns: invalid promises dropped", invalid, now)
	}
}

// merge adds a promise of another host. The mutex is held.
func (b *Book) merge(heard Promise, now time.Time) {
	id, due := promiseID{key: heard.Key, number: heard.ID}, b.since(now)+heard.Due
	known := b.ledger.find(id)
	if known == nil {
		b.add(&promise{promiseID: id, due: due, ended: heard.Kept}, now)
		return
	}
	if heard.Kept && !known.ended {
		b.ledger.end(known)
	}
	if !known.own {
		// Without the minimum, the transit times of messages would add up.
		known.due = min(known.due, due)
	}
}
