package router

import (
	"math"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// The weights of the choice.
const (
	// passSeconds is the overhead of each further server in a pass.
	passSeconds = 0.0003
	// busyPass multiplies the time of a step: a request that comes to a server
	// waits for the pass under way.
	busyPass = 1.3
	// awaySeconds is the cost of starting a chain in another failure domain.
	// Only events cross then, but a partition breaks them off. Home is left when
	// it is slow, before it is full.
	awaySeconds = 0.6
	// crossWeight multiplies the time of a transfer between failure domains
	// in the midst of a chain. All chains share the link, and a partition breaks
	// those that cross, so it is taken only where home is much slower.
	crossWeight = 60
	// rereadWeight multiplies the time of reading in a part that an answer under
	// way does not have yet. Its caller waits for that, while it hardly notices
	// a somewhat slower pace, and the other requests of the server wait as well.
	rereadWeight = 10
	// waitWeight multiplies the wait for the first event, beyond what is usual.
	// Its caller waits for that, as for reading again.
	waitWeight = 10
	// usualWait is the share of the target of the first event that reading a
	// prompt may take.
	usualWait = 0.1
	// fullWeight is by how much a full server seems slower than an empty one.
	fullWeight = 0.5
	// fullest is the share of a server's memory, and of its slots, that may be
	// promised. Answers longer than their hint and requests of other entry hosts
	// that are not known yet take the rest. Beyond it an engine preempts requests,
	// or lets them wait for a slot.
	fullest = 0.92
)

// Capacity returns how many tokens x layers a server has for requests.
func Capacity(e *route.Engine, s *fleet.Server) float64 {
	card, known := e.Accelerators[s.Accelerator]
	if !known || e.TokenBytes <= 0 {
		return math.Inf(1)
	}
	free := (card.MemoryMB - float64(max(s.MemoryLayers, s.LayerCount()))*e.LayerMB) * 1e6
	return max(0, free) / (e.TokenBytes / float64(e.Layers))
}

// layersCost is the cost of running the layers [first, end) on a server.
func (q *Query) layersCost(o offer, first, end int) float64 {
	share := float64(end-first) / float64(q.Engine.Layers)
	if len(q.Cached) == 0 {
		return share * o.spread * (o.write + o.read)
	}
	kept, known := q.Cached[o.server.Address]
	if known && kept.First == first && kept.End == end {
		return share * o.write
	}
	return share * o.spread * (o.write + rereadWeight*o.read)
}

// offer is a server with the cost of using it.
type offer struct {
	server *fleet.Server
	domain int
	// read and write are the seconds that the request would take for all layers.
	read, write float64
	// spread makes fuller servers seem slower.
	spread float64
	// delay is the cost of starting there besides the work, in seconds.
	delay float64
	// occupied says that all slots for requests that start there are taken.
	occupied bool
}

func (q *Query) offers(index map[domain.Name]int) []offer {
	var list []offer
	for _, s := range q.Servers {
		if s.LayerCount() <= 0 || s.Leaving || s.Suspected && !q.AllowSuspected || q.Avoid[s.Address] {
			continue
		}
		if q.FixedFirst != nil && s.Address == q.FixedFirst.Server.Address {
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
	room := Capacity(q.Engine, s)
	need := float64(q.Prompt+q.Answer) * float64(s.LayerCount())
	taken := (used.TokenLayers + need) / max(room, 1)
	_, kept := q.Cached[s.Address]
	if (used.Full || taken > fullest) && !q.Overcommit && !kept {
		return offer{}, false
	}
	o := offer{server: s}
	o.read, o.write = q.EstimateTimes(s, used.Requests)
	// Only these can start a chain; the others need not be asked about.
	if s.First == 0 {
		o.occupied = s.Slots > 0 && used.Starts >= fullest*float64(s.Slots) && !q.Overcommit
		if q.Delay != nil {
			o.delay = q.Delay(s.ID)
		}
	}
	// Half as much again for a full server spreads requests over servers that
	// are alike. A steeper rise makes chains of many parts when all are nearly
	// full.
	taken = min(taken, 1)
	o.spread = 1 + fullWeight*taken*taken
	return o, true
}

// EstimateTimes returns the times in which a server that works on some others would
// read the prompt and write the answer if it ran all layers.
func (q *Query) EstimateTimes(s *fleet.Server, others float64) (read, write float64) {
	e := q.Engine
	card, known := e.Accelerators[s.Accelerator]
	if !known {
		card = route.Accelerator{StepFactor: 1, PrefillFactor: 1}
	}
	context := others * float64(e.MeanPrompt+e.MeanAnswer/2) / 1000
	step := e.Step.Seconds() + e.StepPerRequest.Seconds()*others + e.StepPerKiloToken.Seconds()*context
	slow := max(1, s.SlowdownFactor)
	write = slow * busyPass * step * card.StepFactor * float64(q.Answer)
	read = slow * float64(q.Prompt) / max(e.PrefillPerSec, 1) * card.PrefillFactor
	return read, write
}

// StartCost returns the cost, in seconds, of starting a chain at a server where
// requests wait that long for their first event, which should come within the
// target.
func StartCost(wait, target time.Duration) float64 {
	return waitWeight * max(0, wait.Seconds()-usualWait*target.Seconds())
}

// hop is the cost of a further server in the chain, over all passes of the
// answer.
func (q *Query) hop() float64 {
	passes := 1 + float64(q.Answer)/float64(max(q.Engine.StepsPerPass, 1))
	return passSeconds * passes
}

// crossing is the cost of moving the prompt's activations between domains.
func (q *Query) crossing() float64 {
	return crossWeight * TransferTime(q.Engine, q.Prompt).Seconds()
}

// TransferTime returns how long the activations of so many tokens take on the link
// between two failure domains.
func TransferTime(e *route.Engine, tokens int) time.Duration {
	if e.InterDomainMbps <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * e.HopBytes * 8 / (e.InterDomainMbps * 1e6) * float64(time.Second))
}
