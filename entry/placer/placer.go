// Package placer orders servers to load the layers that package place assigns to
// them.
//
// One entry host at a time does so, the leader: of those that are alive and connected
// to the object API, the one whose name sorts first. There is no lease, because
// correctness does not depend on a single leader. Each order carries the server's
// order count as last read, and the server rejects an order with any other count. So
// an order that arrives seconds late, or comes from an entry host that was frozen or
// partitioned, has no effect once another order has started; and two entry hosts that
// decide at the same time from the same entries issue the same orders.
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
	// decideInterval is the interval between decisions, and decideDelay the delay of a
	// decision after a change of the servers, so that it covers several changes.
	decideInterval = 200 * time.Millisecond
	decideDelay    = 30 * time.Millisecond
	// initialStableTime is how long the list of servers must be unchanged before the
	// first placement, so that the first few servers do not get all layers.
	initialStableTime = 700 * time.Millisecond
	// domainStableTime is how long the servers of a failure domain must be unchanged
	// before its ranges are balanced: longer than a heartbeat, and longer than a load
	// of layers that no server holds.
	domainStableTime = 1500 * time.Millisecond
	// newServerTime is how long a server counts as new. In a rolling replacement the
	// old server leaves a second after the new one started.
	newServerTime = 1500 * time.Millisecond
	// returnHoldOff is how long a failure domain gets no assignments after a server
	// with layers returned. After a partition the entries return one by one, and the
	// layers of those that are not back yet seem to be missing.
	returnHoldOff = 1500 * time.Millisecond
	// assignRetryDelay is how long an assignment counts as pending before its order
	// has started.
	assignRetryDelay = 600 * time.Millisecond
	// confirmInterval and maxConfirms bound the polling of a server that loads
	// layers.
	confirmInterval = 150 * time.Millisecond
	maxConfirms     = 20
	// reportOverrideTime is how long a report overrides the server's entry: two
	// heartbeats.
	reportOverrideTime = 2500 * time.Millisecond
	// entryLag is how long a server's entry may lag behind an assignment, beyond the
	// duration of its load.
	entryLag = 4 * time.Second
)

// Placer decides on assignments and sends them as orders. Set the exported fields
// before Run.
type Placer struct {
	State  *state.Local
	Engine call.EngineClient
	Load   *router.LoadTracker
	// Broadcast sends a new assignment to other entry hosts.
	Broadcast func()
	// IsLeader reports whether this entry host is the leader.
	IsLeader func() bool
	Log      *slog.Logger
	// Interval is the interval between decisions while nothing changes; zero means
	// decideInterval.
	Interval time.Duration

	mu sync.Mutex
	// pending holds the ranges that servers were assigned, or have reported, and
	// that their entries do not show yet.
	pending map[string]pendingRange
	// healthy holds the servers that neither leave nor count as lost, and unchangedSince
	// is when that list last changed.
	healthy        map[string]domain.Name
	unchangedSince time.Time
	// firstSeen is when a healthy server was first seen, by ID.
	firstSeen map[string]time.Time
	// lastChange is when the list of servers of a failure domain last changed.
	lastChange map[domain.Name]time.Time
	wasLeader  bool
	// lastReturn is when a server that holds layers last joined or returned, by failure
	// domain.
	lastReturn map[domain.Name]time.Time
}

// pendingRange is a range of layers that is used in place of that of a server's entry.
type pendingRange struct {
	first, end int
	until      time.Time
	// confirmed is set if the server has started the order or reported the range.
	confirmed bool
	// startedAt is the start time of the incarnation of the server that the range
	// applies to.
	startedAt time.Time
}

// Run makes placement decisions until the context ends.
func (p *Placer) Run(ctx context.Context) {
	ticker := time.NewTicker(cmp.Or(p.Interval, decideInterval))
	defer ticker.Stop()
	for {
		changed := p.State.Changed()
		p.decide(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
			time.Sleep(decideDelay)
		}
	}
}

// decide plans and sends assignments, if this entry host is the leader and its list
// of servers is complete enough.
func (p *Placer) decide(ctx context.Context, now time.Time) {
	table := p.State.Table()
	if table == nil {
		return
	}
	isLeader := p.IsLeader()
	if isLeader != p.wasLeader {
		p.Log.Info("placer: leadership changed", "leads", isLeader)
		p.wasLeader = isLeader
	}
	if !isLeader || p.State.Probing(now) {
		return
	}
	view := p.State.View()
	if !p.stable(view, now) {
		return
	}
	for _, service := range table.Services {
		if service.Engine != nil {
			p.placeService(ctx, service.Engine, view.Service(service.Name), now)
		}
	}
}

// stable reports whether the list of servers is complete enough to place layers, and
// records how it changed. Once servers hold layers, it is always complete enough, so
// that each change leads to a decision at once.
func (p *Placer) stable(view *fleet.View, now time.Time) bool {
	anyLayers := false
	healthy := map[string]domain.Name{}
	if p.lastReturn == nil {
		p.lastReturn = map[domain.Name]time.Time{}
		p.lastChange = map[domain.Name]time.Time{}
		p.firstSeen = map[string]time.Time{}
	}
	for _, s := range view.Servers {
		if !s.Leaving && !s.Lost() {
			healthy[s.ID] = s.Domain
			if _, known := p.healthy[s.ID]; p.healthy != nil && !known && s.LayerCount() > 0 {
				p.lastReturn[s.Domain] = now
			}
		}
		anyLayers = anyLayers || s.LayerCount() > 0
	}
	if !maps.Equal(healthy, p.healthy) {
		p.recordChanges(healthy, now)
		p.healthy, p.unchangedSince = healthy, now
	}
	return anyLayers || now.Sub(p.unchangedSince) >= initialStableTime
}

// recordChanges records in which failure domains servers were added or removed.
func (p *Placer) recordChanges(healthy map[string]domain.Name, now time.Time) {
	for id, dom := range healthy {
		if _, known := p.healthy[id]; !known {
			p.lastChange[dom] = now
			p.firstSeen[id] = now
		}
	}
	for id, dom := range p.healthy {
		if _, known := healthy[id]; !known {
			p.lastChange[dom] = now
			delete(p.firstSeen, id)
		}
	}
}

// placeService plans the assignments of one service and sends them.
func (p *Placer) placeService(ctx context.Context, engine *route.Engine, servers []*fleet.Server, now time.Time) {
	expected := make([]*fleet.Server, len(servers))
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.pending, func(_ string, r pendingRange) bool { return now.After(r.until) })
	hasPending := map[domain.Name]bool{}
	for i, s := range servers {
		expected[i] = p.expected(s)
		if _, isPending := p.pending[s.ID]; isPending {
			hasPending[s.Domain] = true
		}
	}
	conditions := place.Conditions{
		Stable:      func(dom domain.Name) bool { return !hasPending[dom] && now.Sub(p.lastChange[dom]) >= domainStableTime },
		Idle:        p.idle,
		JustStarted: func(id string) bool { return now.Sub(p.firstSeen[id]) < newServerTime },
		Reserved:    func(id string) float64 { return p.Load.Used(id).TokenLayers },
	}
	for _, a := range place.Plan(engine, expected, conditions) {
		if now.Sub(p.lastReturn[a.Server.Domain]) < returnHoldOff {
			continue
		}
		p.setPending(a.Server.ID, pendingRange{first: a.First, end: a.End, until: now.Add(assignRetryDelay), startedAt: a.Server.StartedAt})
		go p.sendAssignment(ctx, engine, a)
	}
}

// idle reports whether few requests use a server.
func (p *Placer) idle(id string) bool {
	return p.Load.Used(id).Requests <= maxIdleRequests
}

// maxIdleRequests is the number of requests up to which a server counts as idle.
// That many are rerouted within a second.
const maxIdleRequests = 4

func (p *Placer) setPending(id string, r pendingRange) {
	if p.pending == nil {
		p.pending = map[string]pendingRange{}
	}
	p.pending[id] = r
}

// expected returns a server with its pending range, if it has one, in place of the
// range of its entry. The pending range is dropped once the entry shows it or belongs
// to a new incarnation of the server. The mutex is held.
func (p *Placer) expected(s *fleet.Server) *fleet.Server {
	r, known := p.pending[s.ID]
	if !known {
		return s
	}
	if s.StartedAt.After(r.startedAt) || r.confirmed && s.First == r.first && s.End == r.end {
		delete(p.pending, s.ID)
		return s
	}
	changed := *s
	changed.First, changed.End = r.first, r.end
	return &changed
}
