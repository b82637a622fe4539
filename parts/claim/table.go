package claim

import (
	"sync"
	"sync/atomic"
	"time"
)

// Phase is the progress of a call on the entry host that holds its claim.
type Phase int32

// The phases. A call goes from Claiming to Running to Finished, or from either
// of the first two to NotSent.
const (
	// Claiming: the claim is being written to the store.
	Claiming Phase = iota
	// Running: the call may have been sent to a backend server.
	Running
	// Finished: the call has an outcome, or is known to have none.
	Finished
	// NotSent: the call was not sent, or its backend server reported that it did
	// not run it. It will not be sent with this nonce again.
	NotSent
)

// Flight is a call that this entry host has claimed or is claiming. R is the
// type of its result.
type Flight[R any] struct {
	// Key, Body and Nonce are copied from the claim.
	Key   Key
	Body  Digest
	Nonce uint64
	// Until is when the flight may be removed from the table.
	Until time.Time
	// Done is closed once the flight has a result.
	Done chan struct{}

	phase  atomic.Int32
	result R
}

// Phase returns the current phase.
func (f *Flight[R]) Phase() Phase {
	return Phase(f.phase.Load())
}

// Start moves the flight from Claiming to Running and reports whether it did.
// Call it just before the first byte of the call can be sent.
func (f *Flight[R]) Start() bool {
	return f.phase.CompareAndSwap(int32(Claiming), int32(Running))
}

// Finish sets the result. notSent means that the call was not sent or that
// its backend server reported that it did not run it.
func (f *Flight[R]) Finish(result R, notSent bool) {
	f.result = result
	phase := Finished
	if notSent {
		phase = NotSent
	}
	f.phase.Store(int32(phase))
	close(f.Done)
}

// Result returns the result. Call it only once Done is closed.
func (f *Flight[R]) Result() R {
	return f.result
}

// Table holds the flights of one incarnation of an entry host. The zero value
// is ready to use. The flight of a call that was sent stays in the table until
// its outcome is in the store, so that an entry host that finds the claim can
// query its holder.
type Table[R any] struct {
	flights sync.Map // Key to *Flight[R]
}

// Begin returns the flight of a call. If there was none, or one that never
// ran, it adds a new flight and own is true; replaced is then the nonce of
// the flight that never ran, or zero. Otherwise own is false and the caller
// joins the existing flight.
func (t *Table[R]) Begin(key Key, body Digest, nonce uint64, until time.Time) (f *Flight[R], own bool, replaced uint64) {
	fresh := &Flight[R]{Key: key, Body: body, Nonce: nonce, Until: until, Done: make(chan struct{})}
	for {
		existing, loaded := t.flights.LoadOrStore(key, fresh)
		if !loaded {
			return fresh, true, 0
		}
		old := existing.(*Flight[R])
		if old.Phase() != NotSent || old.Body != body {
			return old, false, 0
		}
		if t.flights.CompareAndSwap(key, old, fresh) {
			return fresh, true, old.Nonce
		}
	}
}

// Forget removes a flight unless another one has replaced it.
func (t *Table[R]) Forget(f *Flight[R]) {
	t.flights.CompareAndDelete(f.Key, f)
}

// Find returns the flight of a claim, if there is one.
func (t *Table[R]) Find(key Key, nonce uint64) (*Flight[R], bool) {
	value, ok := t.flights.Load(key)
	if !ok || value.(*Flight[R]).Nonce != nonce {
		return nil, false
	}
	return value.(*Flight[R]), true
}

// RemoveExpired removes finished flights whose Until has passed and returns the
// number of flights that remain.
func (t *Table[R]) RemoveExpired(now time.Time) int {
	remaining := 0
	t.flights.Range(func(key, value any) bool {
		f := value.(*Flight[R])
		if f.Until.Before(now) && f.Phase() >= Finished {
			t.flights.CompareAndDelete(key, value)
			return true
		}
		remaining++
		return true
	})
	return remaining
}
