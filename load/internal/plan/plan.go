// Package plan decides what a load run sends and when.
//
// Arrivals are open loop: they come at times drawn beforehand from a Poisson
// process and don't wait for earlier answers, as the callers of a public
// service don't. So a slow system meets a growing queue, and the figures show
// it. All draws come from one seed, so that a run can be repeated.
package plan

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"time"
)

// Arrival is one request to send.
type Arrival struct {
	// Serial counts the shots of a run, from 1.
	Serial int
	// At is when to send it, from the start of the run.
	At time.Duration
	// Team is who sends it.
	Team string
	// Plain says that it goes to the plain service and not to a model.
	Plain bool
	// Prompt is the prompt of a model request.
	Prompt string
	// Tokens is the length of the answer asked for.
	Tokens int
}

// Plan describes a run. Set the exported fields, then call Shots.
type Plan struct {
	// Seed is the seed of all draws.
	Seed uint64
	// Ramp gives the arrival rate over time.
	Ramp Ramp
	// Duration is the length of the run.
	Duration time.Duration
	// Limit is the most shots; zero means no limit.
	Limit int
	// Teams are drawn by weight.
	Teams Mix
	// Sizes are answer lengths, drawn by weight.
	Sizes Sizes
	// PlainShare is the share of plain calls, from 0 to 1.
	PlainShare float64
	// Prompts is the number of distinct prompts.
	Prompts int
}

// Arrivals returns the shots of the run in the order of their times.
func (p *Plan) Arrivals() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		draw := rand.New(rand.NewPCG(p.Seed, 0))
		at := time.Duration(0)
		for serial := 1; p.Limit == 0 || serial <= p.Limit; serial++ {
			at = p.next(draw, at)
			if at >= p.Duration || !yield(p.shot(draw, serial, at)) {
				return
			}
		}
	}
}

// next draws the time of the next arrival. The rate varies, so it draws
// candidates at the highest rate and keeps each with the probability that
// the rate of its moment bears to the highest (thinning).
func (p *Plan) next(draw *rand.Rand, at time.Duration) time.Duration {
	peak := p.Ramp.Peak()
	if peak <= 0 {
		return p.Duration
	}
	for at < p.Duration {
		at += time.Duration(draw.ExpFloat64() / peak * float64(time.Second))
		if draw.Float64()*peak < p.Ramp.Rate(at) {
			return at
		}
	}
	return p.Duration
}

func (p *Plan) shot(draw *rand.Rand, serial int, at time.Duration) Arrival {
	return Arrival{
		Serial: serial, At: at,
		Team:   p.Teams.draw(draw),
		Plain:  draw.Float64() < p.PlainShare,
		Prompt: fmt.Sprintf("prompt %d", draw.IntN(max(p.Prompts, 1))),
		Tokens: p.Sizes.draw(draw),
	}
}
