// Package order gives engines their orders, while this entry host holds the
// lease for them.
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
	rules "fuchsiashelf.dev/parts/order"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// LeaseKey is the key of the lease in the object API.
const LeaseKey = "lease/orders"

// Controller gives orders. Set the exported fields, then Run.
type Controller struct {
	View   *view.Publisher
	Store  store.API
	Engine *engine.Client
	Trace  *trace.Recorder
	Log    *slog.Logger
	// Term is how long a renewal of the lease holds.
	Term time.Duration
	// Done is closed when Run has ended; nil if nobody waits.
	Done chan struct{}

	machine lease.Candidate
	pool    *ants.Pool
	// noted are the engines that may be drained, as the next renewal of the
	// lease says; ordered are those that this holder told to drain.
	noted, ordered []string
	holds          bool
}

const (
	// contenders is how many entry hosts contend for the lease. The others
	// make no calls for it, so its cost does not grow with the fleet.
	contenders = 3
	// ticks is how many rounds fit into one term.
	ticks = 8
	// least is the part of the term that must be left for an order, and
	// margin the part between an order's deadline and the lease's end. The
	// margin covers the difference between the clocks of two hosts, since the
	// engine reads the deadline on its own.
	leastPart, marginPart = 4, 10
	// poolSize bounds the orders under way.
	poolSize = 16
)

// Run contends for the lease and gives orders until the context ends.
func (o *Controller) Run(ctx context.Context) error {
	if o.Done != nil {
		defer close(o.Done)
	}
	pool, err := ants.NewPool(poolSize)
	if err != nil {
		return err
	}
	defer pool.Release()
	o.pool = pool
	o.machine = lease.Candidate{Self: o.View.Load().Self, Term: o.Term}
	tick := time.NewTicker(o.Term / ticks)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if o.contends() {
				o.round(ctx)
			}
		}
	}
}

// contends reports whether this entry host is one of the few that try for the
// lease (rendezvous hashing over the living ones), or still holds it.
func (o *Controller) contends() bool {
	if o.holds {
		return true
	}
	snap := o.View.Load()
	names := []string{snap.Self}
	for _, p := range snap.Peers {
		if p.Alive && !p.Left {
			names = append(names, p.Name)
		}
	}
	weight := func(name string) uint64 { return xxhash.Sum64String(LeaseKey + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return slices.Index(names, snap.Self) < contenders
}

func (o *Controller) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, o.Term/2)
	defer cancel()
	o.contend(ctx)
	_, _, held := o.machine.Held(time.Now(), 0)
	if held != o.holds {
		o.holds = held
		o.note("", fmt.Sprintf("holds the lease of orders: %v", held))
		if held {
			o.noted, o.ordered = o.machine.Note(), nil
		}
	}
	if held {
		o.give(ctx)
	}
}

// contend reads the lease and writes it when it is time to.
func (o *Controller) contend(ctx context.Context) {
	object, err := o.Store.Get(ctx, LeaseKey)
	if err != nil {
		return
	}
	var value lease.Value
	if object.Version > 0 && json.Unmarshal(object.Value, &value) != nil {
		o.Log.Error("order: lease unreadable")
	}
	o.machine.Read(object.Version, value, time.Now())
	note := o.noted
	if !o.holds {
		note = value.Note
	}
	nonce := fmt.Sprintf("%s-%016x", o.machine.Self, rand.Uint64())
	next, over, due := o.machine.Write(nonce, note, time.Now())
	if !due {
		return
	}
	body, err := json.Marshal(next)
	if err != nil {
		return
	}
	version, err := o.Store.Put(ctx, LeaseKey, body, over)
	o.machine.Wrote(version, err, time.Now())
}

// give gives the orders that are due and waits for their answers.
func (o *Controller) give(ctx context.Context) {
	snap := o.View.Load()
	if snap.HostsRevision == 0 {
		return
	}
	o.noted = rules.FilterListed(o.noted, snap.Hosts)
	o.ordered = rules.FilterListed(o.ordered, snap.Hosts)
	due := o.recorded(rules.Plan(snap.Config, snap.Hosts, o.noted, o.ordered, time.Now()))
	taken := make(chan rules.Pending, len(due))
	for _, d := range due {
		err := o.pool.Submit(func() {
			if !o.order(ctx, d) {
				d = rules.Pending{}
			}
			taken <- d
		})
		if err != nil {
			taken <- rules.Pending{}
		}
	}
	for range due {
		switch d := <-taken; d.Kind {
		case rules.Drain:
			o.ordered = rules.Insert(o.ordered, d.Host.Name)
		case rules.Load:
			o.ordered = rules.Remove(o.ordered, d.Host.Name)
			o.noted = rules.Remove(o.noted, d.Host.Name)
		}
	}
}

// recorded returns the orders that may be given now. A drain is first noted
// in the lease, and given in the round after that.
func (o *Controller) recorded(due []rules.Pending) []rules.Pending {
	var ready []rules.Pending
	written := o.machine.Note()
	for _, d := range due {
		if d.Kind == rules.Drain && !slices.Contains(written, d.Host.Name) {
			o.noted = rules.Insert(o.noted, d.Host.Name)
			o.machine.Renew()
			continue
		}
		ready = append(ready, d)
	}
	return ready
}

// order gives one order. The lease is checked last, on the monotonic clock,
// since the process may have been paused for any time before; and the order
// carries a deadline within the lease, since it may be paused or held up
// after. A successor waits until the lease is over, so an engine that takes
// no order late takes none of this holder after one of the successor, also if
// it checks no numbers.
func (o *Controller) order(ctx context.Context, d rules.Pending) bool {
	number, until, held := o.machine.Held(time.Now(), o.Term/leastPart)
	if !held {
		metrics.GetOrRegisterCounter("order.lapsed", nil).Inc(1)
		return false
	}
	deadline := until.Add(-o.Term / marginPart)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	o.note("", fmt.Sprintf("order %s for %s", d.Kind, d.Host.Name))
	err := o.Engine.Order(ctx, d.Host.Address, &engine.Order{
		Order: d.Kind, Model: d.Host.Model, Holder: o.machine.Self,
		Number: number, DeadlineMs: time.Now().Add(time.Until(deadline)).UnixMilli(),
	})
	if err != nil {
		o.note("", fmt.Sprintf("order %s for %s failed: %s", d.Kind, d.Host.Name, fault.As(err).Error()))
		o.Log.Warn("order: engine took no order", "order", d.Kind, "server", d.Host.Name, "err", err)
		return false
	}
	metrics.GetOrRegisterCounter("order.taken", nil).Inc(1)
	return true
}

func (o *Controller) note(request, what string) {
	o.Trace.Record("order", request, what)
}
