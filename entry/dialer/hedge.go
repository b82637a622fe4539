package dialer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"fuchsiashelf.dev/entry/tunnel"
	"fuchsiashelf.dev/parts/stall"
)

const (
	// maxPeers is how many peers are tried for one connection, each peerDelay after the one
	// before, or when that has failed.
	maxPeers  = 3
	peerDelay = 20 * time.Millisecond
	// peerTimeout limits the time in which a peer opens a tunnel.
	peerTimeout = tunnel.DialTimeout + 50*time.Millisecond
	// peerFailedFor is how long a peer that did not reach a server is tried last.
	peerFailedFor = time.Second
)

var (
	errNoPeer       = errors.New("dialer: no peer")
	errFailedBefore = errors.New("dialer: no peer reached the server a moment ago")
)

// throughPeer connects through one of several peers, the first that reaches the server. Only
// one is tried if this host has reached another server since a time.
func (d *Dialer) throughPeer(ctx context.Context, address string, since time.Time) (net.Conn, error) {
	startedAt := time.Now()
	if d.failedSince(address, startedAt.Add(-failedFor)) {
		return nil, errFailedBefore
	}
	h := &hedge{Dialer: d, address: address, since: since, peers: d.choosePeers(address, startedAt)}
	c, err := h.open(ctx)
	if err == nil {
		d.Reach.RecordRelayed(address, time.Now())
		return c, nil
	}
	if ctx.Err() == nil {
		d.recordFailure(address, failedServer{at: startedAt, conclusive: h.tried || len(h.peers) == 0})
	}
	return nil, err
}

// hedge opens tunnels to a server through several peers, one after the other without waiting
// for the one before, and uses the first.
type hedge struct {
	*Dialer
	address string
	since   time.Time
	peers   []string
	// started and ended count the peers that were asked and those that have answered.
	started, ended int
	// tried says that a peer has tried to connect to the server.
	tried   bool
	results chan opened
}

// opened is the outcome of an attempt to open a tunnel.
type opened struct {
	peer string
	conn *tunnel.Conn
	err  error
}

// open returns the first tunnel that is open.
func (h *hedge) open(ctx context.Context) (*tunnel.Conn, error) {
	h.results = make(chan opened, len(h.peers))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := time.NewTimer(0)
	defer next.Stop()
	err := errNoPeer
	for h.ended < len(h.peers) {
		select {
		case <-next.C:
			h.startNext(ctx)
			next.Reset(peerDelay)
		case r := <-h.results:
			h.ended++
			if r.err == nil {
				h.recordSlowPeers(h.peers[:h.started], r.peer)
				go h.closeOthers()
				return r.conn, nil
			}
			err = r.err
			var failed *tunnel.PeerError
			h.tried = h.tried || errors.As(r.err, &failed) && !failed.Rejected
			next.Reset(0)
		case <-ctx.Done():
			go h.closeOthers()
			return nil, errors.Join(context.Cause(ctx), err)
		}
	}
	return nil, err
}

// startNext asks the next peer, if there is one.
func (h *hedge) startNext(ctx context.Context) {
	if h.started > 0 && h.Reach.ReachedSince(h.since) {
		// This host is not cut off, so one peer that tries is enough.
		if h.tried {
			h.peers = h.peers[:h.started]
		} else if h.started > h.ended {
			return
		}
	}
	if h.started == len(h.peers) {
		return
	}
	peer := h.peers[h.started]
	h.started++
	// The wait for this peer begins only now.
	stall.Restart(ctx)
	go func() {
		c, err := h.openThrough(ctx, peer, h.address)
		h.results <- opened{peer, c, err}
	}()
}

// closeOthers closes the tunnels that are not needed.
func (h *hedge) closeOthers() {
	for range h.started - h.ended {
		if r := <-h.results; r.err == nil {
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

// openThrough opens a tunnel through a peer.
func (d *Dialer) openThrough(ctx context.Context, peer, address string) (*tunnel.Conn, error) {
	ctx, cancel := d.Clock.WithTimeout(ctx, peerTimeout, nil)
	defer cancel()
	carrier, err := d.DialPeer(ctx, peer)
	if err != nil {
		return nil, fmt.Errorf("tunnel through %s: %w", peer, err)
	}
	return tunnel.Open(ctx, carrier, peer, address, d.Secret)
}

// failedSince reports whether neither this host nor a peer reached a server since a time.
func (d *Dialer) failedSince(address string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, failed := d.failed[address]
	return failed && f.at.After(since)
}

// recentFailure returns what is known of a server that was not reached a moment ago.
func (d *Dialer) recentFailure(address string) failedServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.failed[address]
	if time.Since(f.at) >= failedFor {
		return failedServer{}
	}
	return f
}

func (d *Dialer) recordFailure(address string, f failedServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed == nil {
		d.failed = map[string]failedServer{}
	}
	if old := d.failed[address]; !f.at.Before(old.at) {
		d.failed[address] = f
	}
}
