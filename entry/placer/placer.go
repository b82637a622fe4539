// Package placer gives servers the layers that package place decides on.
//
// One entry host at a time does so: of those that are alive and reached by the
// object API, the one whose name comes first. There is no lease, since nothing
// rests on there being only one. Each order carries the server's count of
// orders that its giver has just read, and the server begins none with another
// count. So an order that is carried out seconds late, or comes from an entry
// host that froze or was cut off, does nothing once another has been taken;
// and two that decide at once from the same entries come to the same orders.
package placer

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/place"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// Timeouts and intervals.
const (
	// lookEvery is the interval of the decisions, and lookAfter the delay after a
	// change of the servers, so that several changes are decided on together.
	lookEvery = 200 * time.Millisecond
	lookAfter = 30 * time.Millisecond
	// quietFor is how long the list of servers must be unchanged before the first
	// placement, so that the first few servers do not get all layers.
	quietFor = 700 * time.Millisecond
	// calmFor is how long the servers of a failure domain must be unchanged before
	// ranges are levelled there: longer than a load that closes a gap, and than a
	// heartbeat.
	calmFor = 1500 * time.Millisecond
	// newFor is how long a server counts as new. Where servers are replaced one
	// by one, the old one leaves a second after the new one came.
	newFor = 1500 * time.Millisecond
	// returnTime is how long a failure domain is left alone after a server with
	// layers returned. After a partition entries return one by one, and the missing
	// ones look like gaps.
	returnTime = 1500 * time.Millisecond
	retryDelay = 600 * time.Millisecond
	// confirmEvery and maxConfirms bound the polling of a server that loads
	// layers.
	confirmEvery = 150 * time.Millisecond
	maxConfirms  = 20
	// shownIn is how long a report overrides the server's entry: two heartbeats.
	shownIn = 2500 * time.Millisecond
	// heartbeats is how long a server's entry may lag behind an order, beyond the time
	// of its load.
	heartbeats = 4 * time.Second
)

// Placer decides and orders. Set the exported fields before Run.
type Placer struct {
	State  *state.Local
	Engine call.EngineClient
	Ledger *router.LoadTracker
	// Broadcast sends a new order to other entry hosts.
	Broadcast func()
	// IsLeader reports whether this entry host is the one to place.
	IsLeader func() bool
	Log      *slog.Logger
	// Interval is the interval of decisions while nothing changes; zero means lookEvery.
	Interval time.Duration

	mu sync.Mutex
	// pending holds the ranges that servers were ordered to hold, or reported, and
	// that their entries do not show yet.
	pending map[string]pending
	// seen holds the healthy servers, and since when their list is unchanged.
	seen  map[string]domain.Name
	since time.Time
	// entered is when a server was first seen.
	entered map[string]time.Time
	// changed is when the list of a failure domain last changed.
	changed map[domain.Name]time.Time
	leads   bool
	// returned is when a server that holds layers last entered or came back.
	returned map[domain.Name]time.Time
}

type pending struct {
	first, end int
	until      time.Time
	// settled says that the server has confirmed it.
	settled bool
	// born is the start of the server's run that was ordered.
	born time.Time
}

// Run places until the context ends.
func (p *Placer) Run(ctx context.Context) {
	tick := time.NewTicker(cmp.Or(p.Interval, lookEvery))
	defer tick.Stop()
	for {
		changed := p.State.Changed()
		p.look(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-changed:
			time.Sleep(lookAfter)
		}
	}
}

func (p *Placer) look(ctx context.Context, now time.Time) {
	table := p.State.Table()
	if table == nil {
		return
	}
	leads := p.IsLeader()
	if leads != p.leads {
		p.Log.Info("placer: lead", "leads", leads)
		p.leads = leads
	}
	if !leads || p.State.Probing(now) {
		return
	}
	view := p.State.View()
	if !p.quiet(view, now) {
		return
	}
	for _, service := range table.Services {
		if service.Engine != nil {
			p.place(ctx, service.Engine, view.Service(service.Name), now)
		}
	}
}

// quiet reports whether the list of servers is complete enough to place from.
// Once servers hold layers, each change is acted on at once.
func (p *Placer) quiet(view *fleet.View, now time.Time) bool {
	holding := false
	seen := map[string]domain.Name{}
	if p.returned == nil {
		p.returned = map[domain.Name]time.Time{}
		p.changed = map[domain.Name]time.Time{}
		p.entered = map[string]time.Time{}
	}
	for _, s := range view.Servers {
		if !s.Leaving && !s.Suspected {
			seen[s.ID] = s.Domain
			if _, known := p.seen[s.ID]; p.seen != nil && !known && s.LayerCount() > 0 {
				p.returned[s.Domain] = now
			}
		}
		holding = holding || s.LayerCount() > 0
	}
	if !maps.Equal(seen, p.seen) {
		p.noteChanges(seen, now)
		p.seen, p.since = seen, now
	}
	return holding || now.Sub(p.since) >= quietFor
}

// noteChanges notes of which failure domains servers came or went.
func (p *Placer) noteChanges(seen map[string]domain.Name, now time.Time) {
	for id, in := range seen {
		if _, known := p.seen[id]; !known {
			p.changed[in] = now
			p.entered[id] = now
		}
	}
	for id, in := range p.seen {
		if _, stays := seen[id]; !stays {
			p.changed[in] = now
			delete(p.entered, id)
		}
	}
}

// place decides for one service and sends the orders.
func (p *Placer) place(ctx context.Context, e *route.Engine, servers []*fleet.Server, now time.Time) {
	believed := make([]*fleet.Server, len(servers))
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.pending, func(_ string, t pending) bool { return now.After(t.until) })
	moving := map[domain.Name]bool{}
	for i, s := range servers {
		believed[i] = p.believed(s)
		if _, moves := p.pending[s.ID]; moves {
			moving[s.Domain] = true
		}
	}
	times := place.Conditions{
		Stable:      func(in domain.Name) bool { return !moving[in] && now.Sub(p.changed[in]) >= calmFor },
		Idle:        p.idle,
		JustStarted: func(id string) bool { return now.Sub(p.entered[id]) < newFor },
		Reserved:    func(id string) float64 { return p.Ledger.Used(id).TokenLayers },
	}
	for _, o := range place.Plan(e, believed, times) {
		if now.Sub(p.returned[o.Server.Domain]) < returnTime {
			continue
		}
		p.tell(o.Server.ID, pending{first: o.First, end: o.End, until: now.Add(retryDelay), born: o.Server.StartedAt})
		go p.order(ctx, e, o)
	}
}

// idle reports whether few requests pass through a server.
func (p *Placer) idle(id string) bool {
	return p.Ledger.Used(id).Requests <= idleRequests
}

// idleRequests is the number of requests up to which a server counts as idle. They
// are rerouted within a second.
const idleRequests = 4

func (p *Placer) tell(id string, t pending) {
	if p.pending == nil {
		p.pending = map[string]pending{}
	}
	p.pending[id] = t
}

// believed joins a server's entry with a pending range. The mutex is held.
func (p *Placer) believed(s *fleet.Server) *fleet.Server {
	t, known := p.pending[s.ID]
	if !known {
		return s
	}
	if s.StartedAt.After(t.born) || t.settled && s.First == t.first && s.End == t.end {
		delete(p.pending, s.ID)
		return s
	}
	changed := *s
	changed.First, changed.End = t.first, t.end
	return &changed
}
