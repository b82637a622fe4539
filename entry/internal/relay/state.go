package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/chain"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/view"
)

// state is what the relay keeps of one pool.
type state struct {
	budget   *retry.Budget
	usual    retry.Baseline
	inFlight atomic.Int64

	mu   sync.Mutex
	made atomic.Pointer[made]
}

// made is a table and what it was made of.
type made struct {
	epoch uint64
	at    time.Time
	table *pick.Table
	err   *fault.Error
}

// remake is how often a table is made anew to follow the measured speeds.
const remake = 250 * time.Millisecond

func (r *Forwarder) stateOf(pool string) *state {
	if known, ok := r.pools.Load(pool); ok {
		return known.(*state)
	}
	fresh, _ := r.pools.LoadOrStore(pool, &state{budget: retry.NewBudget()})
	return fresh.(*state)
}

// table returns the table of a pool for a snapshot. A request waits only if
// the snapshot's servers differ from those of the latest table; to follow the
// speeds, one request makes a table while the others use the last one.
func (s *state) table(snap *view.Snapshot, asked *pool.Pool, now time.Time) (*pick.Table, *fault.Error) {
	p, current := currentPool(snap, asked)
	if !current {
		m := s.make(nil, snap, asked, now)
		return m.table, m.err
	}
	last := s.made.Load()
	if last != nil && last.epoch == snap.Epoch {
		if now.Sub(last.at) < remake || !s.mu.TryLock() {
			return last.table, last.err
		}
	} else {
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if last = s.made.Load(); last != nil && last.epoch == snap.Epoch && now.Sub(last.at) < remake {
		return last.table, last.err
	}
	next := s.make(last, snap, p, now)
	s.made.Store(next)
	return next.table, next.err
}

// currentPool returns the pool of the snapshot that a request was routed to.
// A request may hold the pool of an older snapshot. Were a table made of that
// and kept, later requests would go to servers that the operators have since
// taken out of the pool. It reports false for a pool that is gone or serves
// another model now; such a request ends on what it was routed to.
func currentPool(snap *view.Snapshot, asked *pool.Pool) (*pool.Pool, bool) {
	if snap.Config == nil {
		return asked, false
	}
	now, found := snap.Config.Pools[asked.Name]
	return &now, found && now.Layers == asked.Layers && now.Model == asked.Model
}

func (s *state) make(last *made, snap *view.Snapshot, p *pool.Pool, now time.Time) *made {
	next := &made{epoch: snap.Epoch, at: now}
	g, err := graph(last, snap, p)
	if err != nil {
		next.err = fault.As(err)
		return next
	}
	next.table = pick.NewTable(g, snap.Meters, now)
	return next
}

// graph returns the graph of the servers that take new work.
func graph(last *made, snap *view.Snapshot, p *pool.Pool) (*chain.Graph, error) {
	if last != nil && last.epoch == snap.Epoch && last.table != nil {
		return last.table.Graph, nil
	}
	var usable []host.Host
	for _, name := range p.Servers {
		h, listed := snap.Hosts[name]
		_, out := snap.Cordoned[name]
		if listed && !out && (h.Model == "" || h.Model == p.Model) {
			usable = append(usable, h)
		}
	}
	return chain.New(p.Layers, usable)
}
