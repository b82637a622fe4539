// Package order sends orders to the backend servers that run models, while this
// entry host holds the lease for them.
package order

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/lease"
	orders "fuchsiashelf.dev/parts/order"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// LeaseKey is the key of the lease in the object API.
const LeaseKey = "lease/orders"

// Controller sends orders to servers. Set the exported fields, then call Run.
type Controller struct {
	View   *view.Publisher
	Store  store.API
	Engine *engine.Client
	Trace  *trace.Recorder
	Log    *slog.Logger
	// Term is how long a renewal of the lease lasts.
	Term time.Duration
	// Done, if not nil, is closed when Run returns.
	Done chan struct{}

	candidate lease.Candidate
	pool      *ants.Pool
	// recordedDrains holds the servers that may be drained, which the next
	// renewal writes into the lease; orderedDrains holds those that this holder
	// has ordered to drain.
	recordedDrains, orderedDrains []string
	isHolder                      bool
}

const (
	// maxContenders is how many entry hosts contend for the lease. The others do
	// not read or write it, so its cost does not grow with the fleet.
	maxContenders = 3
	// roundsPerTerm is the number of rounds in one term.
	roundsPerTerm = 8
	// An order is sent only if at least Term/minTermDivisor is left of the lease,
	// and its deadline is Term/marginDivisor before the end of the lease. The
	// margin covers the clock difference between two hosts, since the server
	// checks the deadline against its own clock.
	minTermDivisor, marginDivisor = 4, 10
	// maxConcurrentOrders bounds the orders in progress.
	maxConcurrentOrders = 16
)

// Run contends for the lease and, while it holds it, sends orders until the
// context ends.
func (c *Controller) Run(ctx context.Context) error {
	if c.Done != nil {
		defer close(c.Done)
	}
	pool, err := ants.NewPool(maxConcurrentOrders)
	if err != nil {
		return err
	}
	defer pool.Release()
	c.pool = pool
	c.candidate = lease.Candidate{Self: c.View.Load().Self, Term: c.Term}
	tick := time.NewTicker(c.Term / roundsPerTerm)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if c.isContender() {
				c.runRound(ctx)
			}
		}
	}
}

// isContender reports whether this entry host holds the lease or is one of the
// maxContenders that contend for it, chosen by rendezvous hashing over the live entry
// hosts. Reaching no server directly is no reason against it: orders go through other
// entry hosts then.
func (c *Controller) isContender() bool {
	if c.isHolder {
		return true
	}
	snap := c.View.Load()
	names := []string{snap.Self}
	for _, p := range snap.Peers {
		if p.Alive && !p.Left {
			names = append(names, p.Name)
		}
	}
	weight := func(name string) uint64 { return xxhash.Sum64String(LeaseKey + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return slices.Index(names, snap.Self) < maxContenders
}

// runRound updates the lease and, if this entry host holds it, sends the orders
// that are due.
func (c *Controller) runRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.Term/2)
	defer cancel()
	c.updateLease(ctx)
	_, _, held := c.candidate.Held(time.Now(), 0)
	if held != c.isHolder {
		c.isHolder = held
		c.trace("", fmt.Sprintf("holds the lease of orders: %v", held))
		if held {
			c.recordedDrains, c.orderedDrains = c.candidate.Note(), nil
		}
	}
	if held {
		c.sendDueOrders(ctx)
	}
}

// updateLease reads the lease, and acquires or renews it when due.
func (c *Controller) updateLease(ctx context.Context) {
	object, err := c.Store.Get(ctx, LeaseKey)
	if err != nil {
		return
	}
	var value lease.Value
	if object.Version > 0 && json.Unmarshal(object.Value, &value) != nil {
		c.Log.Error("order: lease object cannot be decoded")
	}
	c.candidate.OnRead(object.Version, value, time.Now())
	note := c.recordedDrains
	if !c.isHolder {
		note = value.Note
	}
	nonce := fmt.Sprintf("%s-%016x", c.candidate.Self, rand.Uint64())
	next, readVersion, due := c.candidate.Write(nonce, note, time.Now())
	if !due {
		return
	}
	body, err := json.Marshal(next)
	if err != nil {
		return
	}
	version, err := c.Store.Put(ctx, LeaseKey, body, readVersion)
	c.candidate.OnWrite(version, err, time.Now())
}

// sendDueOrders sends the orders that are due and waits for their results.
func (c *Controller) sendDueOrders(ctx context.Context) {
	snap := c.View.Load()
	if snap.HostsRevision == 0 {
		return
	}
	c.recordedDrains = orders.FilterListed(c.recordedDrains, snap.Hosts)
	c.orderedDrains = orders.FilterListed(c.orderedDrains, snap.Hosts)
	due := c.readyOrders(orders.Plan(snap.Config, snap.Hosts, c.recordedDrains, c.orderedDrains, time.Now()))
	results := make(chan orders.Pending, len(due))
	for _, pending := range due {
		err := c.pool.Submit(func() {
			if !c.sendOrder(ctx, pending) {
				pending = orders.Pending{}
			}
			results <- pending
		})
		if err != nil {
			results <- orders.Pending{}
		}
	}
	for range due {
		switch pending := <-results; pending.Kind {
		case orders.Drain:
			c.orderedDrains = orders.Insert(c.orderedDrains, pending.Host.Name)
		case orders.Load:
			c.orderedDrains = orders.Remove(c.orderedDrains, pending.Host.Name)
			c.recordedDrains = orders.Remove(c.recordedDrains, pending.Host.Name)
		}
	}
}

// readyOrders returns the orders that may be sent now. A drain is first recorded
// in the lease and sent in a later round.
func (c *Controller) readyOrders(due []orders.Pending) []orders.Pending {
	var ready []orders.Pending
	written := c.candidate.Note()
	for _, pending := range due {
		if pending.Kind == orders.Drain && !slices.Contains(written, pending.Host.Name) {
			c.recordedDrains = orders.Insert(c.recordedDrains, pending.Host.Name)
			c.candidate.Renew()
			continue
		}
		ready = append(ready, pending)
	}
	return ready
}

// sendOrder sends one order and reports whether the server accepted it. The lease
// is checked last, on the monotonic clock, since the process may have been paused
// for any time before. The order carries a deadline within the lease, since it
// may be delayed after the check. A successor waits until the lease has expired,
// so a server that rejects late orders accepts none from this holder after one
// from the successor, even if it does not check fencing numbers.
func (c *Controller) sendOrder(ctx context.Context, pending orders.Pending) bool {
	number, until, held := c.candidate.Held(time.Now(), c.Term/minTermDivisor)
	if !held {
		metrics.GetOrRegisterCounter("order.lapsed", nil).Inc(1)
		return false
	}
	deadline := until.Add(-c.Term / marginDivisor)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c.trace("", fmt.Sprintf("order %s for %s", pending.Kind, pending.Host.Name))
	err := c.Engine.Order(ctx, pending.Host.Address, &engine.Order{
		Order: pending.Kind, Model: pending.Host.Model, Holder: c.candidate.Self,
		Number: number, DeadlineMs: time.Now().Add(time.Until(deadline)).UnixMilli(),
	})
	if err != nil {
		c.trace("", fmt.Sprintf("order %s for %s failed: %s", pending.Kind, pending.Host.Name, fault.As(err).Error()))
		c.Log.Warn("order: server did not accept the order", "order", pending.Kind, "server", pending.Host.Name, "err", err)
		return false
	}
	metrics.GetOrRegisterCounter("order.taken", nil).Inc(1)
	return true
}

// trace records an event.
func (c *Controller) trace(request, message string) {
	c.Trace.Record("order", request, message)
}
