// Package crash keeps requests that crash backend servers from going on to
// the next one. It asks the book of the request's pool, which one of the
// living entry hosts keeps (see package poison), and refuses what is
// convicted.
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
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

// Guard asks and keeps the books. Set the exported fields before first use.
type Guard struct {
	View   *view.Publisher
	Mesh   *mesh.Mesh
	Engine *engine.Client
	Trace  *trace.Recorder
	Log    *slog.Logger

	mu    sync.Mutex
	books map[string]*poison.Tracker
	// gone holds servers that were found dead, and when.
	gone map[string]time.Time
}

const (
	// keepers is how many entry hosts are tried for a book before the own
	// one answers.
	keepers = 3
	// askWait bounds one question to an entry host.
	askWait = 150 * time.Millisecond
	// tellWait bounds how long a final answer waits until all other entry
	// hosts know of the conviction. Without it a resend through another
	// entry host could be faster than the mark, and take down a third
	// server.
	tellWait = 300 * time.Millisecond
	// suspectMark is how long one death is told to the others. It is short,
	// since a mark cannot be taken back; asking the book is always right.
	suspectMark = 3 * time.Second
	// goneFor is how long a server that was found dead is taken for dead. One
	// that is back sooner and dies again has its second death missed.
	goneFor = 5 * time.Second
	// probeWait bounds the question whether a server is dead.
	probeWait = 100 * time.Millisecond
)

// HandlePoison answers from the own books; the mesh hands it the questions of the
// other entry hosts.
func (g *Guard) HandlePoison(ask *wire.PoisonAsk) *wire.PoisonReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.books == nil {
		g.books = map[string]*poison.Tracker{}
	}
	book := g.books[ask.Pool]
	if book == nil {
		book = &poison.Tracker{}
		g.books[ask.Pool] = book
	}
	now := time.Now()
	f := poison.Fingerprint(ask.Fingerprint)
	reply := &wire.PoisonReply{}
	switch step(ask.Step) {
	case died:
		book.Merge(f, ask.Dead, now)
		reply.Outcome = uint32(book.RecordCrash(f, ask.Server, ask.Progressed, now))
	case try:
		book.Merge(f, ask.Dead, now)
		reply.Outcome = uint32(book.Acquire(f, ask.Holder, ask.Servers, now))
	case passed:
		book.Clear(f)
	case gave:
		book.Release(f, ask.Holder)
	}
	reply.Count = uint32(book.Crashes(f))
	return reply
}

// step is what is asked of a book.
type step uint32

const (
	died step = iota
	try
	passed
	gave
)

// ask puts a question to the entry host that keeps the book of the pool, or
// to the next one when it does not answer.
func (g *Guard) ask(ctx context.Context, ask *wire.PoisonAsk) *wire.PoisonReply {
	ask.Secret = g.Mesh.Secret
	for _, p := range g.order(ask.Pool) {
		if p.Address == "" {
			break
		}
		reply, err := g.askPeer(ctx, p, ask)
		if err == nil {
			return reply
		}
		g.Log.Warn("guard: book not reached", "peer", p.Name, "err", err)
	}
	return g.HandlePoison(ask)
}

func (g *Guard) askPeer(ctx context.Context, p view.Peer, ask *wire.PoisonAsk) (*wire.PoisonReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	client, err := g.Mesh.Client(ctx, host.Host{Name: p.Name, Address: p.Address})
	if err != nil {
		return nil, err
	}
	return client.Poison(ctx, ask)
}

// order returns the entry hosts that may keep the book of a pool, the first
// one first. All entry hosts that see the same members find the same order
// (rendezvous hashing). This one has no address in it.
func (g *Guard) order(pool string) []view.Peer {
	snap := g.View.Load()
	all := []view.Peer{{Name: snap.Self}}
	for _, p := range snap.Peers {
		if p.Alive && !p.Left {
			all = append(all, p)
		}
	}
	weight := func(p view.Peer) uint64 { return xxhash.Sum64String(pool + "\x00" + p.Name) }
	slices.SortFunc(all, func(a, b view.Peer) int { return cmp.Compare(weight(b), weight(a)) })
	return all[:min(len(all), keepers)]
}

// convict tells everybody and returns the final answer.
func (g *Guard) convict(request string, f poison.Fingerprint) *fault.Error {
	metrics.GetOrRegisterCounter("guard.convicted", nil).Inc(1)
	g.Trace.Record("guard", request, "request convicted: it crashed two servers")
	g.Log.Error("guard: request convicted", "request", request, "fingerprint", f)
	until := time.Now().Add(poison.BlockFor)
	ctx, cancel := context.WithTimeout(context.Background(), tellWait)
	defer cancel()
	g.Mesh.Broadcast(ctx, peer.Mark{
		Kind: peer.PoisonRequest, Name: string(f), Until: until, Count: poison.MaxCrashes,
	})
	return refusal(until, fault.MayHaveRun)
}

func refusal(until time.Time, verdict fault.Verdict) *fault.Error {
	return &fault.Error{
		Code: fault.Poisoned, Verdict: verdict,
		Message:    "this request has crashed backend servers; change it, or come back later",
		RetryAfter: max(time.Until(until), time.Second),
	}
}
