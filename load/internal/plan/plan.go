// Package plan decides what a load run sends and when.
//
// Arrivals are open loop: their times follow a Poisson process and don't depend on
// earlier responses, like the requests of independent callers of a public service.
// So the queue of a system that is too slow grows, and the results show it. All
// random draws come from one seed, so that a run can be repeated.
package plan

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"time"
)

// Arrival is one request to send.
type Arrival struct {
	// Serial numbers the arrivals of a run from 1.
	Serial int
	// At is when to send it, from the start of the run.
	At time.Duration
	// Team is the team that sends it.
	Team string
	// Plain selects the plain service instead of a model.
	Plain bool
	// Prompt is the prompt of a model request.
	Prompt string
	// Tokens is the requested length of the response.
	Tokens int
}

// Plan describes a run. Set the exported fields, then call Arrivals.
type Plan struct {
	// Seed is the seed of all draws.
	Seed uint64
	// Ramp gives the arrival rate over time.
	Ramp Ramp
	// Duration is the length of the run.
	Duration time.Duration
	// Limit is the most arrivals; zero means no limit.
	Limit int
	// Teams are drawn by weight.
	Teams Mix
	// Sizes are response lengths that are drawn by weight.
	Sizes Sizes
	// PlainShare is the share of plain calls, from 0 to 1.
	PlainShare float64
	// Prompts is the number of distinct prompts.
	Prompts int
}

// Arrivals returns the arrivals of the run in order of time.
func (p *Plan) Arrivals() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		rng := rand.New(rand.NewPCG(p.Seed, 0))
		at := time.Duration(0)
		for serial := 1; p.Limit == 0 || serial <= p.Limit; serial++ {
			at = p.next(rng, at)
			if at >= p.Duration || !yield(p.arrival(rng, serial, at)) {
				return
			}
		}
	}
}

// next draws the time of the next arrival. The rate varies over time, so it draws
// candidates at the peak rate and accepts each with the ratio of the current rate
// to the peak rate as its probability (thinning).
func (p *Plan) next(rng *rand.Rand, at time.Duration) time.Duration {
	peak := p.Ramp.Peak()
	if peak <= 0 {
		return p.Duration
	}
	for at < p.Duration {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if rng.Float64()*peak < p.Ramp.Rate(at) {
			return at
		}
	}
	return p.Duration
}

// arrival draws the properties of an arrival.
func (p *Plan) arrival(rng *rand.Rand, serial int, at time.Duration) Arrival {
	return Arrival{
		Serial: serial, At: at,
		Team:   p.Teams.draw(rng),
		Plain:  rng.Float64() < p.PlainShare,
		Prompt: fmt.Sprintf("prompt %d", rng.IntN(max(p.Prompts, 1))),
		Tokens: p.Sizes.draw(rng),
	}
}
