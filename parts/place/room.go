package place

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
)

const (
	// paybackSeconds is the time in which a move must gain what it costs. Only the product
	// with Conditions.AloneShare matters; no measurement stands behind it yet.
	paybackSeconds = 60
	// minRoomGain is the minimum ratio of the gain of moves to their cost, and minRoomGrowth
	// that of the standalone capacity afterwards to the one now. Without them estimates
	// that vary slightly would move servers back and forth.
	minRoomGain   = 1.5
	minRoomGrowth = 1.02
	// minSoftGrowth is the minimum ratio of the soft rate after one move to that before.
	minSoftGrowth = 1.005
	// drainSeconds is how long a server that is not idle may need before it loads layers in
	// place of others.
	drainSeconds = 10
	// roomSteps is the number of moves that are considered together. Where several ranges
	// have the least capacity, a single move gains nothing.
	roomSteps = 3
	// roomTries is the number of searches in a plan, and domainTries that in a domain: a second
	// one if the rest of the planning would undo the first move. With 1,000 servers in a domain
	// each takes some 2 ms.
	roomTries   = 4
	domainTries = 2
	// minHolders is the number of holders that each layer keeps when a server gives it up.
	minHolders = 2
)

// RoomMove describes an assignment that raises the standalone capacity of a failure domain.
type RoomMove struct {
	Domain domain.Name
	Demand Demand
	// Before and After are the standalone capacities, in tokens per second. The latter is
	// the one after this move and those that are expected to follow.
	Before, After float64
}

// roomMove is a change of the range of one server.
type roomMove struct {
	server *fleet.Server
	to     span
	// cost is the work that the server cannot do meanwhile, in tokens.
	cost float64
	// score orders moves.
	score float64
}

// moveForRoom returns the assignment that lowers the expected loss of the failure domain
// with the highest one, or that of the next if there is none. It returns nil while layers
// are missing or have a single holder in any group.
func moveForRoom(groups []*group, c Conditions) *Assignment {
	type short struct {
		group  *group
		flow   *flow
		domain domain.Name
		loss   float64
	}
	var list []short
	for _, g := range groups {
		if slices.Min(g.holders) < minHolders {
			return nil
		}
		name, single := g.domain()
		demand, known := c.Demand[name]
		if !single || !known || !g.stable(c) {
			continue
		}
		f := g.flow()
		if loss := c.AloneShare * demand.Excess(f.rate()); loss > 0 {
			list = append(list, short{g, f, name, loss})
		}
	}
	slices.SortStableFunc(list, func(a, b short) int { return cmp.Compare(b.loss, a.loss) })
	tries := roomTries
	for _, s := range list {
		if a := s.group.moveForRoom(s.flow, s.domain, c, &tries); a != nil {
			return a
		}
	}
	return nil
}

// domain returns the failure domain of the group, if it has a single one.
func (g *group) domain() (name domain.Name, single bool) {
	name = g.servers[0].Domain
	return name, !slices.ContainsFunc(g.servers, func(s *fleet.Server) bool { return s.Domain != name })
}

// flow returns what the servers of the group can process.
func (g *group) flow() *flow {
	f := newFlow(g.engine)
	for _, s := range g.servers {
		f.add(s, g.held[s.ID], 1)
	}
	return f
}

// moveForRoom returns the first of at most roomSteps moves that together gain the most, or
// nil if they would not gain enough.
func (g *group) moveForRoom(f *flow, name domain.Name, c Conditions, tries *int) *Assignment {
	excluded := map[string]bool{}
	for range min(*tries, domainTries) {
		*tries--
		a := g.firstMove(f, name, c, excluded)
		if a == nil || g.keeps(a, c) {
			return a
		}
		excluded[a.Server.ID] = true
	}
	return nil
}

// firstMove searches the moves without the excluded servers. It changes neither the group nor
// the flow.
func (g *group) firstMove(f *flow, name domain.Name, c Conditions, excluded map[string]bool) *Assignment {
	before, demand := f.rate(), c.Demand[name]
	var moves []*roomMove
	var cost, bestGain, bestRate float64
	skip := maps.Clone(excluded)
	for range roomSteps {
		m := g.bestMove(f, c, skip)
		if m == nil {
			break
		}
		g.apply(f, m.server, m.to)
		moves = append(moves, m)
		skip[m.server.ID] = true
		cost += m.cost
		after := f.rate()
		saved := c.AloneShare * (demand.Excess(before) - demand.Excess(after)) * paybackSeconds
		if gain := saved - minRoomGain*cost; gain > bestGain && after >= minRoomGrowth*before {
			bestGain, bestRate = gain, after
		}
	}
	for _, m := range moves {
		g.apply(f, m.server, span{m.server.First, m.server.End})
	}
	if bestGain <= 0 {
		return nil
	}
	first := moves[0]
	return &Assignment{
		Server: first.server, First: first.to.first, End: first.to.end, Replicas: g.replicas(first.server, first.to),
		Room: &RoomMove{Domain: name, Demand: demand, Before: before, After: bestRate},
	}
}

// apply changes what a server holds.
func (g *group) apply(f *flow, s *fleet.Server, r span) {
	f.add(s, g.held[s.ID], -1)
	f.add(s, r, 1)
	g.set(s, r)
}

// keeps reports whether the rest of the planning keeps an assignment for capacity, also once
// the server is idle. Otherwise it would be made and undone in turn.
func (g *group) keeps(a *Assignment, c Conditions) bool {
	servers := slices.Clone(g.servers)
	for i, s := range servers {
		if s == a.Server {
			changed := *s
			changed.First, changed.End = a.First, a.End
			servers[i] = &changed
		}
	}
	next := newGroup(g.engine, servers)
	next.reserved = g.reserved
	c.Idle = func(id string) bool { return id == a.Server.ID }
	return !slices.ContainsFunc(next.plan(c), func(other Assignment) bool { return other.Server.ID == a.Server.ID })
}

// bestMove returns the move of one server to a range with the layer of the least capacity
// that gains the most, or nil if none raises the rate. Servers with the same accelerator
// and range are alike, so only one of them is considered.
func (g *group) bestMove(f *flow, c Conditions, excluded map[string]bool) *roomMove {
	binding := 0
	for l, tokens := range f.tokens {
		if tokens < f.tokens[binding] {
			binding = l
		}
	}
	type length struct {
		accelerator string
		layers      int
	}
	type kind struct {
		accelerator string
		slowdown    float64
		from        span
		idle        bool
		layers      int
	}
	seen, lengths := map[kind]bool{}, map[length][]int{}
	base, seconds := f.terms(), f.seconds()
	var best *roomMove
	for _, s := range g.servers {
		from := g.held[s.ID]
		if from.len() == 0 || from.first != s.First || from.end != s.End || excluded[s.ID] || !c.Movable(s) {
			continue
		}
		k := kind{accelerator: s.Accelerator, slowdown: s.SlowdownFactor, from: from, idle: c.Idle(s.ID)}
		l := length{s.Accelerator, from.len()}
		if lengths[l] == nil {
			lengths[l] = g.lengths(s)
		}
		for _, n := range lengths[l] {
			k.layers = n
			if seen[k] || !g.fits(s, n) {
				continue
			}
			seen[k] = true
			x := exchange{flow: f, server: s, from: from, layers: n, idle: k.idle, seconds: seconds}
			if m := x.best(binding, base, c.AloneShare); m != nil && (best == nil || m.score > best.score) {
				best = m
			}
		}
	}
	return best
}

// lengths returns the numbers of layers that a server may hold after a move. They are at most
// its target, since trim would undo the move otherwise.
func (g *group) lengths(s *fleet.Server) []int {
	n, target := g.held[s.ID].len(), g.targetLayers(s)
	list := []int{n / 2, n * 3 / 4, n, n + 1, target}
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(n int) bool { return n < 1 || n > target })
}

// exchange is the change of the range of a server to one with a number of layers.
type exchange struct {
	flow    *flow
	server  *fleet.Server
	from    span
	layers  int
	idle    bool
	seconds float64
}

// best returns the best range that contains a layer, or nil if none raises the rate. Of the
// sums over all layers only the terms of the old and of the new range change.
func (x *exchange) best(binding int, base terms, aloneShare float64) *roomMove {
	f, now := x.flow, base.softRate()
	oldTokens, oldSeconds := layerFlow(f.engine, x.server, x.from.len())
	newTokens, newSeconds := layerFlow(f.engine, x.server, x.layers)
	without := func(l int) (tokens, tokenSeconds float64) {
		tokens, tokenSeconds = f.tokens[l], f.tokenSeconds[l]
		if l >= x.from.first && l < x.from.end {
			tokens -= oldTokens
			tokenSeconds -= oldTokens * oldSeconds
		}
		return tokens, tokenSeconds
	}
	for l := x.from.first; l < x.from.end; l++ {
		base.add(f.tokens[l], f.tokenSeconds[l], -1)
		tokens, tokenSeconds := without(l)
		base.add(tokens, tokenSeconds, 1)
	}
	low, high := max(0, binding-x.layers+1), min(binding, f.engine.Layers-x.layers)
	// changes holds the sums of the changes of the layers from low on.
	changes := make([]terms, 1, high+x.layers-low+1)
	changes[0].unit = base.unit
	for l := low; l < high+x.layers; l++ {
		sum := changes[len(changes)-1]
		tokens, tokenSeconds := without(l)
		sum.add(tokens, tokenSeconds, -1)
		sum.add(tokens+newTokens, tokenSeconds+newTokens*newSeconds, 1)
		changes = append(changes, sum)
	}
	var best *roomMove
	for first := low; first <= high; first++ {
		to := span{first, first + x.layers}
		if to == x.from || !x.keepsHolders(to) {
			continue
		}
		t := base
		t.addAll(changes[to.end-low], 1)
		t.addAll(changes[first-low], -1)
		after, cost := t.softRate(), x.cost(to, oldTokens)
		score := aloneShare*(after-now)*paybackSeconds - minRoomGain*cost
		if after >= minSoftGrowth*now && (best == nil || score > best.score) {
			best = &roomMove{server: x.server, to: to, cost: cost, score: score}
		}
	}
	return best
}

// keepsHolders reports whether each layer that the server gives up keeps enough holders.
func (x *exchange) keepsHolders(to span) bool {
	for l := x.from.first; l < x.from.end; l++ {
		if (l < to.first || l >= to.end) && x.flow.holders[l] <= minHolders {
			return false
		}
	}
	return true
}

// cost returns the work, in tokens, that the server cannot do while it loads layers.
func (x *exchange) cost(to span, tokens float64) float64 {
	kept := max(0, min(to.end, x.from.end)-max(to.first, x.from.first))
	loaded := to.len() - kept
	if loaded == 0 {
		return 0
	}
	wait := x.flow.engine.Load.Seconds() * float64(loaded) / float64(x.flow.engine.Layers)
	if kept < x.from.len() && !x.idle {
		wait += drainSeconds
	}
	return wait * tokens / max(x.seconds, 1e-9)
}

// terms are sums over all layers that give the soft rate: one that takes the soft minimum of
// the tokens, which rises with each layer of little capacity that gets more.
type terms struct {
	// unit is the least capacity of a layer before any change.
	unit             float64
	inverse, seconds float64
}

// softness is the power of the soft minimum: the sum of 1/tokens to this power. A layer counts
// with at least minSoftUnit of the unit, so that the sums keep their precision.
const (
	softness    = 32
	minSoftUnit = 1.0 / 2
)

func (t *terms) add(tokens, tokenSeconds, by float64) {
	x := 1 / max(tokens/t.unit, minSoftUnit)
	for range bits.TrailingZeros(softness) {
		x *= x
	}
	t.inverse += by * x
	t.seconds += by * tokenSeconds / max(tokens, 1)
}

func (t *terms) addAll(o terms, by float64) {
	t.inverse += by * o.inverse
	t.seconds += by * o.seconds
}

func (t *terms) softRate() float64 {
	return t.unit * math.Pow(max(t.inverse, 1e-9), -1.0/softness) / max(t.seconds, 1e-9)
}

// terms returns the terms of all layers.
func (f *flow) terms() terms {
	t := terms{unit: max(slices.Min(f.tokens), 1)}
	for l, tokens := range f.tokens {
		t.add(tokens, f.tokenSeconds[l], 1)
	}
	return t
}
