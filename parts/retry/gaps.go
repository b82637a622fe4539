package retry

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// Gaps follows the time between the tokens of one chain: its mean and its
// mean deviation, as TCP does for its round trips.
type Gaps struct {
	mean, dev float64
	known     bool
}

// The weights of one new gap in the mean and in the deviation.
const (
	meanWeight = 1.0 / 8
	devWeight  = 1.0 / 4
)

// Observe folds one gap in.
func (g *Gaps) Observe(gap time.Duration) {
	value := float64(gap)
	if !g.known {
		g.mean, g.dev, g.known = value, value/2, true
		return
	}
	off := value - g.mean
	g.mean += meanWeight * off
	if off < 0 {
		off = -off
	}
	g.dev += devWeight * (off - g.dev)
}

// Timeouts say when a chain that has sent nothing is looked at.
type Timeouts struct {
	// Probe is when its servers are asked whether they are there.
	Probe time.Duration
	// Failure is when it counts as failed though all of them answer.
	Failure time.Duration
}

// The limits in terms of the usual gap. Below the floors, a pause of the
// host's scheduler would look like a failure.
const (
	probeTimes, probeDevs   = 3, 4
	silentTimes, silentDevs = 16, 16
	probeFloor              = 100 * time.Millisecond
	silentFloor             = 400 * time.Millisecond
	// The floors for a first token are higher, since it may have to wait for
	// other requests and its prompt has to be read.
	firstProbeFloor  = 250 * time.Millisecond
	firstSilentFloor = time.Second
	// It is much longer than a gap, so fewer of it are time enough.
	firstTimes, firstDevs = 4, 8
)

// unknown are the limits while nothing is known of a pool.
var unknown = Timeouts{Probe: firstProbeFloor, Failure: 5 * time.Second}

// Timeouts returns the limits for the next token of a chain.
func (g *Gaps) Timeouts() Timeouts {
	if !g.known {
		return unknown
	}
	return Timeouts{
		Probe:   max(probeFloor, g.times(probeTimes, probeDevs)),
		Failure: max(silentFloor, g.times(silentTimes, silentDevs)),
	}
}

// first returns the limits for a first token, if these are times to first
// tokens.
func (g *Gaps) first() Timeouts {
	return Timeouts{
		Probe:   max(firstProbeFloor, g.times(probeTimes, probeDevs)),
		Failure: max(firstSilentFloor, g.times(firstTimes, firstDevs)),
	}
}

func (g *Gaps) times(means, devs float64) time.Duration {
	return time.Duration(means*g.mean + devs*g.dev)
}

// Baseline is what a pool's chains usually take. It stands in for a chain's own
// figures until there are any. Threads may use it together without locks.
type Baseline struct {
	gap   atomic.Pointer[Gaps]
	first [sizes]atomic.Pointer[Gaps]
}

// sizes is the number of classes of prompts by length; each is twice as long
// as the one before. A long prompt takes long to read.
const sizes = 24

func size(length int) int {
	return min(bits.Len(uint(length)), sizes-1)
}

// update replaces figures by changed ones.
func update(at *atomic.Pointer[Gaps], change func(*Gaps)) {
	for {
		old := at.Load()
		next := Gaps{}
		if old != nil {
			next = *old
		}
		change(&next)
		if at.CompareAndSwap(old, &next) {
			return
		}
	}
}

// ObserveFirstToken folds in the time to the first token of an attempt that had
// to read so many bytes.
func (u *Baseline) ObserveFirstToken(length int, d time.Duration) {
	update(&u.first[size(length)], func(g *Gaps) { g.Observe(d) })
}

// FirstToken returns the limits for the first token of an attempt. A length that
// was not seen yet is judged by the next shorter one, and given the more time
// the longer it is. Its servers are asked no later for that: a server that is
// there answers while it reads.
func (u *Baseline) FirstToken(length int) Timeouts {
	class := size(length)
	for below := class; below >= 0; below-- {
		if g := u.first[below].Load(); g != nil {
			l := g.first()
			l.Failure <<= class - below
			return l
		}
	}
	return unknown
}

// ObserveGaps folds in what one chain usually took.
func (u *Baseline) ObserveGaps(g Gaps) {
	if !g.known {
		return
	}
	update(&u.gap, func(all *Gaps) {
		all.Observe(time.Duration(g.mean))
		all.dev = max(all.dev, g.dev)
	})
}

// Gaps returns the figures that a new chain begins with.
func (u *Baseline) Gaps() Gaps {
	if g := u.gap.Load(); g != nil {
		return *g
	}
	return Gaps{}
}
