package claim

import (
	"sync"
	"sync/atomic"
	"time"
)

// Phase is how far a call has come on the entry host that holds its claim.
type Phase int32

// The phases. A call goes from Asking to Running to Over, or from either of
// the first two to Never.
const (
	// Claiming: the claim is on its way to the store.
	Claiming Phase = iota
	// Running: the call may have left for a backend server.
	Running
	// Finished: the call has an outcome, or is known to have none.
	Finished
	// NotSent: the call was not sent and never will be under this nonce.
	NotSent
)

// Flight is a call that this entry host has claimed or is claiming. R is the
// type of its result.
type Flight[R any] struct {
	// Key, Body and Nonce are those of the claim.
	Key   Key
	Body  Digest
	Nonce uint64
	// Until is when the flight may be forgotten.
	Until time.Time
	// Done is closed when the flight has a result.
	Done chan struct{}

	phase  atomic.Int32
	result R
}

// Phase returns how far the call has come.
func (f *Flight[R]) Phase() Phase {
	return Phase(f.phase.Load())
}

// Start moves from Asking to Running, just before the first byte of the call
// can leave.
func (f *Flight[R]) Start() bool {
	return f.phase.CompareAndSwap(int32(Claiming), int32(Running))
}

// Finish gives the flight its result. With never, the call was not sent or its
// backend server has said that it did not run it.
func (f *Flight[R]) Finish(result R, never bool) {
	f.result = result
	phase := Finished
	if never {
		phase = NotSent
	}
	f.phase.Store(int32(phase))
	close(f.Done)
}

// Result returns the result once Done is closed.
func (f *Flight[R]) Result() R {
	return f.result
}

// Table holds the flights of one run of an entry host. Its zero value is
// ready. A flight that was sent stays in it until its outcome is in the
// store, so that whoever finds the claim can learn more from its holder.
type Table[R any] struct {
	flights sync.Map // of Key to *Flight[R]
}

// Begin returns the flight of a call. It is the caller's own if there was
// none, or one that never ran; over is then the nonce of that one. Otherwise
// it is the flight that the call joins.
func (t *Table[R]) Begin(key Key, body Digest, nonce uint64, until time.Time) (f *Flight[R], own bool, over uint64) {
	fresh := &Flight[R]{Key: key, Body: body, Nonce: nonce, Until: until, Done: make(chan struct{})}
	for {
		found, loaded := t.flights.LoadOrStore(key, fresh)
		if !loaded {
			return fresh, true, 0
		}
		old := found.(*Flight[R])
		if old.Phase() != NotSent || old.Body != body {
			return old, false, 0
		}
		if t.flights.CompareAndSwap(key, old, fresh) {
			return fresh, true, old.Nonce
		}
	}
}

// Forget drops a flight, if it is still the one of its call.
func (t *Table[R]) Forget(f *Flight[R]) {
	t.flights.CompareAndDelete(f.Key, f)
}

// Find returns the flight of a claim.
func (t *Table[R]) Find(key Key, nonce uint64) (*Flight[R], bool) {
	found, ok := t.flights.Load(key)
	if !ok || found.(*Flight[R]).Nonce != nonce {
		return nil, false
	}
	return found.(*Flight[R]), true
}

// Sweep drops the flights that may be forgotten and returns how many are
// left.
func (t *Table[R]) Sweep(now time.Time) int {
	left := 0
	t.flights.Range(func(key, value any) bool {
		f := value.(*Flight[R])
		if f.Until.Before(now) && f.Phase() >= Finished {
			t.flights.CompareAndDelete(key, value)
			return true
		}
		left++
		return true
	})
	return left
}
