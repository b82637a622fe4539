// Package hops chooses the chain of backend servers that a request passes
// through: which servers run which layers, in order.
//
// A [Chain] tiles the layers of a model: the first part starts at layer 0,
// each next one starts where the one before ends, and the last one ends at the
// last layer. [Query.Pick] is the only way to get one, so no layer is left out
// or run twice whatever is believed of the servers. It is a shortest path over
// the boundaries between layers; a server may run a part of what it holds.
//
// The cost of a part is the time that the request will spend there: reading
// its prompt and writing its answer at the pace of the card, lengthened by how
// full the server's memory is. Crossing from one failure domain to another in
// the midst of a chain moves the activations of the whole prompt over a link
// that all share, so it is taken only where no other way is left.
package hops

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// Part is what one server runs of a chain.
type Part struct {
	Server *fleet.Server
	// First and End bound the layers that it runs.
	First, End int
}

// Chain is a sequence of parts that tiles the layers of a model.
type Chain []Part

// Has reports whether the server with the address is part of the chain.
func (c Chain) Has(address string) bool {
	return slices.ContainsFunc(c, func(p Part) bool { return p.Server.Address == address })
}

// Tiles reports whether the chain runs each of the layers once and in order.
func (c Chain) Tiles(layers int) bool {
	at := 0
	for _, p := range c {
		if p.First != at || p.End <= p.First {
			return false
		}
		at = p.End
	}
	return at == layers
}

// The weights of the choice.
const (
	// passSeconds is what each further server adds to a pass, beside the time
	// that its layers take. On a quiet day chains of 6, 8 and 9 servers all
	// took twice their steps an event, so it is little.
	passSeconds = 0.0003
	// busyPass multiplies the time of a step: a request that comes to a server
	// waits for the pass under way.
	busyPass = 1.3
	// awaySeconds is the cost of starting a chain in another failure domain.
	// Only events cross then. The fastest domain answers a usual request in
	// 2.4 s, the slowest in 3.9. Of 0.06, 0.6, 1.5 and 2.5 s, 0.6 gave the
	// highest mean worth on ten hard days (0.58, 0.61, 0.59, 0.42): home is left
	// when it is slow, before it is full.
	awaySeconds = 0.6
	// crossWeight multiplies the time of a transfer between failure domains
	// in the midst of a chain. At 16 ms a usual prompt, 60 crossings a second
	// fill the link, and a partition breaks all chains that cross. At 12, two
	// thirds of all chains used the fast cards of one domain and crossed; at 60
	// the mean worth of ten hard days rose from 0.48 to 0.58, at 150 it stayed.
	crossWeight = 60
	// rereadWeight multiplies the time of reading in a part that an answer under
	// way does not have yet. Its caller waits for that, while it hardly notices
	// a somewhat slower pace, and the other requests of the server wait as well.
	rereadWeight = 10
	// fullWeight is by how much a full server seems slower than an empty one.
	fullWeight = 0.5
	// fullest is the share of a server's memory that may be promised. Answers
	// that grow longer than their hint take the rest; beyond it the newest
	// request is thrown out and read again.
	fullest = 0.92
)

// Query is one choice.
type Query struct {
	Engine *route.Engine
	// Servers are those of the service.
	Servers []*fleet.Server
	// Home is the failure domain of the entry host.
	Home domain.Name
	// Prompt and Answer are the expected sizes in tokens.
	Prompt, Answer int
	// Avoid holds addresses that must not be used.
	Avoid map[string]bool
	// Used says how many tokens x layers are taken on a server, and how many
	// requests it works on.
	Used func(id string) Usage
	// Risk returns the seconds that starting at a server may cost because it
	// fails requests; nil means that none does.
	Risk func(id string) float64
	// Start is the first part, if it is fixed.
	Start *Part
	// Kept holds the parts that already hold the tokens, by their servers'
	// addresses. Only the same server with the same layers reads nothing again.
	Kept map[string]Part
	// Crowded permits promising more than the memory of the servers, as
	// far as the engines queue what does not fit.
	Crowded bool
	// Cut says that servers of one failure domain do not reach those of
	// another; nil means that all do.
	Cut func(from, to domain.Name) bool
	// Within keeps the chain within one failure domain.
	Within bool
	// Suspects permits servers that are suspected of having failed.
	Suspects bool
}

// Usage is what is taken of a server.
type Usage struct {
	// TokenLayers counts tokens x layers in memory.
	TokenLayers float64
	// Requests are those under way.
	Requests float64
	// Full says that the server has just refused a request.
	Full bool
}

// Room returns how many tokens x layers a server has for requests.
func Room(e *route.Engine, s *fleet.Server) float64 {
	card, known := e.Cards[s.Card]
	if !known || e.TokenBytes <= 0 {
		return math.Inf(1)
	}
	free := (card.MemoryMB - float64(max(s.Takes, s.Holds()))*e.LayerMB) * 1e6
	return max(0, free) / (e.TokenBytes / float64(e.Layers))
}

// step is the way by which a boundary is reached.
type step struct {
	cost   float64
	server *fleet.Server
	from   int
	prev   int
}

// Pick returns the cheapest chain, or nil if there is none.
func (q *Query) Pick() Chain {
	chain := q.search(false)
	if chain != nil && repeats(chain) {
		// A server would be passed through twice, which engines refuse. Where
		// each server is left only at its end, none can come again.
		chain = q.search(true)
	}
	if chain == nil || !chain.Tiles(q.Engine.Layers) {
		return nil
	}
	return chain
}

func repeats(c Chain) bool {
	seen := map[string]bool{}
	for _, p := range c {
		if seen[p.Server.Address] {
			return true
		}
		seen[p.Server.Address] = true
	}
	return false
}

// search walks the boundaries in order. A state is a boundary and the server
// that ran the layers before it, kept only as its failure domain.
func (q *Query) search(whole bool) Chain {
	layers := q.Engine.Layers
	domains, index := q.domains()
	best := make([][]step, layers+1)
	for i := range best {
		best[i] = make([]step, len(domains))
		for d := range best[i] {
			best[i][d].cost = math.Inf(1)
		}
	}
	offers := q.offers(index)
	ends := q.ends()
	start := 0
	if q.Start != nil {
		start = q.Start.End
		best[start][index[q.Start.Server.Domain]].cost = 0
	} else {
		for d, name := range domains {
			best[0][d].cost = 0
			if name != q.Home {
				best[0][d].cost = awaySeconds
			}
		}
	}
	for at := start; at < layers; at++ {
		for d := range domains {
			if math.IsInf(best[at][d].cost, 1) {
				continue
			}
			for _, o := range offers {
				if o.server.First > at || o.server.End <= at {
					continue
				}
				q.extend(best, domains, ends, o, at, d, whole)
			}
		}
	}
	return q.trace(best, start)
}

// extend relaxes the boundaries that a server reaches from one state.
func (q *Query) extend(best [][]step, domains []domain.Name, ends []int, o offer, at, from int, whole bool) {
	cost := best[at][from].cost + q.hop()
	if o.domain != from {
		if at == 0 || q.Within || q.Cut != nil && q.Cut(domains[from], o.server.Domain) {
			return
		}
		cost += q.crossing()
	}
	end := min(o.server.End, q.Engine.Layers)
	for _, e := range ends {
		if e <= at || e > end || whole && e != end {
			continue
		}
		total := cost + q.layersCost(o, at, e)
		if at == 0 {
			total += o.risk
		}
		if total < best[e][o.domain].cost {
			best[e][o.domain] = step{cost: total, server: o.server, from: at, prev: from}
		}
	}
}

// layersCost is the cost of running the layers [first, end) on a server.
func (q *Query) layersCost(o offer, first, end int) float64 {
	share := float64(end-first) / float64(q.Engine.Layers)
	if len(q.Kept) == 0 {
		return share * o.spread * (o.write + o.read)
	}
	kept, known := q.Kept[o.server.Address]
	if known && kept.First == first && kept.End == end {
		return share * o.write
	}
	return share * o.spread * (o.write + rereadWeight*o.read)
}

// trace follows the cheapest way back from the last layer.
func (q *Query) trace(best [][]step, start int) Chain {
	at, d := q.Engine.Layers, 0
	for i := range best[at] {
		if best[at][i].cost < best[at][d].cost {
			d = i
		}
	}
	if len(best[at]) == 0 || math.IsInf(best[at][d].cost, 1) {
		return nil
	}
	var chain Chain
	for at > start {
		s := best[at][d]
		chain = append(chain, Part{Server: s.server, First: s.from, End: at})
		at, d = s.from, s.prev
	}
	if q.Start != nil {
		chain = append(chain, *q.Start)
	}
	slices.Reverse(chain)
	return chain
}

// domains lists the failure domains of the servers, and where each stands.
func (q *Query) domains() ([]domain.Name, map[domain.Name]int) {
	var names []domain.Name
	index := map[domain.Name]int{}
	add := func(name domain.Name) {
		if _, known := index[name]; !known {
			index[name] = len(names)
			names = append(names, name)
		}
	}
	for _, s := range q.Servers {
		add(s.Domain)
	}
	if q.Start != nil {
		add(q.Start.Server.Domain)
	}
	return names, index
}

// ends lists the boundaries at which one server may follow another.
func (q *Query) ends() []int {
	list := []int{q.Engine.Layers}
	for _, s := range q.Servers {
		list = append(list, s.First, min(s.End, q.Engine.Layers))
	}
	for _, p := range q.Kept {
		list = append(list, p.First, p.End)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// offer is a server with the cost of using it.
type offer struct {
	server *fleet.Server
	domain int
	// read and write are the seconds that the request would take for all layers.
	read, write float64
	// spread makes fuller servers seem slower.
	spread float64
	// risk is what starting there may cost, in seconds.
	risk float64
}

func (q *Query) offers(index map[domain.Name]int) []offer {
	var list []offer
	for _, s := range q.Servers {
		if s.Holds() <= 0 || s.Leaving || s.Suspect && !q.Suspects || q.Avoid[s.Address] {
			continue
		}
		if q.Start != nil && s.Address == q.Start.Server.Address {
			continue
		}
		if o, fits := q.offer(s); fits {
			o.domain = index[s.Domain]
			list = append(list, o)
		}
	}
	return list
}

// offer works out what a layer costs on a server, and whether the request fits
// into its memory.
func (q *Query) offer(s *fleet.Server) (offer, bool) {
	used := q.Used(s.ID)
	room := Room(q.Engine, s)
	need := float64(q.Prompt+q.Answer) * float64(s.Holds())
	taken := (used.TokenLayers + need) / max(room, 1)
	_, kept := q.Kept[s.Address]
	if (used.Full || taken > fullest) && !q.Crowded && !kept {
		return offer{}, false
	}
	o := offer{server: s}
	o.read, o.write = q.Seconds(s, used.Requests)
	if q.Risk != nil {
		o.risk = q.Risk(s.ID)
	}
	// Half as much again for a full server spreads requests over servers that
	// are alike. A steeper rise sent requests through 17 servers with eight
	// crossings when all were nearly full.
	taken = min(taken, 1)
	o.spread = 1 + fullWeight*taken*taken
	return o, true
}

// Seconds returns the times in which a server that works on some others would
// read the prompt and write the answer if it ran all layers.
func (q *Query) Seconds(s *fleet.Server, others float64) (read, write float64) {
	e := q.Engine
	card, known := e.Cards[s.Card]
	if !known {
		card = route.Card{Pace: 1, Read: 1}
	}
	context := others * float64(e.UsualPrompt+e.UsualAnswer/2) / 1000
	step := e.Step.Seconds() + e.StepEach.Seconds()*others + e.StepContext.Seconds()*context
	slow := max(1, s.Slowness)
	write = slow * busyPass * step * card.Pace * float64(q.Answer)
	read = slow * float64(q.Prompt) / max(e.ReadPerSec, 1) * card.Read
	return read, write
}

// hop is the cost of a further server in the chain, over all passes of the
// answer.
func (q *Query) hop() float64 {
	passes := 1 + float64(q.Answer)/float64(max(q.Engine.Stride, 1))
	return passSeconds * passes
}

// crossing is the cost of moving the prompt's activations between domains.
func (q *Query) crossing() float64 {
	return crossWeight * Transfer(q.Engine, q.Prompt).Seconds()
}

// Transfer returns how long the activations of so many tokens take on the link
// between two failure domains.
func Transfer(e *route.Engine, tokens int) time.Duration {
	if e.PipeMbps <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * e.HopBytes * 8 / (e.PipeMbps * 1e6) * float64(time.Second))
}

// Crossings counts how often the chain goes from one failure domain to another.
func (c Chain) Crossings() int {
	n := 0
	for i := 1; i < len(c); i++ {
		if c[i].Server.Domain != c[i-1].Server.Domain {
			n++
		}
	}
	return n
}

// String lists the parts, for logs.
func (c Chain) String() string {
	var b strings.Builder
	for i, p := range c {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d-%d", p.Server.ID, p.First, p.End)
	}
	return b.String()
}
