package place

import (
	"cmp"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// group is the servers that hold the layers together.
type group struct {
	engine  *route.Engine
	servers []*fleet.Server
	// tokens is the room for requests that each server should have.
	tokens float64
	// taken returns how many tokens x layers are promised of a server's memory.
	taken func(id string) float64
	// held is the range that each server holds or is about to, by its ID.
	held map[string]span
	// count is how many servers hold a layer, and rooms the tokens that they
	// have room for together.
	count []int
	rooms []float64
	// edges is how many ranges begin or end at a boundary.
	edges []int
}

// roomSteps is how finely the room for requests is chosen.
const roomSteps = 50

// hopTime is what a further server adds to the way of a token: the link, and the
// wait for the step under way there.
const hopTime = 200 * time.Microsecond

type span struct{ first, end int }

func (r span) len() int { return r.end - r.first }

func newGroup(e *route.Engine, servers []*fleet.Server) *group {
	g := &group{
		engine: e, servers: slices.Clone(servers), held: map[string]span{},
		count: make([]int, e.Layers), rooms: make([]float64, e.Layers), edges: make([]int, e.Layers+1),
	}
	usual := usualRequests * float64(e.UsualPrompt+e.UsualAnswer)
	slices.SortFunc(g.servers, func(a, b *fleet.Server) int {
		x, y := e.Cards[a.Card], e.Cards[b.Card]
		return cmp.Or(cmp.Compare(layerTime(e, a, usual), layerTime(e, b, usual)), cmp.Compare(y.MemoryMB, x.MemoryMB), cmp.Compare(a.ID, b.ID))
	})
	g.tokens = g.balanced()
	for _, s := range g.servers {
		if s.Holds() > 0 {
			g.set(s, span{max(0, s.First), min(s.End, e.Layers)})
		}
	}
	return g
}

// balanced returns the room for requests, in tokens, that the servers should
// have beside all layers. Less room lets the fastest servers hold more of the
// layers: an answer then takes less time, fewer of them are under way when
// something fails, and less room is needed. Of the rooms that the servers can
// afford it is the one with the most headroom for the time that an answer takes:
// requests that fit, over those under way at a given load, which grow with that
// time, and once more over that time, since it is how long an answer can be hit.
func (g *group) balanced() float64 {
	usual := usualRequests * float64(g.engine.UsualPrompt+g.engine.UsualAnswer)
	var best, bestWorth float64
	for i := roomSteps; i > 0; i-- {
		tokens := usual * float64(i) / roomSteps
		pace, whole := g.pace(tokens)
		if !whole {
			continue
		}
		if worth := tokens / (pace * pace); worth > bestWorth {
			best, bestWorth = tokens, worth
		}
	}
	return best
}

// pace returns how long a token takes on its way through all layers, in steps of
// the engine, if each server leaves so much room for requests and the fastest
// ones hold as many layers as they can. Whole is false if they cannot hold all.
func (g *group) pace(tokens float64) (pace float64, whole bool) {
	left := g.engine.Layers
	for _, s := range g.servers {
		n := min(size(g.engine, s, tokens), left)
		if n <= 0 {
			continue
		}
		pace += stepTime(g.engine, s, n).Seconds()
		left -= n
	}
	return pace, left == 0
}

// stepTime returns how long a token takes to get to a server and through so many
// layers there.
func stepTime(e *route.Engine, s *fleet.Server, layers int) time.Duration {
	step := float64(e.Step) * e.Cards[s.Card].Pace * float64(layers) / float64(e.Layers)
	return hopTime + time.Duration(step)
}

// layerTime returns the seconds that a usual request takes for each layer of a
// server that leaves so much room for requests.
func layerTime(e *route.Engine, s *fleet.Server, tokens float64) float64 {
	n := max(1, size(e, s, tokens))
	write := stepTime(e, s, n).Seconds() * float64(e.UsualAnswer) / float64(n)
	read := float64(e.UsualPrompt) / max(e.ReadPerSec, 1) * e.Cards[s.Card].Read / float64(e.Layers)
	return write + read
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
	if r.len() > 0 {
		g.edges[r.first] += by
		g.edges[r.end] += by
	}
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
	// Counted, not looked for among all ranges: with 1,000 servers in a failure
	// domain a decision would take longer than the time between two.
	return sum + worthAligned*float64(g.edges[r.first]+g.edges[r.end])
}
