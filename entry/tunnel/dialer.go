package tunnel

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
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
	// checkTimeout limits attempts to connect that only tell whether this host reaches
	// servers.
	checkTimeout = 40 * time.Millisecond
	// checkServers is how many other servers are tried when one was not reached.
	checkServers = 3
	// recheckInterval is the interval at which servers that were not reached are tried
	// directly again, and recheckServers how many of them at once.
	recheckInterval = 500 * time.Millisecond
	recheckServers  = 2
	// maxPeers is how many peers are tried for one connection, each peerDelay after the one
	// before, or when that has failed.
	maxPeers  = 3
	peerDelay = 20 * time.Millisecond
	// peerTimeout limits the time in which a peer opens a tunnel.
	peerTimeout = serverDialTimeout + 50*time.Millisecond
	// peerFailedFor is how long a peer that did not reach a server is tried last.
	peerFailedFor = time.Second
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
	// Clock tells the silence of servers from stalls of this process; nil knows none.
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
	d.record(address, false, startedAt)
	d.Reach.RecordRelayed(address)
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
	if d.exitKnown(address) {
		return true
	}
	<-checked
	if !d.Reach.ReachedSince(startedAt) {
		<-d.check(address)
	}
	exited := d.Reach.ReachedSince(startedAt)
	d.recordFailure(address, startedAt, exited)
	return exited
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
		d.record(address, err == nil, startedAt)
	}
	return c, err
}

func (d *Dialer) record(address string, reached bool, startedAt time.Time) {
	if d.Reach.Record(address, reached, startedAt) && d.OnChange != nil {
		d.OnChange()
	}
}

var (
	errNoPeer       = errors.New("tunnel: no peer")
	errFailedBefore = errors.New("tunnel: no peer reached the server a moment ago")
)

// opened is the outcome of an attempt to open a tunnel.
type opened struct {
	peer string
	conn *Conn
	err  error
}

// throughPeer connects through one of several peers, the first that reaches the server. Only
// one is tried if this host has reached another server since a time.
func (d *Dialer) throughPeer(ctx context.Context, address string, since time.Time) (net.Conn, error) {
	startedAt := time.Now()
	if d.failedSince(address, startedAt.Add(-failedFor)) {
		return nil, errFailedBefore
	}
	peers := d.choosePeers(address, startedAt)
	if len(peers) == 0 {
		d.recordFailure(address, startedAt, false)
		return nil, errNoPeer
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan opened, len(peers))
	next := time.NewTimer(0)
	defer next.Stop()
	var err error
	for started, ended := 0, 0; ended < len(peers); {
		select {
		case <-next.C:
			if started > 0 && d.Reach.ReachedSince(since) {
				// This host is not cut off, so one peer is enough.
				peers = peers[:started]
			}
			if started < len(peers) {
				peer := peers[started]
				started++
				// The wait for this peer begins only now.
				stall.Restart(ctx)
				go func() {
					c, err := d.open(ctx, peer, address)
					results <- opened{peer, c, err}
				}()
				next.Reset(peerDelay)
			}
		case r := <-results:
			ended++
			if r.err == nil {
				d.Reach.RecordRelayed(address)
				d.recordSlowPeers(peers[:started], r.peer)
				go closeOthers(results, started-ended)
				return r.conn, nil
			}
			err = r.err
			next.Reset(0)
		case <-ctx.Done():
			go closeOthers(results, started-ended)
			return nil, errors.Join(context.Cause(ctx), err)
		}
	}
	d.recordFailure(address, startedAt, false)
	return nil, err
}

// closeOthers closes the tunnels that are not needed.
func closeOthers(results <-chan opened, n int) {
	for range n {
		if r := <-results; r.err == nil {
			r.conn.Close()
		}
	}
}

// choosePeers returns the peers to try for a server, in order. Those that did not reach a
// server a moment ago, for example because they are cut off as well, come last.
func (d *Dialer) choosePeers(address string, now time.Time) []string {
	peers := d.Peers(address)
	d.mu.Lock()
	defer d.mu.Unlock()
	failed := func(peer string) int {
		if at, known := d.peerFailed[peer]; known && now.Sub(at) < peerFailedFor {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(peers, func(a, b string) int { return failed(a) - failed(b) })
	return peers[:min(len(peers), maxPeers)]
}

// recordSlowPeers records the peers that were tried before the one that reached a server.
func (d *Dialer) recordSlowPeers(tried []string, winner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peerFailed == nil {
		d.peerFailed = map[string]time.Time{}
	}
	for _, peer := range tried {
		if peer == winner {
			return
		}
		d.peerFailed[peer] = time.Now()
	}
}

// failedSince reports whether neither this host nor a peer reached a server since a time.
func (d *Dialer) failedSince(address string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, failed := d.failed[address]
	return failed && f.at.After(since)
}

// exitKnown reports whether it was found a moment ago that a server's process has ended.
func (d *Dialer) exitKnown(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.failed[address]
	return f.exited && time.Since(f.at) < failedFor
}

func (d *Dialer) recordFailure(address string, at time.Time, exited bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed == nil {
		d.failed = map[string]failedServer{}
	}
	if old := d.failed[address]; !at.Before(old.at) {
		d.failed[address] = failedServer{at: at, exited: exited}
	}
}

func (d *Dialer) open(ctx context.Context, peer, address string) (*Conn, error) {
	ctx, cancel := d.Clock.WithTimeout(ctx, peerTimeout, nil)
	defer cancel()
	carrier, err := d.DialPeer(ctx, peer)
	if err != nil {
		return nil, fmt.Errorf("tunnel through %s: %w", peer, err)
	}
	return Open(ctx, carrier, peer, address, d.Secret)
}

// check starts to connect to some other servers, unless that is being done, and returns a
// channel that is closed when it is done. The result distinguishes a server that is down
// from a host that is cut off.
func (d *Dialer) check(failed string) <-chan struct{} {
	startedAt := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.checked != nil {
		return d.checked
	}
	others := slices.DeleteFunc(d.Servers(), func(address string) bool { return address == failed })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	done := make(chan struct{})
	d.checked = done
	go func() {
		var checks sync.WaitGroup
		for _, address := range others[:min(len(others), checkServers)] {
			checks.Go(func() { d.tryDirect(address, startedAt) })
		}
		checks.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.checked = nil
		close(done)
	}()
	return done
}

// tryDirect tries a server directly, without sending anything.
func (d *Dialer) tryDirect(address string, startedAt time.Time) {
	ctx, cancel := d.Clock.WithTimeout(context.Background(), checkTimeout, nil)
	defer cancel()
	c, err := d.Direct(ctx, "tcp", address)
	d.record(address, err == nil, startedAt)
	if err == nil {
		c.Close()
	}
}

// Run tries servers that were not reached again until the context ends.
func (d *Dialer) Run(ctx context.Context) {
	tick := time.NewTicker(recheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			d.forgetFailures(now)
			list := d.Reach.Unreached()
			rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			for _, address := range list[:min(len(list), recheckServers)] {
				go d.tryDirect(address, now)
			}
		}
	}
}

func (d *Dialer) forgetFailures(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.failed, func(_ string, f failedServer) bool { return now.Sub(f.at) >= failedFor })
	maps.DeleteFunc(d.peerFailed, func(_ string, at time.Time) bool { return now.Sub(at) >= peerFailedFor })
}
