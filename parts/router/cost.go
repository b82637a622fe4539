package router

import (
	"math"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// Weights of the cost of a chain.
const (
	// hopSeconds is the overhead of each additional server per pass.
	hopSeconds = 0.0003
	// busyPassFactor multiplies the time of a step: a request that arrives at a
	// server waits for the pass in progress.
	busyPassFactor = 1.3
	// remoteStartSeconds is the extra cost of starting a chain in another failure
	// domain. Only the events of the response cross the link then, but a partition
	// interrupts them. The cost is low enough that requests leave a slow local domain
	// before it is full.
	remoteStartSeconds = 0.6
	// beyondStartSeconds is the extra cost of starting a chain outside the subset of servers
	// to which the entry host keeps connections. It is about the time that a response takes
	// longer beside ten others, so that a request leaves a loaded subset before its servers
	// are full.
	beyondStartSeconds = 0.03
	// crossingWeight multiplies the time of a transfer between failure domains within
	// a chain. All chains share the link, and a partition breaks the chains that cross
	// it, so a chain should cross only where the local domain is much slower.
	crossingWeight = 60
	// recomputeWeight multiplies the prefill time of a stage whose server does not
	// hold the tokens of a response in progress. The caller waits for the prefill, and
	// so do the other requests of the server, while a somewhat lower decode rate is
	// hardly noticed.
	recomputeWeight = 10
	// waitWeight multiplies the part of the wait for the first event that exceeds
	// prefillShare of its target. The caller waits for it, as for a recomputation.
	waitWeight = 10
	// prefillShare is the share of the first-event target that the prefill may take.
	prefillShare = 0.1
	// loadWeight is the relative extra cost of a full server over an empty one.
	loadWeight = 0.5
	// maxFill is the share of a server's memory, and of its slots, that may be
	// reserved. The rest is for responses longer than their hint and for requests of
	// other entry hosts that are not known yet. Above it an engine preempts requests
	// or queues them for a slot.
	maxFill = 0.92
)

// Capacity returns how many tokens x layers of requests fit into the memory that a
// server's layers leave free.
func Capacity(e *route.Engine, s *fleet.Server) float64 {
	accelerator, known := e.Accelerators[s.Accelerator]
	if !known || e.TokenBytes <= 0 {
		return math.Inf(1)
	}
	free := (accelerator.MemoryMB - float64(max(s.MemoryLayers, s.LayerCount()))*e.LayerMB) * 1e6
	return max(0, free) / (e.TokenBytes / float64(e.Layers))
}

// stageCost returns the cost of running the layers [first, end) on a server.
func (q *Query) stageCost(c candidate, first, end int) float64 {
	share := float64(end-first) / float64(q.Engine.Layers)
	if len(q.Cached) == 0 {
		return share * c.loadFactor * (c.decode + c.prefill)
	}
	cached, known := q.Cached[c.server.Address]
	if known && cached.First == first && cached.End == end {
		return share * c.decode
	}
	return share * c.loadFactor * (c.decode + recomputeWeight*c.prefill)
}

// candidate is a server that may run a stage, with the cost of using it.
type candidate struct {
	server *fleet.Server
	domain int
	// prefill and decode are the seconds that the request would take if the server ran
	// all layers.
	prefill, decode float64
	// loadFactor raises the cost of fuller servers.
	loadFactor float64
	// delay is the expected cost, in seconds, of starting a chain there beyond the
	// work itself.
	delay float64
	// noStart says that no chain may start there, or that all slots for requests that
	// start there are taken.
	noStart bool
}

func (q *Query) candidates(index map[domain.Name]int) []candidate {
	var list []candidate
	for _, s := range q.Servers {
		if s.LayerCount() <= 0 || s.Leaving || q.Avoid[s.Address] || !q.permits(s) {
			continue
		}
		if q.FixedFirst != nil && s.Address == q.FixedFirst.Server.Address {
			continue
		}
		if q.Paused != nil && q.Paused(s) {
			stage, cached := q.Cached[s.Address]
			if !cached {
				continue
			}
			s = narrowed(s, stage)
		}
		if c, fits := q.candidate(s); fits {
			c.domain = index[s.Domain]
			list = append(list, c)
		}
	}
	return list
}

// permits reports whether the query permits a server as far as it is suspected.
func (q *Query) permits(s *fleet.Server) bool {
	return !s.Suspected || q.AllowSuspected || s.Silent && q.AllowSilent
}

// narrowed returns a server with the layers of one stage only.
func narrowed(s *fleet.Server, stage Stage) *fleet.Server {
	n := *s
	n.First, n.End = max(s.First, stage.First), min(s.End, stage.End)
	n.MemoryLayers = max(s.MemoryLayers, s.LayerCount())
	return &n
}

// candidate returns what the layers cost on a server, and whether the request fits
// into its memory.
func (q *Query) candidate(s *fleet.Server) (candidate, bool) {
	used := q.Used(s.ID)
	capacity := Capacity(q.Engine, s)
	need := float64(q.PromptTokens+q.ResponseTokens) * float64(s.LayerCount())
	fill := (used.TokenLayers + need) / max(capacity, 1)
	// An unused server is left free only by requests that fit beside the headroom. A larger one
	// would never be served.
	limit := max(q.maxFill(), min(maxFill, need/max(capacity, 1)))
	_, cached := q.Cached[s.Address]
	if (used.Full || fill > limit) && !q.Overcommit && !cached {
		return candidate{}, false
	}
	c := candidate{server: s}
	c.prefill, c.decode = q.EstimateTimes(s, used.Requests)
	// Only servers that hold layer 0 can start a chain; the others need no delay.
	if s.First == 0 {
		slotsTaken := s.Slots > 0 && used.Starts >= q.maxFill()*float64(s.Slots) && !q.Overcommit
		c.noStart = slotsTaken || q.NoStart[s.ID]
		if q.Delay != nil {
			c.delay = q.Delay(s.ID)
		}
		if !q.Subset.Has(s.ID) {
			c.delay += beyondStartSeconds
		}
	}
	// Raising the cost by half for a full server spreads requests over similar
	// servers. A steeper increase produces chains of many stages when all servers are
	// nearly full.
	fill = min(fill, 1)
	c.loadFactor = 1 + loadWeight*fill*fill
	return c, true
}

// maxFill returns the share of the memory and slots of a server from which the request
// counts it as full.
func (q *Query) maxFill() float64 { return maxFill * (1 - q.Headroom) }

// EstimateTimes returns the seconds that a server with the given number of other
// requests in flight would take to prefill the prompt and to decode the response if it
// ran all layers.
func (q *Query) EstimateTimes(s *fleet.Server, others float64) (prefill, decode float64) {
	e := q.Engine
	accelerator, known := e.Accelerators[s.Accelerator]
	if !known {
		accelerator = route.Accelerator{StepFactor: 1, PrefillFactor: 1}
	}
	context := others * float64(e.MeanPromptTokens+e.MeanResponseTokens/2) / 1000
	step := e.Step.Seconds() + e.StepPerRequest.Seconds()*others + e.StepPerKiloToken.Seconds()*context
	slow := max(1, s.SlowdownFactor)
	decode = slow * busyPassFactor * step * accelerator.StepFactor * float64(q.ResponseTokens)
	prefill = slow * float64(q.PromptTokens) / max(e.PrefillPerSec, 1) * accelerator.PrefillFactor
	return prefill, decode
}

// StartCost returns the cost, in seconds, of starting a chain at a server where the
// first event is expected after the given wait and should come within the target.
func StartCost(wait, target time.Duration) float64 {
	return waitWeight * max(0, wait.Seconds()-prefillShare*target.Seconds())
}

// hopCost returns the cost of an additional server in the chain, over all passes of
// the response.
func (q *Query) hopCost() float64 {
	passes := 1 + float64(q.ResponseTokens)/float64(max(q.Engine.StepsPerPass, 1))
	return hopSeconds * passes
}

// crossingCost returns the cost of moving the prompt's activations between failure
// domains.
func (q *Query) crossingCost() float64 {
	return crossingWeight * TransferTime(q.Engine, q.PromptTokens).Seconds()
}

// TransferTime returns how long the activations of the given number of tokens take on
// the link between two failure domains.
func TransferTime(e *route.Engine, tokens int) time.Duration {
	if e.InterDomainMbps <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * e.HopBytes * 8 / (e.InterDomainMbps * 1e6) * float64(time.Second))
}
