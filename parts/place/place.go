// Package place decides which layers each backend server holds.
//
// Each failure domain holds all layers, so that an answer need not cross to
// another one. What memory the layers leave holds requests, and that is what
// limits how many are served: a server gets only as many layers as leave room
// for the requests of a busy hour. Domains too small for a copy of their own
// share one.
//
// [Decide] is a pure function of what is believed of the servers. What servers
// hold stays. Empty servers get the layers that are held worst. Where layers
// are held by nobody, the servers beside the gap take them on top of their
// own, which needs no request to move and loads only the few layers of the
// gap; they give them up when another holds them again. So entry hosts that
// see the same come to the same orders, and one that takes over goes on where
// the last one stopped.
package place

import (
	"cmp"
	"maps"
	"slices"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// Order tells a server which layers to hold.
type Order struct {
	Server *fleet.Server
	// First and End bound the layers.
	First, End int
}

const (
	// usualRequests of the usual size is what a server's memory should hold
	// beside its layers. A failure domain of today runs 60 to 110 requests at
	// once on an ordinary evening, and half as many more when another one is
	// lost. At 70, half of the requests found no room as soon as one server
	// was missing.
	usualRequests = 160
	// highestFill is the share of a server's memory that layers may take where
	// a domain cannot hold all of them otherwise.
	highestFill = 0.92
	// trimFrom is by how many layers a server must be above its usual number
	// before it gives some up.
	trimFrom = 2
	// cutOff is the share of a domain's servers that are suspected at once from
	// which on a partition is more likely than so many deaths. What they hold
	// is unknown then, and nothing is ordered there.
	cutOff = 0.34
)

// worthMissing is the worth of holding a layer that nobody holds; it goes
// before any number of second copies. Those are worth the more the less room
// for requests the holders of the layer have. worthAligned prefers ranges that
// begin or end where others do, which makes chains with fewer parts.
const (
	worthMissing = 1e6
	worthAligned = 0.01
)

// Times says what may be done now.
type Times struct {
	// Calm says that the servers have been the same for a while. Only then do
	// they give up what others hold as well: a server that failed a moment ago
	// may still look as if it held its layers.
	Calm bool
	// Idle reports whether hardly any request passes through a server. One
	// that has second copies only can hold other layers at once; one that is
	// busy must let its requests end first, which takes up to ten seconds.
	Idle func(id string) bool
}

// Decide returns the orders that improve what the servers hold. Servers that
// are leaving or suspected count as holding nothing, and get no order.
func Decide(e *route.Engine, servers []*fleet.Server, now Times) []Order {
	var orders []Order
	for _, group := range groups(e, servers) {
		orders = append(orders, group.decide(now)...)
	}
	return orders
}

// groups forms a group of each failure domain, and one of all those that are
// too small. Domains that seem cut off are left out.
func groups(e *route.Engine, servers []*fleet.Server) []*group {
	byDomain := map[domain.Name][]*fleet.Server{}
	suspects := map[domain.Name]int{}
	for _, s := range servers {
		if s.Leaving || e.Cards[s.Card].MemoryMB <= 0 {
			continue
		}
		if s.Suspect {
			suspects[s.Domain]++
			continue
		}
		byDomain[s.Domain] = append(byDomain[s.Domain], s)
	}
	var names []domain.Name
	for name, list := range byDomain {
		all := len(list) + suspects[name]
		if suspects[name] > 1 && float64(suspects[name]) > cutOff*float64(all) {
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	var list []*group
	var small []*fleet.Server
	for _, name := range names {
		if most(e, byDomain[name]) < e.Layers {
			small = append(small, byDomain[name]...)
			continue
		}
		list = append(list, newGroup(e, byDomain[name]))
	}
	if len(small) > 0 {
		list = append(list, newGroup(e, small))
	}
	return list
}

// most returns how many layers the servers can hold together.
func most(e *route.Engine, servers []*fleet.Server) int {
	sum := 0
	for _, s := range servers {
		sum += largest(e, s)
	}
	return sum
}

// largest returns how many layers a server can hold at most.
func largest(e *route.Engine, s *fleet.Server) int {
	return min(int(e.Cards[s.Card].MemoryMB*highestFill/e.LayerMB), e.Layers)
}

// size returns how many layers a server can hold and leave room for so many
// tokens of requests.
func size(e *route.Engine, s *fleet.Server, tokens float64) int {
	perLayer := e.LayerMB + tokens*e.TokenBytes/float64(e.Layers)/1e6
	return min(int(e.Cards[s.Card].MemoryMB/perLayer), largest(e, s))
}

// room returns how many tokens of requests fit beside so many layers.
func room(e *route.Engine, s *fleet.Server, layers int) float64 {
	free := e.Cards[s.Card].MemoryMB - float64(layers)*e.LayerMB
	perToken := float64(max(layers, 1)) * e.TokenBytes / float64(e.Layers) / 1e6
	return max(0, free) / max(perToken, 1e-9)
}

// group is the servers that hold the layers together.
type group struct {
	engine  *route.Engine
	servers []*fleet.Server
	// tokens is the room for requests that each server should have.
	tokens float64
	// held is the range that each server holds or is about to, by its ID.
	held map[string]span
	// count is how many servers hold a layer, and rooms the tokens that they
	// have room for together.
	count []int
	rooms []float64
}

type span struct{ first, end int }

func (r span) len() int { return r.end - r.first }

func newGroup(e *route.Engine, servers []*fleet.Server) *group {
	g := &group{
		engine: e, servers: slices.Clone(servers), held: map[string]span{},
		count: make([]int, e.Layers), rooms: make([]float64, e.Layers),
	}
	g.tokens = g.affordable()
	slices.SortFunc(g.servers, func(a, b *fleet.Server) int {
		if c := cmp.Compare(e.Cards[b.Card].MemoryMB, e.Cards[a.Card].MemoryMB); c != 0 {
			return c
		}
		if c := cmp.Compare(e.Cards[a.Card].Pace, e.Cards[b.Card].Pace); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	for _, s := range g.servers {
		if s.Holds() > 0 {
			g.set(s, span{max(0, s.First), min(s.End, e.Layers)})
		}
	}
	return g
}

// affordable returns the room for requests that the servers can have while
// they hold all layers: the usual one, or what is left.
func (g *group) affordable() float64 {
	tokens := usualRequests * float64(g.engine.UsualPrompt+g.engine.UsualAnswer)
	const steps = 50
	for i := range steps {
		t := tokens * float64(steps-i) / steps
		sum := 0
		for _, s := range g.servers {
			sum += size(g.engine, s, t)
		}
		if sum >= g.engine.Layers {
			return t
		}
	}
	return 0
}

// set replaces what a server holds.
func (g *group) set(s *fleet.Server, r span) {
	if old, known := g.held[s.ID]; known {
		g.add(s, old, -1)
	}
	g.held[s.ID] = r
	g.add(s, r, 1)
}

// add counts a range, or takes it away.
func (g *group) add(s *fleet.Server, r span, by int) {
	tokens := room(g.engine, s, r.len()) * float64(by)
	for l := r.first; l < r.end; l++ {
		g.count[l] += by
		g.rooms[l] += tokens
	}
}

// decide changes the ranges step by step, and returns an order for each that
// differs in the end.
func (g *group) decide(now Times) []Order {
	g.fill()
	g.move(now.Idle)
	g.widen()
	g.move(func(string) bool { return true })
	if g.missing() > 0 {
		g.shift()
	}
	if now.Calm {
		g.relieve(now.Idle)
		g.trim()
	}
	var orders []Order
	for _, s := range g.servers {
		r, known := g.held[s.ID]
		if known && r.len() > 0 && (r.first != s.First || r.end != s.End) {
			orders = append(orders, Order{Server: s, First: r.first, End: r.end})
		}
	}
	return orders
}

// fill gives each empty server the layers that are held worst.
func (g *group) fill() {
	for _, s := range g.servers {
		if s.Holds() > 0 {
			continue
		}
		n := size(g.engine, s, g.tokens)
		if n <= 0 {
			continue
		}
		g.set(s, g.best(n))
	}
}

// widen closes gaps by the servers beside them, a layer at a time from either
// side, each time by the server that has most room left.
func (g *group) widen() {
	for l := 0; l < g.engine.Layers; l++ {
		if g.count[l] > 0 {
			continue
		}
		end := l
		for end < g.engine.Layers && g.count[end] == 0 {
			end++
		}
		first := l
		for first < end {
			left, leftRoom := g.beside(first, true)
			right, rightRoom := g.beside(end, false)
			switch {
			case left == nil && right == nil:
				first = end
			case right == nil || left != nil && leftRoom >= rightRoom:
				g.set(left, span{g.held[left.ID].first, first + 1})
				first++
			default:
				g.set(right, span{end - 1, g.held[right.ID].end})
				end--
			}
		}
	}
}

// beside returns the server that could best take a layer more at a boundary:
// one that holds layers up to it, or from it on.
func (g *group) beside(at int, before bool) (*fleet.Server, float64) {
	var best *fleet.Server
	var bestRoom float64
	for _, s := range g.servers {
		r, known := g.held[s.ID]
		touches := known && r.len() > 0 && (before && r.end == at || !before && r.first == at)
		if !touches || r.len() >= largest(g.engine, s) {
			continue
		}
		if left := room(g.engine, s, r.len()+1); best == nil || left > bestRoom {
			best, bestRoom = s, left
		}
	}
	return best, bestRoom
}

// move closes gaps by servers whose layers others hold as well, if they may.
// The smallest goes first: it is loaded soonest.
func (g *group) move(may func(id string) bool) {
	for i := len(g.servers) - 1; i >= 0 && g.missing() > 0; i-- {
		s := g.servers[i]
		old, known := g.held[s.ID]
		if !known || old.len() == 0 || !g.doubled(old) || !may(s.ID) {
			continue
		}
		before := g.missing()
		g.set(s, span{})
		g.set(s, g.best(max(1, size(g.engine, s, g.tokens))))
		if g.missing() >= before {
			g.set(s, old)
		}
	}
}

// shift closes the gaps that are left by pushing ranges along: the server
// beside a gap takes it and gives up as much at its other end as it cannot
// hold, which the next one takes. Each has some room above its usual number, so
// the gap shrinks on its way. It is tried towards the last layer, then towards
// the first, and left if neither closes all gaps.
func (g *group) shift() {
	held := maps.Clone(g.held)
	for _, up := range []bool{true, false} {
		for range g.servers {
			if g.missing() == 0 || !g.push(up) {
				break
			}
		}
		if g.missing() == 0 {
			return
		}
		for _, s := range g.servers {
			if r, known := held[s.ID]; known {
				g.set(s, r)
			}
		}
	}
}

// push closes the first gap in one direction by the server behind it. It
// reports whether there was one.
func (g *group) push(up bool) bool {
	gap := g.gap()
	at := gap.end
	if !up {
		at = gap.first
	}
	s, _ := g.behind(at, up)
	if s == nil {
		return false
	}
	r, most := g.held[s.ID], largest(g.engine, s)
	if up {
		g.set(s, span{gap.first, min(r.end, gap.first+most)})
	} else {
		g.set(s, span{max(r.first, gap.end-most), gap.end})
	}
	return true
}

// gap returns the first range of layers that nobody holds.
func (g *group) gap() span {
	first := slices.IndexFunc(g.count, func(n int) bool { return n <= 0 })
	end := first
	for end < len(g.count) && g.count[end] <= 0 {
		end++
	}
	return span{first, end}
}

// behind returns the server that begins or ends at a boundary and has most to
// give: the larger its range can be, the more a gap shrinks.
func (g *group) behind(at int, up bool) (*fleet.Server, int) {
	var best *fleet.Server
	slack := 0
	for _, s := range g.servers {
		r, known := g.held[s.ID]
		touches := known && r.len() > 0 && (up && r.first == at || !up && r.end == at)
		if !touches {
			continue
		}
		if n := largest(g.engine, s) - r.len(); best == nil || n > slack {
			best, slack = s, n
		}
	}
	return best, slack
}

// relieveFrom is by how much more a range must be worth than the one that an
// idle server holds, before it changes. Layers whose holder is left with a
// third of its usual room are worth six times those that two servers hold.
const relieveFrom = 2

// relieve moves idle servers, whose layers others hold as well, to layers whose
// holders have little room for requests because they took some over.
func (g *group) relieve(idle func(id string) bool) {
	for _, s := range slices.Backward(g.servers) {
		old, known := g.held[s.ID]
		if !known || old.len() == 0 || !g.doubled(old) || !idle(s.ID) {
			continue
		}
		g.set(s, span{})
		best := g.best(old.len())
		if g.worth(best) < relieveFrom*g.worth(old) {
			best = old
		}
		g.set(s, best)
	}
}

// trim makes servers give up layers beyond their usual number that others hold
// as well.
func (g *group) trim() {
	if g.missing() > 0 {
		return
	}
	for _, s := range g.servers {
		r := g.held[s.ID]
		usual := size(g.engine, s, g.tokens)
		if s.Holds() == 0 || r.len() < usual+trimFrom {
			continue
		}
		for r.len() > usual {
			switch {
			case g.count[r.first] > 1 && (g.count[r.end-1] < 2 || g.rooms[r.first] >= g.rooms[r.end-1]):
				r.first++
			case g.count[r.end-1] > 1:
				r.end--
			default:
				usual = r.len()
				continue
			}
			g.set(s, r)
		}
	}
}

// doubled reports whether others hold all layers of a range.
func (g *group) doubled(r span) bool {
	for l := r.first; l < r.end; l++ {
		if g.count[l] < 2 {
			return false
		}
	}
	return true
}

// missing counts the layers that nobody holds.
func (g *group) missing() int {
	n := 0
	for _, c := range g.count {
		if c <= 0 {
			n++
		}
	}
	return n
}

// best returns the range of so many layers that is worth most.
func (g *group) best(n int) span {
	n = min(n, g.engine.Layers)
	best := span{0, n}
	var bestWorth float64
	for at := 0; at+n <= g.engine.Layers; at++ {
		r := span{at, at + n}
		if w := g.worth(r); w > bestWorth {
			best, bestWorth = r, w
		}
	}
	return best
}

func (g *group) worth(r span) float64 {
	var sum float64
	for l := r.first; l < r.end; l++ {
		if g.count[l] <= 0 {
			sum += worthMissing
			continue
		}
		sum += max(g.tokens, 1) / max(g.rooms[l], 1)
	}
	for _, other := range g.held {
		if other.end == r.first || other.first == r.first {
			sum += worthAligned
		}
		if other.first == r.end || other.end == r.end {
			sum += worthAligned
		}
	}
	return sum
}
