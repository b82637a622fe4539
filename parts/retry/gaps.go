package retry

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// Gaps estimates the time between the tokens of one chain by its mean and its mean
// deviation, like the round-trip time estimate of TCP.
type Gaps struct {
	mean, dev float64
	known     bool
}

// The weights of a new gap in the mean and in the deviation.
const (
	meanWeight = 1.0 / 8
	devWeight  = 1.0 / 4
)

// Observe adds a gap to the estimate.
func (g *Gaps) Observe(gap time.Duration) {
	value := float64(gap)
	if !g.known {
		g.mean, g.dev, g.known = value, value/2, true
		return
	}
	diff := value - g.mean
	g.mean += meanWeight * diff
	if diff < 0 {
		diff = -diff
	}
	g.dev += devWeight * (diff - g.dev)
}

// Timeouts are the idle times after which a chain is probed and after which it has
// failed.
type Timeouts struct {
	// Probe is when the servers of the chain are probed.
	Probe time.Duration
	// Failure is when the chain counts as failed even if all servers answer.
	Failure time.Duration
}

// The timeouts are sums of multiples of the mean and of the mean deviation of the
// gaps. Below the minimums, a pause of the host's scheduler would look like a failure.
const (
	probeMeans, probeDevs     = 3, 4
	failureMeans, failureDevs = 16, 16
	minProbe                  = 100 * time.Millisecond
	minFailure                = 400 * time.Millisecond
	// The minimums for a first token are higher, since it may have to wait for other
	// requests and for the prefill of its prompt.
	minFirstProbe   = 250 * time.Millisecond
	minFirstFailure = time.Second
	// The first token takes much longer than a gap, so a lower multiple suffices.
	firstMeans, firstDevs = 4, 8
)

// defaultTimeouts apply while a pool has no measurements.
var defaultTimeouts = Timeouts{Probe: minFirstProbe, Failure: 5 * time.Second}

// Timeouts returns the timeouts for the next token of a chain.
func (g *Gaps) Timeouts() Timeouts {
	if !g.known {
		return defaultTimeouts
	}
	return Timeouts{
		Probe:   max(minProbe, g.multiple(probeMeans, probeDevs)),
		Failure: max(minFailure, g.multiple(failureMeans, failureDevs)),
	}
}

// firstToken returns the timeouts for a first token if the measurements of g are times
// to first tokens.
func (g *Gaps) firstToken() Timeouts {
	return Timeouts{
		Probe:   max(minFirstProbe, g.multiple(probeMeans, probeDevs)),
		Failure: max(minFirstFailure, g.multiple(firstMeans, firstDevs)),
	}
}

func (g *Gaps) multiple(means, devs float64) time.Duration {
	return time.Duration(means*g.mean + devs*g.dev)
}

// Baseline estimates the typical gaps and first-token times of a pool's chains. A
// chain without measurements of its own starts with it. It is safe for concurrent use
// without locks.
type Baseline struct {
	gap        atomic.Pointer[Gaps]
	firstToken [lengthClasses]atomic.Pointer[Gaps]
}

// lengthClasses is the number of classes that prompts are divided into by length,
// since a long prompt takes long to prefill. Each class covers lengths twice as long
// as the previous one.
const lengthClasses = 24

func lengthClass(length int) int {
	return min(bits.Len(uint(length)), lengthClasses-1)
}

// update atomically replaces an estimate by a changed copy.
func update(p *atomic.Pointer[Gaps], change func(*Gaps)) {
	for {
		old := p.Load()
		next := Gaps{}
		if old != nil {
			next = *old
		}
		change(&next)
		if p.CompareAndSwap(old, &next) {
			return
		}
	}
}

// ObserveFirstToken adds the time to the first token of an attempt whose prompt has
// the given length in bytes.
func (b *Baseline) ObserveFirstToken(length int, d time.Duration) {
	update(&b.firstToken[lengthClass(length)], func(g *Gaps) { g.Observe(d) })
}

// FirstToken returns the timeouts for the first token of an attempt. A class without
// measurements uses those of the next shorter class that has some, with the failure
// timeout doubled for each class between them. The probe timeout is not extended: a
// healthy server answers probes while it works on the prompt.
func (b *Baseline) FirstToken(length int) Timeouts {
	class := lengthClass(length)
	for below := class; below >= 0; below-- {
		if g := b.firstToken[below].Load(); g != nil {
			t := g.firstToken()
			t.Failure <<= class - below
			return t
		}
	}
	return defaultTimeouts
}

// ObserveGaps adds the estimate of one chain.
func (b *Baseline) ObserveGaps(g Gaps) {
	if !g.known {
		return
	}
	update(&b.gap, func(estimate *Gaps) {
		estimate.Observe(time.Duration(g.mean))
		estimate.dev = max(estimate.dev, g.dev)
	})
}

// Gaps returns the estimate that a new chain begins with.
func (b *Baseline) Gaps() Gaps {
	if g := b.gap.Load(); g != nil {
		return *g
	}
	return Gaps{}
}
