// Package crash keeps requests that crash backend servers from being retried on
// more of them. It queries the poison tracker of the request's pool, which one of
// the live entry hosts runs (see package poison), and refuses blocked requests.
package crash

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/stall"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// Guard runs the poison trackers of this entry host and queries those of others.
// Set the exported fields before first use.
type Guard struct {
	View   *view.Publisher
	Mesh   *mesh.Mesh
	Engine *engine.Client
	Trace  *trace.Recorder
	Log    *slog.Logger
	// Clock distinguishes the silence of servers and entry hosts from stalls of this process; nil
	// assumes none.
	Clock *stall.Clock

	mu       sync.Mutex
	trackers map[string]*poison.Tracker
	// deadSince holds the times at which servers were found dead.
	deadSince map[string]time.Time
	// parts holds the detectors of the pools whose trackers are here, by pool.
	parts map[string]*partDetector
	// marked holds when the marks of blocked causes were broadcast, and answers counts the
	// requests answered here with each part.
	marked  map[string]time.Time
	answers poison.Answers
}

const (
	// maxTrackerHosts is the number of entry hosts queried for the tracker of a
	// pool before the local tracker is used.
	maxTrackerHosts = 3
	// queryTimeout bounds one query to an entry host.
	queryTimeout = 150 * time.Millisecond
	// broadcastTimeout bounds how long the final error is held back until all
	// other entry hosts know that the request is blocked. Otherwise a resend
	// through another entry host could arrive before the mark and crash a third
	// server.
	broadcastTimeout = 300 * time.Millisecond
	// suspectTTL is how long the mark of a suspected request lasts. It is short,
	// since a mark cannot be withdrawn; it only makes entry hosts query the
	// tracker, whose answer decides.
	suspectTTL = 3 * time.Second
	// deadTTL is how long a server that was found dead counts as dead. If it
	// restarts sooner and crashes again, the second crash is missed.
	deadTTL = 5 * time.Second
	// probeTimeout bounds the check whether a server is dead.
	probeTimeout = 100 * time.Millisecond
)

// HandlePoison answers a query from the trackers of this entry host. The mesh
// calls it for the queries of other entry hosts.
func (g *Guard) HandlePoison(ask *wire.PoisonAsk) *wire.PoisonReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.trackers == nil {
		g.trackers = map[string]*poison.Tracker{}
	}
	tracker := g.trackers[ask.Pool]
	if tracker == nil {
		tracker = &poison.Tracker{}
		g.trackers[ask.Pool] = tracker
	}
	now := time.Now()
	f := poison.Fingerprint(ask.Fingerprint)
	reply := &wire.PoisonReply{}
	switch step(ask.Step) {
	case stepCrashed:
		tracker.Merge(f, ask.Dead, now)
		reply.Outcome = uint32(tracker.RecordCrash(f, ask.Server, ask.Progressed, now))
	case stepAcquire:
		tracker.Merge(f, ask.Dead, now)
		reply.Outcome = uint32(tracker.Acquire(f, ask.Holder, ask.Servers, now))
	case stepClear:
		tracker.Clear(f)
	case stepRelease:
		tracker.Release(f, ask.Holder)
	}
	reply.Count = uint32(tracker.Crashes(f))
	g.handleParts(ask, reply, now)
	return reply
}

// step selects the operation of a tracker. The values are on the wire.
type step uint32

const (
	stepCrashed step = iota
	stepAcquire
	stepClear
	stepRelease
)

// query sends a query to the entry host that runs the tracker of the pool, or to
// the next candidate if it does not answer. If all of them fail, or the local
// entry host is next, the local tracker answers.
func (g *Guard) query(ctx context.Context, ask *wire.PoisonAsk) *wire.PoisonReply {
	ask.Secret = g.Mesh.Secret
	for _, p := range g.trackerHosts(ask.Pool) {
		if p.Address == "" {
			break
		}
		reply, err := g.queryPeer(ctx, p, ask)
		if err == nil {
			return reply
		}
		g.Log.Warn("guard: poison tracker not reached", "peer", p.Name, "err", err)
	}
	return g.HandlePoison(ask)
}

// queryPeer sends a query to one entry host.
func (g *Guard) queryPeer(ctx context.Context, p view.Peer, ask *wire.PoisonAsk) (*wire.PoisonReply, error) {
	ctx, cancel := g.Clock.WithIdleTimeout(ctx, queryTimeout, nil)
	defer cancel()
	client, err := g.Mesh.Client(ctx, host.Host{Name: p.Name, Address: p.Address})
	if err != nil {
		return nil, err
	}
	return client.Poison(ctx, ask)
}

// trackerHosts returns the entry hosts that may run the tracker of a pool, in
// order of preference. Rendezvous hashing gives all entry hosts that see the same
// members the same order. The result holds the local entry host without an
// address.
func (g *Guard) trackerHosts(pool string) []view.Peer {
	snap := g.View.Load()
	all := []view.Peer{{Name: snap.Self}}
	for _, p := range snap.Peers {
		if p.Alive && !p.Left {
			all = append(all, p)
		}
	}
	weight := func(p view.Peer) uint64 { return xxhash.Sum64String(pool + "\x00" + p.Name) }
	slices.SortFunc(all, func(a, b view.Peer) int { return cmp.Compare(weight(b), weight(a)) })
	return all[:min(len(all), maxTrackerHosts)]
}

// block broadcasts that a request is blocked and returns its final error.
func (g *Guard) block(requestID string, f poison.Fingerprint) *fault.Error {
	metrics.GetOrRegisterCounter("guard.convicted", nil).Inc(1)
	g.Trace.Record("guard", requestID, "request convicted: it crashed two servers")
	g.Log.Error("guard: request convicted", "request", requestID, "fingerprint", f)
	until := time.Now().Add(poison.BlockFor)
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	g.Mesh.Broadcast(ctx, peer.Mark{
		Kind: peer.PoisonRequest, Name: string(f), Until: until, Count: poison.MaxCrashes,
	})
	return poisonedError(until, fault.MayHaveRun)
}

// poisonedError returns the error of a request that is refused until the given
// time.
func poisonedError(until time.Time, verdict fault.Verdict) *fault.Error {
	return &fault.Error{
		Code: fault.Poisoned, Verdict: verdict,
		Message:    "this request has crashed backend servers; change it, or come back later",
		RetryAfter: max(time.Until(until), time.Second),
	}
}
