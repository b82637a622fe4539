// Package dialer connects to backend servers, directly or through another entry host.
//
// A [Dialer] connects directly, and opens a tunnel (package tunnel) if a server refuses that
// or takes long. Attempts at other servers distinguish a server that is down from a host
// that is cut off. Such a host connects through tunnels until servers accept its
// connections again.
package dialer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"storj.io/drpc"

	"fuchsiashelf.dev/parts/reach"
	"fuchsiashelf.dev/parts/stall"
)

const (
	// raceDelay is how long a direct attempt may take before a tunnel is opened as well.
	// A server usually accepts within a few milliseconds.
	raceDelay = 20 * time.Millisecond
	// failedFor is how long it is remembered that neither this host nor a peer reached a
	// server. No tunnel to it is opened meanwhile.
	failedFor = 300 * time.Millisecond
	// maxRaces bounds the tunnels to one server that are opened in parallel with direct
	// attempts: where it is slow to accept, more attempts would make it slower.
	maxRaces = 4
)

// ErrExited is matched by the error of a connection to a server whose process has ended: it
// refuses connections, no peer reaches it, and this host reaches other servers.
var ErrExited = errors.New("the server's process has ended")

// Error says that a server was reached neither directly nor through a peer.
type Error struct {
	Address string
	// Direct is the error of the direct attempt, Tunnel that of the tunnels; nil if none
	// was tried.
	Direct, Tunnel error
	// Exited says that the server's process has ended.
	Exited bool
}

// Error implements error.
func (e *Error) Error() string {
	if e.Tunnel == nil {
		return fmt.Sprint(e.Direct)
	}
	return fmt.Sprintf("%v; %v", e.Direct, e.Tunnel)
}

// Unwrap implements errors.Unwrap.
func (e *Error) Unwrap() []error { return []error{e.Direct, e.Tunnel} }

// Is implements errors.Is.
func (e *Error) Is(target error) bool { return target == ErrExited && e.Exited }

// Dialer connects to backend servers, directly or through a peer. Set the exported fields
// before use.
type Dialer struct {
	// Direct connects to a server directly.
	Direct func(ctx context.Context, network, address string) (net.Conn, error)
	// Peers returns the addresses of the peers through which to connect to a server, the
	// preferred ones first.
	Peers func(server string) []string
	// DialPeer connects to a peer.
	DialPeer func(ctx context.Context, peer string) (drpc.Conn, error)
	// Secret is the secret of the entry hosts, if they have one.
	Secret string
	// Servers returns the addresses of all servers.
	Servers func() []string
	// Reach records which servers this host reaches. OnChange is called when it begins or
	// ceases to be isolated.
	Reach    *reach.Tracker
	OnChange func()
	// Clock distinguishes the silence of servers from stalls of this process; nil assumes none.
	Clock *stall.Clock

	mu sync.Mutex
	// races counts the tunnels that are opened in parallel with direct attempts, by server.
	races map[string]int
	// peerFailed holds when a peer last did not reach a server.
	peerFailed map[string]time.Time
	// failed holds the servers that were not reached, by address.
	failed map[string]failedServer
	// checked is closed when the check in progress is done; nil if there is none.
	checked chan struct{}
}

// failedServer is a server that neither this host nor a peer reached.
type failedServer struct {
	at time.Time
	// conclusive says that a peer has tried to connect to it, or that there is no peer.
	conclusive bool
	// exited says that its process has ended.
	exited bool
}

// Dial connects to a server. The error of a connection that was not made is an *Error,
// unless the context has ended.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.Reach.Direct(address, time.Now()) {
		if c, err := d.throughPeer(ctx, address, time.Now()); err == nil {
			return c, nil
		}
	}
	return d.race(ctx, network, address)
}

// result is the outcome of a direct attempt.
type result struct {
	conn net.Conn
	err  error
}

// race connects directly, and through a peer if that fails or takes long.
func (d *Dialer) race(ctx context.Context, network, address string) (net.Conn, error) {
	startedAt := time.Now()
	direct := make(chan result, 1)
	go func() {
		c, err := d.direct(ctx, network, address, startedAt)
		direct <- result{c, err}
	}()
	for {
		r, done := d.await(ctx, direct)
		if done {
			return d.finish(ctx, address, startedAt, r)
		}
		if ctx.Err() != nil {
			return d.finish(ctx, address, startedAt, <-direct)
		}
		if c := d.overtake(ctx, address, startedAt); c != nil {
			go closeLate(direct)
			return c, nil
		}
	}
}

// await waits for a direct attempt, for raceDelay at most.
func (d *Dialer) await(ctx context.Context, direct <-chan result) (r result, done bool) {
	late, cancel := d.Clock.WithTimeout(ctx, raceDelay, nil)
	defer cancel()
	select {
	case r := <-direct:
		return r, true
	case <-late.Done():
		return result{}, false
	}
}

// overtake connects through a peer while a direct attempt takes long. It returns nil if
// that is not possible.
func (d *Dialer) overtake(ctx context.Context, address string, startedAt time.Time) net.Conn {
	if !d.beginRace(address) {
		return nil
	}
	defer d.endRace(address)
	d.check(address)
	c, err := d.throughPeer(ctx, address, startedAt)
	if err != nil {
		return nil
	}
	d.record(address, false, d.Reach.Record, startedAt)
	d.Reach.RecordRelayed(address, time.Now())
	return c
}

// beginRace reserves a tunnel in parallel with a direct attempt, and reports whether one
// is allowed.
func (d *Dialer) beginRace(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.races[address] >= maxRaces {
		return false
	}
	if d.races == nil {
		d.races = map[string]int{}
	}
	d.races[address]++
	return true
}

// endRace ends the reservation made by beginRace.
func (d *Dialer) endRace(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.races[address]--; d.races[address] == 0 {
		delete(d.races, address)
	}
}

// finish returns the connection of a direct attempt or, if that failed, one through a peer.
func (d *Dialer) finish(ctx context.Context, address string, startedAt time.Time, r result) (net.Conn, error) {
	if r.err == nil || ctx.Err() != nil {
		return r.conn, r.err
	}
	checked := d.check(address)
	c, err := d.throughPeer(ctx, address, startedAt)
	if err == nil {
		return c, nil
	}
	e := &Error{Address: address, Direct: r.err, Tunnel: err}
	if errors.Is(r.err, syscall.ECONNREFUSED) {
		e.Exited = d.hasExited(address, checked, startedAt)
	}
	return nil, e
}

// hasExited reports whether the process of a server has ended that neither this host, which
// it refused, nor a peer reached: whether this host reaches another server. checked is
// closed when a check that may have begun before the attempt is done.
func (d *Dialer) hasExited(address string, checked <-chan struct{}, startedAt time.Time) bool {
	f := d.recentFailure(address)
	if f.exited || !f.conclusive {
		return f.exited
	}
	<-checked
	if !d.Reach.ReachedSince(startedAt) {
		<-d.check(address)
	}
	f.exited = d.Reach.ReachedSince(startedAt)
	d.recordFailure(address, f)
	return f.exited
}

// closeLate closes the connection of a direct attempt that is not needed.
func closeLate(direct <-chan result) {
	if r := <-direct; r.err == nil {
		r.conn.Close()
	}
}

// DialDirect connects to a server directly.
func (d *Dialer) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	return d.direct(ctx, network, address, time.Now())
}

// direct connects directly and records whether the server accepted. An attempt that was
// given up early shows nothing.
func (d *Dialer) direct(ctx context.Context, network, address string, startedAt time.Time) (net.Conn, error) {
	c, err := d.Direct(ctx, network, address)
	givenUp := ctx.Err() != nil && (errors.Is(context.Cause(ctx), context.Canceled) || time.Since(startedAt) < raceDelay)
	if err == nil || !givenUp {
		d.record(address, err == nil, d.Reach.Record, startedAt)
	}
	return c, err
}

func (d *Dialer) record(address string, reached bool, record recordFunc, startedAt time.Time) {
	if record(address, reached, startedAt) && d.OnChange != nil {
		d.OnChange()
	}
	if !reached {
		d.startDueChecks(time.Now())
	}
}
