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

// poolState is the state that a Forwarder keeps for one pool.
type poolState struct {
	budget *retry.Budget
	// baseline estimates the typical gaps and first-token times of the pool.
	baseline retry.Baseline
	// inFlight counts the attempts in progress.
	inFlight atomic.Int64

	// mu is held while a table is built, and cached is the table built last.
	mu     sync.Mutex
	cached atomic.Pointer[cachedTable]
}

// cachedTable is a table, or the error of building it, with the epoch of the
// snapshot it was built from.
type cachedTable struct {
	epoch   uint64
	builtAt time.Time
	table   *pick.Table
	err     *fault.Error
}

// tableMaxAge is the age at which a table is rebuilt to follow the measured
// speeds.
const tableMaxAge = 250 * time.Millisecond

// stateOf returns the state of a pool, creating it on first use.
func (f *Forwarder) stateOf(pool string) *poolState {
	if ps, ok := f.pools.Load(pool); ok {
		return ps.(*poolState)
	}
	ps, _ := f.pools.LoadOrStore(pool, &poolState{budget: retry.NewBudget()})
	return ps.(*poolState)
}

// table returns the table of a pool for a snapshot. Requests wait for a new table
// only if the cached one has another epoch, since its servers may then be
// outdated. When a table has only reached tableMaxAge, one request rebuilds it
// while the others use the cached one.
func (ps *poolState) table(snap *view.Snapshot, routed *pool.Pool, now time.Time) (*pick.Table, *fault.Error) {
	p, current := currentPool(snap, routed)
	if !current {
		uncached := ps.buildTable(nil, snap, routed, now)
		return uncached.table, uncached.err
	}
	last := ps.cached.Load()
	if last != nil && last.epoch == snap.Epoch {
		if now.Sub(last.builtAt) < tableMaxAge || !ps.mu.TryLock() {
			return last.table, last.err
		}
	} else {
		ps.mu.Lock()
	}
	defer ps.mu.Unlock()
	if last = ps.cached.Load(); last != nil && last.epoch == snap.Epoch && now.Sub(last.builtAt) < tableMaxAge {
		return last.table, last.err
	}
	next := ps.buildTable(last, snap, p, now)
	ps.cached.Store(next)
	return next.table, next.err
}

// currentPool returns the snapshot's version of the pool that a request was
// routed to. The request may hold the pool of an older snapshot; caching a table
// built from that would send later requests to servers that operators have since
// removed from the pool. It reports false for a pool that is gone or now serves
// another model; such a request finishes on the pool it was routed to.
func currentPool(snap *view.Snapshot, routed *pool.Pool) (*pool.Pool, bool) {
	if snap.Config == nil {
		return routed, false
	}
	current, found := snap.Config.Pools[routed.Name]
	return &current, found && current.Layers == routed.Layers && current.Model == routed.Model
}

// buildTable builds a table from a snapshot.
func (ps *poolState) buildTable(last *cachedTable, snap *view.Snapshot, p *pool.Pool, now time.Time) *cachedTable {
	next := &cachedTable{epoch: snap.Epoch, builtAt: now}
	g, err := graphOf(last, snap, p)
	if err != nil {
		next.err = fault.As(err)
		return next
	}
	next.table = pick.NewTable(g, snap.Meters, now)
	return next
}

// graphOf returns the graph of the servers of a pool that take new work. It
// reuses that of the last table if the epoch is the same.
func graphOf(last *cachedTable, snap *view.Snapshot, p *pool.Pool) (*chain.Graph, error) {
	if last != nil && last.epoch == snap.Epoch && last.table != nil {
		return last.table.Graph, nil
	}
	var usable []host.Host
	for _, name := range p.Servers {
		h, listed := snap.Hosts[name]
		_, cordoned := snap.Cordoned[name]
		if listed && !cordoned && (h.Model == "" || h.Model == p.Model) {
			usable = append(usable, h)
		}
	}
	return chain.New(p.Layers, usable)
}
