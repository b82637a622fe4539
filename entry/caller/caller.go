// Package caller tells whether the caller of a request has left.
//
// net/http notices the end of a caller's connection in a goroutine of its own, once it has read the
// request, and not at all if a byte follows the request. A host that lacks processor time finds the
// request and the end of the connection at the same time, and would forward the request before that
// goroutine runs. A [Watch] therefore asks the kernel: before each step that makes others work, and
// at intervals while they do.
//
// A [Watch] also records the steps of a request, which a log line shows if its caller leaves.
package caller

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"fuchsiashelf.dev/parts/sock"
)

// Watch watches the caller of one request. Set the exported fields before Begin. It is safe for
// concurrent use; nil watches nothing.
type Watch struct {
	// Conn is the caller's connection; nil if it is unknown.
	Conn net.Conn
	// Begun is when the head of the request had been read; the ages of a request count from then.
	Begun time.Time
	// OnLate is called with each step after End; nil ignores them.
	OnLate func(Step)

	raw syscall.RawConn
	// server is the context that the HTTP server ends.
	server context.Context
	cancel context.CancelFunc
	stop   func() bool

	mu sync.Mutex
	// connected is the age at which the caller was last known to be connected.
	connected time.Duration
	departure *Departure
	steps     []Step
	dropped   int
	ended     bool
}

// Departure says how it was noticed that a caller has left.
type Departure struct {
	// By is who noticed it, and How is what the kernel says of the connection.
	By  Source
	How sock.State
	// Connected is the age of the request at which the caller was last known to be connected, and
	// Noticed the age at which it was noticed that it is not.
	Connected, Noticed time.Duration
}

// Source is who noticed that a caller has left.
type Source string

// The sources.
const (
	// ByServer is the HTTP server, which reads the connection.
	ByServer Source = "server"
	// ByCheck is a check of the connection before a step of the request or at an interval.
	ByCheck Source = "check"
	// ByWrite is a write to the connection that failed.
	ByWrite Source = "write"
)

// Begin begins to watch the caller. The context that it returns ends with the given one, and as soon
// as it is noticed that the caller has left. The caller of Begin calls End when the request has ended.
func (w *Watch) Begin(ctx context.Context) context.Context {
	if sc, ok := w.Conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			w.raw = raw
		}
	}
	watched, cancel := context.WithCancel(ctx)
	w.server, w.cancel = ctx, cancel
	w.stop = context.AfterFunc(ctx, func() { w.notice(ByServer) })
	return watched
}

// End ends the watch. The context that Begin returned ends.
func (w *Watch) End() {
	w.stop()
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
}

// MaySend records that the request is about to be sent to a server. It reports false if the caller
// has left; the request must not be sent then.
func (w *Watch) MaySend(server string) bool {
	if w.Left() {
		w.Add(Unsent, server)
		return false
	}
	w.Add(Sent, server)
	return true
}

// Left reports whether the caller has left, as the kernel knows it now. If so, the context of the
// request ends.
func (w *Watch) Left() bool {
	if w == nil {
		return false
	}
	if w.Departure() != nil {
		return true
	}
	age := time.Since(w.Begun)
	if w.raw == nil || !sock.StateOfRaw(w.raw).Ended() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.connected = max(w.connected, age)
		return w.departure != nil
	}
	w.notice(ByCheck)
	return true
}

// WriteFailed records that a write to the caller has failed.
func (w *Watch) WriteFailed() {
	if w != nil {
		w.notice(ByWrite)
	}
}

// notice records that the caller has left, and ends the context of the request.
func (w *Watch) notice(by Source) {
	how := sock.Unknown
	if w.raw != nil {
		how = sock.StateOfRaw(w.raw)
	}
	if by == ByServer && how == sock.Connected {
		// The server has ended the request, for example because a read timed out.
		return
	}
	w.mu.Lock()
	if w.departure == nil {
		w.departure = &Departure{By: by, How: how, Connected: w.connected, Noticed: time.Since(w.Begun)}
	}
	w.mu.Unlock()
	w.cancel()
}

// Departure returns how it was noticed that the caller has left; nil if it was not.
func (w *Watch) Departure() *Departure {
	if w.server != nil && w.server.Err() != nil {
		// The goroutine that records it may not have run yet.
		w.notice(ByServer)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.departure
}
